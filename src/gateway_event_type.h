/**
 * @file gateway_event_type.h
 * @brief Inputs of a gateway's tick, one table for each kind.
 */
#pragma once

#include "gateway_base.h"

#include <map>
#include <string>
#include <vector>

namespace Burdockfield::Gateway {

/// A caller's request came in whole.
struct CallArrived
{
    ExchangeId exchange_; ///< Where the answer goes.
    CallRequest request_; ///< What was asked.
};

/// The header of an answer came.
struct HeadReceived
{
    uint64_t send_ = 0; ///< Send that it answers.
    AnswerHead head_; ///< Header.
};

/// Bytes of an answer's body came.
struct BytesReceived
{
    uint64_t send_ = 0; ///< Send that they answer.
    std::string bytes_; ///< Bytes.
};

/// A send ended.
struct SendEnded
{
    uint64_t send_ = 0; ///< The send.
    std::error_code error_; ///< Success when the whole answer came, else a TransportErrc.
};

/// A configuration came, from the store or from a peer.
struct ConfigurationReceived
{
    Configuration configuration_; ///< The configuration.
    std::string text_; ///< The same as the operator wrote it.
    std::string source_; ///< Where it came from.
};

/// Rows of the list of upstreams came, from the store or from a peer.
struct UpstreamsReceived
{
    std::vector<UpstreamRow> rows_; ///< Rows.
    bool fullList_ = false; ///< Whether rows that are not listed are gone.
    uint64_t version_ = 0; ///< Version of the list.
    std::string source_; ///< Where it came from.
    bool fromPeer_ = false; ///< Whether a peer sent it, which may know less than this gateway by now.
};

/// Units left of each workspace's quota, as a peer knows it.
using QuotaLevels = std::map<std::string, double>;

/// Whether the store answers.
struct StoreReachable
{
    bool reachable_ = false; ///< Whether it does.
    std::error_code error_; ///< Why it does not.
};

/// What one gateway tells another.
struct PeerUpdate
{
    std::string address_; ///< IP:PORT of the sender, by the datagram's source.
    std::string name_; ///< Name of the sender, in introductions.
    std::string region_; ///< Region of the sender, in introductions.
    uint64_t incarnation_ = 0; ///< Start of the sender.
    uint64_t sequence_ = 0; ///< Number of this update.
    uint64_t configurationVersion_ = 0; ///< Configuration that it holds.
    uint64_t upstreamsVersion_ = 0; ///< Version of the upstream list that it holds.
    std::unordered_map<std::string, uint32_t> inFlight_; ///< Its calls at each upstream.
    std::unordered_map<std::string, uint64_t> chargedUnits_; ///< Units that it has charged to each workspace.
    std::map<uint64_t, uint32_t> suspects_; ///< Crashes that it has seen, by fingerprint, in introductions.
    std::vector<std::string> peers_; ///< Addresses of peers, in introductions.
};

/// Inputs of one tick.
struct GatewayInbox
{
    std::vector<ConfigurationReceived> configurations_; ///< Configurations.
    std::vector<UpstreamsReceived> upstreams_; ///< Upstream lists.
    std::vector<StoreReachable> storeChanges_; ///< State of the store.
    std::vector<std::string> peerAddresses_; ///< Gateways learnt of from settings or the store.
    std::vector<QuotaLevels> quotaLevels_; ///< Levels of quotas as peers know them.
    std::vector<PeerUpdate> peerUpdates_; ///< Updates of peers.
    std::vector<CallArrived> arrivals_; ///< New calls.
    std::vector<ExchangeId> disconnects_; ///< Callers that have left.
    std::vector<HeadReceived> heads_; ///< Headers of answers.
    std::vector<BytesReceived> bytes_; ///< Bodies of answers.
    std::vector<SendEnded> ends_; ///< Ended sends.
    bool stopRequested_ = false; ///< The process has been told to stop.
};

} // namespace Burdockfield::Gateway
