/// \file
/// Runs requests: reports events to a Scheduler and performs the actions that it returns.
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

/// Handlers, set by the owner of the dispatcher, for actions of the Scheduler that concern neither requests
/// nor nodes.
struct DispatcherCallbacks {
    /// \param peer index of the receiving host; empty: all hosts.
    std::function<void(std::optional<int> peer, const std::string &data)> send_peer_message;
};

/// Owns one Scheduler, its timers and its requests. All decisions are the Scheduler's.
///
/// Each request is run by one coroutine, run_request(), which handles the request's messages one at a time:
/// actions of the Scheduler, reports from node ports and calls from the front end. What happens is reported
/// to the Scheduler as an Event. An Action that it returns for a request is sent to that request as a
/// message.
///
/// Threads: everything runs on the executor's single thread. Errors: an exception from a coroutine terminates
/// the program.
class RequestDispatcher : public RequestHandler {
public:
    /// The references and `observer`, which may be null, must outlive the dispatcher. Throws
    /// std::invalid_argument for contradictory settings, as the Scheduler does.
    RequestDispatcher(boost::asio::any_io_executor executor, Deadlines &deadlines, MemoryBudget &memory,
                      Metrics &metrics, const Settings &settings, NodePort &port,
                      DispatcherCallbacks callbacks, RequestObserver *observer = nullptr);

    RequestId submit(std::shared_ptr<const Request> request, CompletionCallback on_complete,
                     ReleaseCallback on_released = nullptr) override;
    void client_disconnected(RequestId id) override { post(id, ClientDisconnected{id}); }
    void answer_now(RequestId id) override { post(id, AnswerNow{id}); }

    void update_endpoints(const ListUpdate &update);
    void peer_message(PeerMessage message) { notify_scheduler(std::move(message)); }

    /// The state to hand to a successor process. With a volume, only that volume's quota.
    HandoverState handover_state(std::optional<VolumeId> only = {}) const {
        return scheduler_.handover_state(only);
    }
    /// Restores the state that handover_state() returned in the predecessor process.
    void restore(const HandoverState &state) { notify_scheduler(state); }
    /// `on`: a successor has taken over, and only requests already accepted are still sent to nodes.
    /// Otherwise the successor has exited, and this process serves normally again.
    void drain_for_successor(bool on) { notify_scheduler(DrainForSuccessor{on}); }

    /// Limits the deadline of requests submitted from now on to the Unix time `time`, at which the process is
    /// to exit, even if their clients would wait longer.
    void cap_deadlines(Micros time) { latest_deadline_ = time; }

    /// Whether the node is listed or has an attempt in flight.
    bool is_known_node(NodeId node) const { return scheduler_.concurrency_limit(node).has_value(); }
    bool is_avoided(NodeId node) const { return scheduler_.is_avoided(node); }
    OverloadMetrics overload() const { return scheduler_.overload(); }
    /// The number of volumes whose quotas this host accounts for.
    std::size_t quota_accounts() const { return scheduler_.entry_counts().volumes; }
    /// The number of requests whose clients wait for an answer.
    std::size_t unanswered() const { return unanswered_count_; }

private:
    using RequestPointer = std::shared_ptr<InFlightRequest>;

    // The stages of a request, in order.
    boost::asio::awaitable<void> run_request(RequestPointer request);
    void refuse_immediately(InFlightRequest &request);
    void notify_arrival(InFlightRequest &request);
    bool is_active(const InFlightRequest &request) const;
    void release(InFlightRequest &request);

    // Handlers for the messages of a request.
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
    void count_retry_or_hedge(const InFlightRequest &request);
    void finish_stream(InFlightRequest &request);
    void complete(InFlightRequest &request, Outcome outcome);
    void record_completion(const InFlightRequest &request, const Outcome &outcome);

    void notify_scheduler(Event event);
    void post(RequestId id, RequestMessage message);

    // Handlers for the actions of the Scheduler.
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

    std::unordered_map<RequestId, RequestPointer> requests_; // those in flight
    std::uint64_t next_request_id_ = 1;
    std::size_t unanswered_count_ = 0;
    Micros latest_deadline_ = INT64_MAX;

    std::map<NodeId, NodeState> nodes_; // all listed nodes; never NodeState::Gone
    std::map<std::uint64_t, Deadlines::Entry> timers_;
    std::uint64_t next_timer_id_ = 1;

    std::deque<Event> pending_events_;
    bool in_scheduler_ = false;
};

} // namespace marblewood::core
