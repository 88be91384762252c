/**
 * @file standin.cpp
 * @brief What the I/O of the stand-ins shares.
 */
#include "standin_func.h"

namespace Burdockfield::Standin {

void addEvent(StandinInbox &inbox, StandinEvent event)
{
    if (auto *arrival = std::get_if<Arrival>(&event); arrival != nullptr) {
        inbox.arrivals_.push_back(std::move(*arrival));
    } else {
        inbox.disconnects_.push_back(std::get<Departure>(event));
    }
}

HttpReply makeJsonReply(int status, std::string body)
{
    HttpReply reply;
    reply.status_ = status;
    reply.headers_.emplace_back("Content-Type", "application/json");
    reply.body_ = std::move(body);
    return reply;
}

void executeOutbox(HttpServer &server, std::ofstream &ledger, StandinOutbox &outbox)
{
    for (const std::string &line : outbox.ledger_) {
        ledger << line << '\n';
    }
    ledger.flush();
    for (StandinOutput &output : outbox.outputs_) {
        switch (output.kind_) {
        case ServerOutput::Kind::Full:
            respond(server, output.exchange_, std::move(output.reply_));
            break;
        case ServerOutput::Kind::Head:
            startStream(server, output.exchange_, std::move(output.reply_));
            break;
        case ServerOutput::Kind::Chunk:
            sendChunk(server, output.exchange_, std::move(output.bytes_));
            break;
        case ServerOutput::Kind::End:
            endStream(server, output.exchange_);
            break;
        case ServerOutput::Kind::Abort:
            abortExchange(server, output.exchange_);
            break;
        }
    }
}

} // namespace Burdockfield::Standin
