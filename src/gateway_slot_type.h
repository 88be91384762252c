/**
 * @file gateway_slot_type.h
 * @brief Requests for slots at upstreams, which gateways make to the broker of a region, and its replies.
 */
#pragma once

#include "time_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Burdockfield::Gateway {

/// Free slots of a service for calls of its most urgent rank, of the next one, and of all others.
using FreeSlots = std::array<uint32_t, 3>;

/// Request of a gateway for a slot at an upstream of a service.
struct SlotRequest
{
    uint64_t number_ = 0; ///< Number of the request, unique among those of its gateway's process.
    std::string origin_; ///< IP:PORT of the gateway that needs the slot; empty if that is the sender.
    std::string service_; ///< Name of the service.
    std::string zone_; ///< Availability zone of the gateway that needs the slot.
    uint32_t rank_ = 0; ///< Urgency of the call, see Call::rank_.
    uint32_t routeRank_ = 0; ///< See Call::routeRank_.
    bool resumesStream_ = false; ///< Whether the call is a stream that has started.
    bool callerRetry_ = false; ///< See Call::callerRetry_.
    uint64_t promptTokens_ = 0; ///< Tokens of the prompt, 0 if unknown.
    uint64_t memoryTokens_ = 0; ///< Tokens of an engine's memory that it may take; 0 if the service has no limit.
    Milliseconds age_{ 0 }; ///< Time since the call arrived.
    Milliseconds wait_{ 0 }; ///< Time for which the call may still wait.
    std::string route_; ///< Name of the route, if a version of the service is limited; else empty.
    bool firstMessage_ = false; ///< Whether this is the first message about the call, which is counted once.
    std::vector<std::string> excluded_; ///< Ids of upstreams that the call can't be sent to.
    std::vector<std::string> tried_; ///< Ids of upstreams that it was sent to before, the last choice.
};

/// Reply to a slot request: the slot, or that the request is queued.
struct SlotReply
{
    uint64_t number_ = 0; ///< Number of the request.
    uint64_t grant_ = 0; ///< Number of the grant, rising for each receiver; 0 if the request is queued.
    std::string upstream_; ///< Id of the upstream with the slot; empty if the request is queued.
    uint32_t inFlight_ = 0; ///< Calls at the upstream, this one included, as the broker counts them.
    bool infeasible_ = false; ///< Whether no slot is expected in time; the call should be refused now.
};

/// Message about slots between two gateways.
struct SlotMessage
{
    std::string address_; ///< IP:PORT of the sender, taken from the datagram's source.
    uint64_t incarnation_ = 0; ///< Identifies the start of the sender's process.
    std::vector<SlotRequest> requests_; ///< Requests for slots.
    std::vector<SlotReply> replies_; ///< Replies to requests.
    std::map<std::string, FreeSlots> freeSlots_; ///< Free slots by service, if the sender is a broker.
};

/// Request for a slot that waits at the broker.
struct QueuedSlotRequest
{
    SlotRequest request_; ///< The request.
    TimePoint arrivedAt_{}; ///< When the call arrived at its gateway.
    TimePoint waitUntil_{}; ///< Until when the call waits.
    bool acknowledged_ = false; ///< Whether its gateway has been notified that it is queued.
    bool forwarded_ = false; ///< Whether the broker of another region has passed it on.
};

/// Slot that a broker has granted and that the receiver's counts don't include yet.
struct PendingGrant
{
    uint64_t grant_ = 0; ///< Number of the grant.
    uint64_t number_ = 0; ///< Number of the request.
    std::string upstream_; ///< Id of the upstream.
    TimePoint at_{}; ///< When it was granted.
    uint64_t memoryTokens_ = 0; ///< See SlotRequest::memoryTokens_.
};

} // namespace Burdockfield::Gateway
