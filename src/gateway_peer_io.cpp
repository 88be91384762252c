/**
 * @file gateway_peer_io.cpp
 * @brief I/O between gateways: updates as datagrams, snapshots over HTTP.
 */
#include "address_func.h"
#include "error_type.h"
#include "gateway_daemon_func.h"
#include "gateway_peer_wire.h"
#include "gateway_slot_wire.h"
#include "log_func.h"

namespace Burdockfield::Gateway {

namespace {

/// Datagrams received in one turn of the event loop, so that those of many peers don't wait for other work.
constexpr int datagramsPerTurn = 64;
constexpr Milliseconds snapshotTimeout{ 1000 }; ///< Of a fetch of a peer's snapshot; a large one may take longer.

/// @return whether a snapshot may have a newer configuration than the one in force, so that it has to be decoded.
bool mayBeNewer(const GatewayState &state, const Snapshot &snapshot)
{
    const uint64_t version = snapshot.configurationVersion_.value_or(state.configuration_.version_ + 1);
    return !snapshot.configurationText_.empty() && isNewerConfiguration(state, version, snapshot.configurationEra_);
}

void applySnapshot(GatewayDaemon &daemon, const std::string &address, const HttpReply &reply)
{
    Snapshot snapshot;
    std::error_code error = parseSnapshot(reply.body_, snapshot);
    if (!error && mayBeNewer(daemon.state_, snapshot)) {
        ConfigurationReceived event;
        error = Platform::parseConfigurationEvent(snapshot.configurationText_, address, event);
        event.era_ = snapshot.configurationEra_;
        if (!error) {
            daemon.inbox_.configurations_.push_back(std::move(event));
        }
    }
    if (error) {
        count(daemon.state_.metrics_, "snapshots_failed", error.message());
        logLine(LogLevel::Warning, "bad-snapshot", { { "peer", address }, { "error", error.message() } });
        return;
    }
    if (snapshot.upstreams_) {
        snapshot.upstreams_->source_ = address;
        daemon.inbox_.quotaLevels_.push_back(std::move(snapshot.quotas_));
        daemon.inbox_.upstreams_.push_back(std::move(*snapshot.upstreams_));
        snapshot.rollouts_->source_ = address;
        daemon.inbox_.rollouts_.push_back(std::move(*snapshot.rollouts_));
    }
}

/// Decodes a datagram of a peer into an event.
template<typename Message, typename Parse>
void receiveMessage(GatewayDaemon &daemon, std::string_view text, Parse parse, std::vector<Message> &events)
{
    Message message;
    if (const std::error_code error = parse(text, message); error) {
        count(daemon.state_.metrics_, "peer_updates", "malformed");
        return;
    }
    const auto &sender = daemon.datagramSender_;
    message.address_ = sender.address().to_string() + ":" + std::to_string(sender.port());
    events.push_back(std::move(message));
    scheduleTick(daemon);
}

void receiveDatagram(GatewayDaemon &daemon, std::string_view text)
{
    if (isSlotMessage(text)) {
        receiveMessage(daemon, text, parseSlotMessage, daemon.inbox_.slotMessages_);
    } else {
        receiveMessage(daemon, text, parsePeerUpdate, daemon.inbox_.peerUpdates_);
    }
}

/// Sends a datagram to a peer; one that can't be sent is counted and dropped.
void sendDatagram(GatewayDaemon &daemon, const std::string &address, const std::string &text, const char *kind)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return;
    }
    const Asio::ip::udp::endpoint target(endpoint->address(), endpoint->port());
    boost::system::error_code error;
    daemon.updateSocket_.send_to(Asio::buffer(text), target, 0, error);
    count(daemon.state_.metrics_, kind, error ? "not-sent" : "sent");
}

} // namespace

void addSeedPeers(GatewayDaemon &daemon)
{
    // Peers use the same port on all nodes, so only the host of a seed is used.
    const auto own = parseEndpoint(daemon.settings_.gateway_.peerAddress_);
    for (const std::string &seed : daemon.settings_.seeds_) {
        if (const auto endpoint = parseEndpoint(seed); endpoint && own) {
            daemon.inbox_.peerAddresses_.push_back(endpoint->address().to_string() + ":" + std::to_string(own->port()));
        }
    }
}

void receiveUpdates(GatewayDaemon &daemon)
{
    daemon.updateSocket_.async_receive_from(Asio::buffer(daemon.datagram_), daemon.datagramSender_,
        [&daemon](boost::system::error_code error, size_t length) {
            if (error == Asio::error::operation_aborted) {
                return;
            }
            for (int left = datagramsPerTurn; left > 0 && error != Asio::error::would_block; --left) {
                receiveDatagram(daemon, { daemon.datagram_.data(), error ? 0 : length });
                if (left > 1) {
                    length = daemon.updateSocket_.receive_from(
                        Asio::buffer(daemon.datagram_), daemon.datagramSender_, 0, error);
                }
            }
            receiveUpdates(daemon);
        });
}

std::error_code openUpdateSocket(GatewayDaemon &daemon)
{
    const auto endpoint = parseEndpoint(daemon.settings_.gateway_.peerAddress_);
    if (!endpoint) {
        return SettingsErrc::BadAddress;
    }
    boost::system::error_code error;
    daemon.updateSocket_.open(Asio::ip::udp::v4(), error);
    if (!error) {
        daemon.updateSocket_.bind({ endpoint->address(), endpoint->port() }, error);
    }
    if (!error) {
        daemon.updateSocket_.non_blocking(true, error);
    }
    return error;
}

void sendPeerUpdate(GatewayDaemon &daemon, const SendUpdate &command)
{
    const std::string text = serializePeerUpdate(command.update_);
    for (const std::string &address : command.addresses_) {
        sendDatagram(daemon, address, text, "peer_updates");
    }
}

void sendSlotMessage(GatewayDaemon &daemon, const SendSlotMessage &command)
{
    sendDatagram(daemon, command.address_, serializeSlotMessage(command.message_), "slot_messages");
}

void fetchSnapshot(GatewayDaemon &daemon, const FetchSnapshot &command)
{
    HttpRequest request;
    request.target_ = makeSnapshotTarget(command.part_);
    const auto done = [&daemon, address = command.address_, part = command.part_, start = Clock::now()](
                          std::error_code error, const HttpReply &reply) {
        daemon.inbox_.endedSnapshots_.push_back(part);
        scheduleTick(daemon);
        const std::string took = millisecondsText(Clock::now() - start);
        if (error || reply.status_ != 200) {
            const std::string reason = error ? error.message() : "status " + std::to_string(reply.status_);
            count(daemon.state_.metrics_, "snapshots_failed", reason);
            logLine(LogLevel::Warning, "snapshot-failed",
                { { "peer", address }, { "error", reason }, { "took_ms", took } });
            return;
        }
        logLine(LogLevel::Info, "snapshot",
            { { "peer", address }, { "bytes", std::to_string(reply.body_.size()) }, { "took_ms", took } });
        applySnapshot(daemon, address, reply);
    };
    fetchFromNode(daemon.client_, command.address_, std::move(request), snapshotTimeout, ConnectionUse::Reuse, done);
}

std::string encodeSnapshot(GatewayDaemon &daemon, std::optional<SnapshotPart> part)
{
    if (part != SnapshotPart::Configuration) {
        return serializeSnapshot(makeSnapshot(daemon.state_, part));
    }
    EncodedConfiguration &encoded = daemon.encodedConfiguration_;
    const GatewayState &state = daemon.state_;
    if (encoded.body_.empty() || encoded.version_ != state.configuration_.version_
        || encoded.era_ != state.configurationEra_) {
        encoded.version_ = state.configuration_.version_;
        encoded.era_ = state.configurationEra_;
        encoded.body_ = serializeSnapshot(makeSnapshot(daemon.state_, part));
    }
    return encoded.body_;
}

} // namespace Burdockfield::Gateway
