/**
 * @file cases.h
 * @brief The cases of the review that are scripts.
 */
#pragma once

#include "deployment.h"

namespace Review {

/// An entry from another writer: a request is run with another body, and without its tenant.
Outcome runForeignKeyCase(Record &record);

/// A request that crashes runners comes again with another query: it is never contained.
Outcome runDeadlyRequestCase(Record &record, const std::string &program);

/// Large entries from another writer: a gateway stops following the list, and sends to a leaving runner.
Outcome runLargeEntriesCase(Record &record);

/// The store comes back from an older copy: requests are sent to a runner that has left before.
Outcome runOlderCopyCase(Record &record);

/// A route that is gone: the refusal of a HEAD request has a body, which the client takes for its next answer.
Outcome runHeadCase(Record &record);

} // namespace Review
