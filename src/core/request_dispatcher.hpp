/// \file
/// Runs requests: tells a Scheduler what happens to them and carries out what it decides.
#pragma once

#include "core/deadlines.hpp"
#include "core/in_flight_request.hpp"
#include "core/log.hpp"
#include "core/memory_budget.hpp"
#include "core/metrics.hpp"
#include "core/node_port.hpp"
#include "core/request_handler.hpp"
#include "core/request_log.hpp"
#include "core/request_observer.hpp"
#include "marblewood/scheduler.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace marblewood::core {

/// Actions of the Scheduler that go beyond requests and nodes; set by the owner of the dispatcher.
struct DispatcherCallbacks {
    /// \param peer index of the receiving host; empty: all.
    std::function<void(std::optional<int> peer, const std::string &data)> send_peer_message;
};

/// Owns one Scheduler, its timers and its requests. It decides nothing itself.
///
/// Each request is run by one coroutine, run_request(), which handles the request's messages one at a time:
/// the Scheduler's actions, the node ports' reports and the front end's calls. What happens is passed to the
/// Scheduler as an Event; the Actions that it returns become messages again.
///
/// Threads: everything runs on the executor's one thread. Errors: an exception from a coroutine ends the
/// program.
class RequestDispatcher : public RequestHandler {
public:
    /// The references and `observer` (may be null) outlive the dispatcher. Throws std::invalid_argument for
    /// contradictory settings, as the Scheduler does.
    RequestDispatcher(boost::asio::any_io_executor executor, Deadlines &deadlines, MemoryBudget &memory,
                      Metrics &metrics, const Settings &settings, NodePort &port,
                      DispatcherCallbacks callbacks, RequestObserver *observer = nullptr);

    RequestId submit(std::shared_ptr<const Request> request, CompletionCallback on_complete,
                     ReleaseCallback on_released = nullptr) override;
    void client_disconnected(RequestId id) override { post(id, ClientDisconnected{id}); }
    void answer_now(RequestId id) override { post(id, AnswerNow{id}); }

    void update_endpoints(const ListUpdate &update);
    void peer_message(PeerMessage message) { notify_scheduler(std::move(message)); }

    /// The state for a successor; with a volume: its quota alone.
    HandoverState handover_state(std::optional<VolumeId> only = {}) const {
        return scheduler_.handover_state(only);
    }
    /// Takes over what handover_state() of a predecessor returned.
    void restore(const HandoverState &state) { notify_scheduler(state); }
    /// With `on`, only requests already accepted are still sent; without, the successor has gone.
    void drain_for_successor(bool on) { notify_scheduler(DrainForSuccessor{on}); }

    /// Requests submitted from now on are answered by `time` (Unix time in us), even if their clients would
    /// wait longer: the process ends then.
    void cap_deadlines(Micros time) { latest_deadline_ = time; }

    /// Whether the node is listed or an attempt is in flight there.
    bool knows(NodeId node) const { return scheduler_.concurrency_limit(node).has_value(); }
    bool is_avoided(NodeId node) const { return scheduler_.is_avoided(node); }
    OverloadMetrics overload() const { return scheduler_.overload(); }
    /// The number of requests whose clients wait for an answer.
    std::size_t unanswered() const { return unanswered_; }

private:
    using RequestPointer = std::shared_ptr<InFlightRequest>;

    // A request's way, from top to bottom.
    boost::asio::awaitable<void> run_request(RequestPointer request);
    void refuse_immediately(InFlightRequest &request);
    void announce(InFlightRequest &request);
    bool is_open(const InFlightRequest &request) const;
    void release(InFlightRequest &request);

    // One step each, by the type of the message.
    void on_message(const RequestPointer &request, const Send &send);
    void on_message(const RequestPointer &request, const Cancel &cancel);
    void on_message(const RequestPointer &request, const StreamBegan &began);
    void on_message(const RequestPointer &request, AttemptFinished &finished);
    void on_message(const RequestPointer &request, const Refuse &refuse);
    void on_message(const RequestPointer &request, const Fail &fail);
    void on_message(const RequestPointer &request, const AnswerNow &answer);
    void on_message(const RequestPointer &request, const ClientDisconnected &disconnected);

    std::shared_ptr<Attempt> make_attempt(InFlightRequest &request, const Send &send);
    boost::asio::awaitable<void> run_attempt(RequestPointer request, int number);
    bool may_write(const InFlightRequest &request, NodeId node, Micros write_by) const;
    void count_repeated_attempt(const InFlightRequest &request);
    void finish_stream(InFlightRequest &request);
    void complete(InFlightRequest &request, Outcome outcome);
    void record_completion(const InFlightRequest &request, const Outcome &outcome);

    void notify_scheduler(Event event);
    void post(RequestId id, RequestMessage message);

    // The Scheduler's actions.
    void perform(const Send &send) { post(send.id, send); }
    void perform(const Refuse &refuse) { post(refuse.id, refuse); }
    void perform(const Fail &fail) { post(fail.id, fail); }
    void perform(const Cancel &cancel) { post(cancel.id, cancel); }
    void perform(const Probe &probe);
    void perform(const CloseIdle &close) { port_.close_idle(close.node); }
    void perform(const SetTimer &timer);
    void perform(const SendPeerMessage &message) { callbacks_.send_peer_message(message.peer, message.data); }
    void perform(const Log &line) { log("{}", line.text); }

    boost::asio::awaitable<void> probe(NodeId node);

    boost::asio::any_io_executor executor_;
    Deadlines &deadlines_;
    MemoryBudget &memory_;
    Metrics &metrics_;
    const Settings settings_;
    NodePort &port_;
    DispatcherCallbacks callbacks_;
    RequestObserver *observer_;
    RequestLog request_log_;
    Scheduler scheduler_;

    std::unordered_map<RequestId, RequestPointer> requests_; // in flight
    std::uint64_t next_request_ = 1;
    std::size_t unanswered_ = 0;
    Micros latest_deadline_ = INT64_MAX;

    std::map<NodeId, NodeState> nodes_; // all that are listed and not gone
    std::map<std::uint64_t, Deadlines::Entry> timers_;
    std::uint64_t next_timer_ = 1;

    std::deque<Event> pending_events_;
    bool in_scheduler_ = false;
};

} // namespace marblewood::core
