/**
 * @file gateway_configuration_sync.cpp
 * @brief System that keeps the configuration up to date.
 */
#include "gateway_func.h"
#include "http_limit_type.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

void applyConfiguration(GatewayState &state, TimePoint now, ConfigurationReceived &event, GatewayOutbox &outbox)
{
    if (event.text_ == state.configurationText_ && state.configuration_.version_ != 0) {
        state.configurationEra_ = std::max(state.configurationEra_, event.era_); // written again by the operator
        return;
    }
    if (!isNewerConfiguration(state, event.configuration_.version_, event.era_)) {
        return;
    }
    outbox.decisions_.push_back({ "configuration",
        { { "version", std::to_string(event.configuration_.version_) }, { "era", std::to_string(event.era_) },
            { "before", std::to_string(state.configuration_.version_) }, { "source", event.source_ },
            { "routes", std::to_string(event.configuration_.routes_.size()) },
            { "bytes", std::to_string(event.text_.size()) }, { "decode_ms", millisecondsText(event.decodeTime_) } } });
    if (const size_t headerBytes = event.configuration_.limits_.headerBytes_; headerBytes > maxHeaderBytes) {
        outbox.decisions_.push_back({ "header-limit-bounded",
            { { "configured", std::to_string(headerBytes) }, { "applied", std::to_string(maxHeaderBytes) } }, true });
    }
    state.configuration_ = std::move(event.configuration_);
    state.configurationText_ = std::move(event.text_);
    state.configurationEra_ = event.era_;
    state.configurationAppliedAt_ = now;
    indexConfiguration(state.configuration_);
    markPeerUpdatesPending(state, {});
    outbox.limitsChanged_ = true;
}

} // namespace

bool isNewerConfiguration(const GatewayState &state, uint64_t version, uint64_t era)
{
    const uint64_t current = state.configuration_.version_;
    if (current == 0 || era == state.configurationEra_) {
        return version > current;
    }
    return era > state.configurationEra_ && version >= current;
}

void runConfiguration(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (ConfigurationReceived &event : inbox.configurations_) {
        applyConfiguration(state, now, event, outbox);
    }
}

} // namespace Burdockfield::Gateway
