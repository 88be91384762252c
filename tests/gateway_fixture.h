/**
 * @file gateway_fixture.h
 * @brief Fixture of a gateway whose ticks and clock are driven by the test.
 */
#pragma once

#include "error_type.h"
#include "gateway_func.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

namespace Burdockfield::Testing {

using namespace Gateway;

/// Gateway with an applied configuration: a route of each kind, two engines and a server that is no engine.
struct GatewayFixture
{
    GatewayFixture()
    {
        state_.name_ = "gateway-1";
        state_.zone_ = "zone-1";
        state_.region_ = "region-1";
        state_.regionByZone_ = { { "zone-1", "region-1" }, { "zone-2", "region-2" } };
        state_.peerAddress_ = "10.0.0.1:7000";
        state_.incarnation_ = 1;
        state_.firstStart_ = true;
        state_.startedAt_ = now_;
        state_.lastPeerDisruptionAt_ = now_;
        state_.bounds_.quotaTokenSlack_ = 0;
        GatewayInbox inbox;
        inbox.configurations_.push_back({ makeConfiguration(1), "text-1", "test" });
        UpstreamsReceived list;
        list.rows_ = { makeRow("engine-1", "engines"), makeRow("engine-2", "engines"), makeRow("desk-1", "desk") };
        list.fullList_ = true;
        list.version_ = { 0, 10 };
        inbox.upstreams_.push_back(list);
        tick(std::move(inbox));
    }

    /// Runs one tick at the current test time.
    GatewayOutbox tick(GatewayInbox inbox = {})
    {
        return tickGateway(state_, now_, std::move(inbox));
    }

    /// Advances the time, then runs one tick.
    GatewayOutbox tickAfter(Milliseconds time)
    {
        now_ += time;
        return tick();
    }

    static Route makeRoute(const std::string &name, CallKind kind, const std::string &service)
    {
        Route route;
        route.name_ = name;
        route.host_ = "host";
        route.pathPrefix_ = "/" + name + "/";
        route.kind_ = kind;
        route.timeout_ = Milliseconds(4000);
        route.latencyTarget_ = Milliseconds(400);
        route.attempts_ = 2;
        route.targets_ = { { service, 1 } };
        return route;
    }

    static Configuration makeConfiguration(uint64_t version)
    {
        Configuration configuration;
        configuration.version_ = version;
        configuration.routes_ = { makeRoute("stream", CallKind::Streaming, "engines"),
            makeRoute("once", CallKind::NonIdempotent, "desk"), makeRoute("read", CallKind::Idempotent, "engines") };
        configuration.routes_[0].resumable_ = true;
        configuration.services_ = { { "engines", 0, true }, { "desk", 0, false } };
        WorkspaceRule workspace;
        workspace.name_ = "workspace-1";
        workspace.keys_ = { "key-1" };
        workspace.ratePerSecond_ = 1000;
        workspace.burst_ = 8000;
        workspace.countsTokens_ = true;
        configuration.workspaces_ = { workspace };
        return configuration;
    }

    static UpstreamRow makeRow(const std::string &id, const std::string &service, const std::string &zone = "zone-1")
    {
        return { id, service, "10.0.1.1:80", zone, 4, 1, false, false, false, {}, {}, true, false };
    }

    CallArrived makeCall(const std::string &route, uint64_t exchange)
    {
        CallArrived arrival;
        arrival.exchange_ = ExchangeId{ exchange };
        CallRequest &request = arrival.request_;
        request.id_ = "request-" + std::to_string(exchange);
        request.method_ = "POST";
        request.path_ = "/" + route + "/x";
        request.target_ = request.path_;
        request.host_ = "host";
        request.key_ = "key-1";
        request.wait_ = Milliseconds(4000);
        request.tokens_ = 10;
        request.body_ = std::make_shared<const std::string>("body");
        return arrival;
    }

    /// Runs a tick that receives a call. @return the commands of the tick
    GatewayOutbox receiveCall(const CallArrived &arrival)
    {
        GatewayInbox inbox;
        inbox.arrivals_.push_back(arrival);
        return tick(std::move(inbox));
    }

    GatewayOutbox receiveCall(const std::string &route, uint64_t exchange)
    {
        return receiveCall(makeCall(route, exchange));
    }

    static AnswerHead makeHead(int status, bool eventStream = false)
    {
        AnswerHead head;
        head.reply_.status_ = status;
        head.authentic_ = true;
        head.eventStream_ = eventStream;
        return head;
    }

    /// Runs a tick that receives a complete answer: its header, its body and its end.
    GatewayOutbox receiveAnswer(
        uint64_t send, const AnswerHead &head, const std::string &body, std::error_code error = {})
    {
        GatewayInbox inbox;
        inbox.heads_.push_back({ send, head });
        inbox.bytes_.push_back({ send, body });
        inbox.ends_.push_back({ send, error });
        return tick(std::move(inbox));
    }

    /// Runs a tick that receives the header and some bytes of a stream, but not its end.
    GatewayOutbox receiveStreamBytes(uint64_t send, const std::string &body)
    {
        GatewayInbox inbox;
        inbox.heads_.push_back({ send, makeHead(200, true) });
        inbox.bytes_.push_back({ send, body });
        return tick(std::move(inbox));
    }

    /// Runs a tick that receives further bytes of an answer.
    GatewayOutbox receiveBytes(uint64_t send, const std::string &bytes)
    {
        GatewayInbox inbox;
        inbox.bytes_.push_back({ send, bytes });
        return tick(std::move(inbox));
    }

    GatewayOutbox endSend(uint64_t send, std::error_code error)
    {
        GatewayInbox inbox;
        inbox.ends_.push_back({ send, error });
        return tick(std::move(inbox));
    }

    /// Runs a tick that receives the end of the check of an upstream.
    GatewayOutbox reportCheck(const std::string &id, std::error_code error)
    {
        GatewayInbox inbox;
        inbox.checks_.push_back({ id, error });
        return tick(std::move(inbox));
    }

    /**
     * Breaks the only call sent by a tick, then lets the check of its upstream end, which returns as another start.
     * @return whether the upstream was checked
     */
    bool crashUpstream(const GatewayOutbox &sent, std::error_code checkError)
    {
        const SendCall &command = sent.sends_.at(0);
        const std::string id = command.parameters_.instance_;
        const GatewayOutbox broken = endSend(command.send_, TransportErrc::Lost);
        reportCheck(id, checkError);
        tickAfter(Milliseconds(5000));
        UpstreamsReceived change;
        change.rows_ = { makeRow(id, "engines") };
        change.rows_[0].startedAtMs_ = ++starts_;
        GatewayInbox listed;
        listed.upstreams_.push_back(change);
        tick(std::move(listed));
        return broken.checks_.size() == 1 && broken.checks_[0].upstream_ == id;
    }

    /// @return a field of a tick's first log line with an event, or an empty text.
    static std::string findField(const GatewayOutbox &outbox, const std::string &event, const std::string &field)
    {
        for (const Decision &decision : outbox.decisions_) {
            if (decision.event_ != event) {
                continue;
            }
            for (const auto &[name, value] : decision.fields_) {
                if (name == field) {
                    return value;
                }
            }
            return {};
        }
        return {};
    }

    /// Runs a tick that receives a full update of a peer with its calls in flight.
    GatewayOutbox receivePeerCounts(const std::string &address, std::unordered_map<std::string, uint32_t> inFlight)
    {
        PeerUpdate update;
        update.address_ = address;
        update.name_ = address;
        update.region_ = "region-1";
        update.incarnation_ = 5;
        update.sequence_ = ++peerSequence_;
        update.configurationVersion_ = state_.configuration_.version_;
        update.inFlight_ = std::move(inFlight);
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(update);
        return tick(std::move(inbox));
    }

    Upstream &upstream(const std::string &id)
    {
        return *findRow(state_.upstreams_, state_.upstreamById_.at(id));
    }

    GatewayState state_; ///< Tables of the gateway under test.
    TimePoint now_{ std::chrono::hours(1) }; ///< Current time; advanced by the test.
    uint64_t starts_ = 1; ///< Start time of the last upstream that crashUpstream() started again.
    uint64_t peerSequence_ = 0; ///< Sequence number of the last peer update.
};

} // namespace Burdockfield::Testing
