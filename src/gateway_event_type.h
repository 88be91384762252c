/**
 * @file gateway_event_type.h
 * @brief Events that a gateway's tick handles, one table for each kind.
 */
#pragma once

#include "gateway_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Burdockfield::Gateway {

/// A caller's request was received in full.
struct CallArrived
{
    ExchangeId exchange_; ///< Exchange with the caller, which the answer goes to.
    CallRequest request_; ///< Decoded request.
    Milliseconds age_{ 0 }; ///< Time for which it waited to be read.
};

/// A caller has disconnected.
struct CallerDisconnected
{
    ExchangeId exchange_; ///< Exchange with the caller.
    bool unsent_ = false; ///< Whether the last send was omitted for that reason.
};

/// The header of an answer was received.
struct HeadReceived
{
    uint64_t send_ = 0; ///< Number of the send that it answers.
    AnswerHead head_; ///< Decoded header.
};

/// A part of an answer's body was received.
struct BytesReceived
{
    uint64_t send_ = 0; ///< Number of the send that it answers.
    std::string bytes_; ///< Bytes in order, split anywhere.
};

/// A send ended.
struct SendEnded
{
    uint64_t send_ = 0; ///< Number of the send.
    std::error_code error_; ///< Success when the complete answer was received, else a TransportErrc.
    LinkUse use_{}; ///< Connection that carried it.
};

/// The check of an upstream ended.
struct UpstreamChecked
{
    std::string upstream_; ///< Id of the upstream.
    std::error_code error_; ///< Success if a connection was made, else a TransportErrc.
    bool acknowledged_ = false; ///< Whether its machine acknowledges what is sent on a connection with a call.
};

/// A configuration was received from the store or from a peer.
struct ConfigurationReceived
{
    Configuration configuration_; ///< Decoded configuration.
    std::string text_; ///< The same as the operator wrote it.
    std::string source_; ///< Where it was received from, for log lines.
    Duration decodeTime_{}; ///< Time that decoding it took, for log lines.
    uint64_t era_ = 0; ///< Era of the store that it was read in.
};

/// Rows of the list of upstreams were received from the store or from a peer.
struct UpstreamsReceived
{
    std::vector<UpstreamRow> rows_; ///< New, changed and removed rows, or the full list.
    bool fullList_ = false; ///< Whether rows_ is the full list, so that upstreams without a row are gone.
    StoreVersion version_; ///< Version of the store that the rows show, which also covers removed rows.
    std::string source_; ///< Where they were received from, for log lines.
    bool fromPeer_ = false; ///< Whether a peer sent them; the peer's list may be older than this gateway's.
};

/// Units left of each workspace's quota, as a peer knows it.
using QuotaLevels = std::map<std::string, double>;

/// A call to the store succeeded or failed.
struct StoreCallOutcome
{
    bool reachable_ = false; ///< Whether the store answered.
    std::error_code error_; ///< Why the call failed.
    std::string table_; ///< Table that the call was about.
    Duration took_{}; ///< Time from the call to its end.
};

/// Crash that a peer saw.
struct PeerCrash
{
    UpstreamStart upstream_; ///< What crashed.
    Milliseconds age_{ 0 }; ///< Time since the crash.
    TraitDepths traits_; ///< See CrashReport::traits_.
};

/// Verdict as a peer knows it, see CrashVerdict.
struct PeerVerdict
{
    uint32_t number_ = 0; ///< How often the trait has been condemned.
    bool withdrawn_ = false; ///< Whether it has been answered since.
    uint32_t trials_ = 0; ///< Trials so far.

    bool operator==(const PeerVerdict &) const = default;
};

/// Update that one gateway sends to others. Full updates also hold names, crashes and peers.
struct PeerUpdate
{
    std::string address_; ///< IP:PORT of the sender, taken from the datagram's source.
    std::string name_; ///< Node name of the sender; in full updates only.
    std::string region_; ///< Region of the sender; in full updates only.
    uint64_t incarnation_ = 0; ///< Identifies the start of the sender's process.
    uint64_t sequence_ = 0; ///< Number of this update, rising within an incarnation.
    std::optional<Milliseconds> uptime_; ///< Time since the sender's start; only in its first quota window.
    uint64_t configurationVersion_ = 0; ///< Version of the configuration that the sender holds.
    uint64_t configurationEra_ = 0; ///< Era of the store in which the sender received it.
    StoreVersion upstreamsVersion_; ///< Version of the store that the sender's list of upstreams shows.
    std::optional<uint32_t> upstreamsDigest_; ///< Digest of that list; the release before doesn't tell it.
    bool hasCounts_ = true; ///< Whether the next four members are sent; only brokers and their standbys need them.
    std::unordered_map<std::string, uint32_t> inFlight_; ///< The sender's calls in flight, by upstream id.
    /// Tokens of memory that they may take, by upstream id, of services that limit them.
    std::unordered_map<std::string, uint64_t> memoryTokens_;
    std::unordered_map<uint64_t, uint64_t> grantsReceived_; ///< Newest grant received, by the broker's incarnation.
    std::unordered_map<std::string, UpstreamReport> reports_; ///< Outcomes since the last counts, by upstream id.
    uint32_t brokerWeight_ = 0; ///< See Peer::brokerWeight_; in full updates only.
    std::unordered_map<std::string, uint64_t> chargedUnits_; ///< Units charged since the sender's start, by workspace.
    std::vector<UpstreamStart> leaving_; ///< Upstreams whose answers said that they leave; in full updates only.
    std::vector<PeerCrash> crashes_; ///< Crashes that the sender saw recently; in full updates only.
    std::map<Trait, Milliseconds> answered_; ///< Suspects answered there, with the time since then; full updates only.
    std::map<Trait, PeerVerdict> verdicts_; ///< Verdicts that the sender knows; in full updates only.
    std::vector<PeerRollout> rollouts_; ///< Rollouts that the sender knows; in full updates only.
    StoreVersion operatorVersion_; ///< Version up to which they are all orders; in full updates with rollouts only.
    std::vector<std::string> peers_; ///< Addresses of the sender's peers; in some full updates only.
};

/// Events of one tick.
struct GatewayInbox
{
    std::vector<ConfigurationReceived> configurations_; ///< Configurations received.
    std::vector<UpstreamsReceived> upstreams_; ///< Upstream lists and changes received.
    std::vector<RolloutsReceived> rollouts_; ///< Orders and status rows of rollouts received.
    std::vector<StoreCallOutcome> storeOutcomes_; ///< Outcomes of calls to the store.
    std::vector<CrashRecords> crashRecords_; ///< Evidence of crashes that was read from the store.
    bool crashRecordsUnread_ = false; ///< Whether a read of that evidence has failed.
    std::optional<bool> crashRecordsWritten_; ///< Whether a write of that evidence took effect, once it has ended.
    std::vector<std::string> peerAddresses_; ///< Addresses of gateways from the settings or the store.
    std::vector<QuotaLevels> quotaLevels_; ///< Quota levels received from peers.
    std::vector<PeerUpdate> peerUpdates_; ///< Updates received from peers.
    std::vector<SlotMessage> slotMessages_; ///< Messages about slots received from peers.
    std::vector<SnapshotPart> endedSnapshots_; ///< Fetches of snapshots that have ended, successful or not.
    std::vector<CallArrived> arrivals_; ///< New calls.
    std::vector<CallerDisconnected> disconnects_; ///< Callers that have disconnected.
    std::vector<HeadReceived> heads_; ///< Headers of answers.
    std::vector<BytesReceived> bytes_; ///< Parts of answers' bodies.
    std::vector<SendEnded> ends_; ///< Ended sends.
    std::vector<UpstreamChecked> checks_; ///< Ended checks of upstreams.
    bool stopRequested_ = false; ///< Whether the process was asked to stop.
};

} // namespace Burdockfield::Gateway
