#include "core/request_dispatcher.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace marblewood::core {

namespace asio = boost::asio;

namespace {

/// Completion handler for coroutines: rethrows an exception, so that it terminates the program instead of
/// being ignored.
void rethrow(const std::exception_ptr &error) {
    if (error)
        std::rethrow_exception(error);
}

} // namespace

RequestDispatcher::RequestDispatcher(asio::any_io_executor executor, Deadlines &deadlines,
                                     MemoryBudget &memory, Metrics &metrics, const Settings &settings,
                                     NodePort &port, DispatcherCallbacks callbacks, RequestObserver *observer)
    : executor_(std::move(executor)), deadlines_(deadlines), memory_(memory), metrics_(metrics),
      settings_(settings), port_(port), callbacks_(std::move(callbacks)), observer_(observer),
      request_log_(deadlines.clock), scheduler_(settings) {}

RequestId RequestDispatcher::submit(std::shared_ptr<const Request> request, CompletionCallback on_complete,
                                    ReleaseCallback on_released) {
    const RequestId id{next_request_id_++};
    auto in_flight = std::make_shared<InFlightRequest>(executor_, memory_, id, std::move(request),
                                                       std::move(on_complete), std::move(on_released));
    ++unanswered_count_;
    if (memory_.is_exhausted() || in_flight->request->refuse_immediately) {
        refuse_immediately(*in_flight);
        return id;
    }
    requests_.emplace(id, in_flight);
    asio::co_spawn(executor_, run_request(std::move(in_flight)), rethrow);
    return id;
}

/// Runs one request to its end. Passes it to the Scheduler, which decides what to do, then handles its
/// messages in order until it is answered and none of its attempts is in flight.
asio::awaitable<void> RequestDispatcher::run_request(RequestPointer request) {
    notify_arrival(*request);
    while (is_active(*request)) {
        RequestMessage next = co_await request->messages.take();
        std::visit([&](auto &message) { on_message(request, message); }, next);
    }
    release(*request);
}

/// Refuses a request before any attempt, so that its client may safely send it again. If the reason is that
/// the client's connection is about to close, the client may retry at once over another connection.
void RequestDispatcher::refuse_immediately(InFlightRequest &request) {
    const bool connection_closing = request.request->refuse_immediately;
    if (connection_closing) {
        ++metrics_.refused_closing;
        ++metrics_.refused_unsent;
    }
    const Micros retry_after = connection_closing ? 0 : settings_.max_retry_after;
    complete(request, {.kind = Outcome::Kind::Refused, .retry_after = retry_after});
    if (request.on_released)
        request.on_released();
}

/// Passes the request to the Scheduler. The client's timeout counts from the request's arrival, so the time
/// that has passed since then is subtracted.
void RequestDispatcher::notify_arrival(InFlightRequest &request) {
    request.deadline = std::min(request.request->received_at + request.request->timeout, latest_deadline_);
    RequestArrived arrival = request.request->arrival;
    arrival.id = request.id;
    arrival.time_left = std::max<Micros>(request.deadline - deadlines_.clock.now(), 0);
    notify_scheduler(arrival);
}

bool RequestDispatcher::is_active(const InFlightRequest &request) const {
    return request.awaits_answer() || request.attempts_in_flight > 0 || scheduler_.tracks(request.id);
}

void RequestDispatcher::release(InFlightRequest &request) {
    requests_.erase(request.id);
    if (request.on_released)
        request.on_released();
}

void RequestDispatcher::on_message(const RequestPointer &request, const Send &send) {
    const int number = static_cast<int>(request->attempts.size());
    auto attempt = make_attempt(*request, send);
    if (number > 0)
        count_retry_or_hedge(*request);
    request->attempts.push_back(std::move(attempt));
    ++request->attempts_in_flight;
    asio::co_spawn(executor_, run_attempt(request, number), rethrow);
}

void RequestDispatcher::on_message(const RequestPointer &request, const Cancel &cancel) {
    const auto number = static_cast<std::size_t>(cancel.attempt);
    if (number < request->attempts.size())
        request->attempts[number]->stop(Status::Cancelled);
}

/// Answers the client with the first stream that begins; the front end reads the value from it.
void RequestDispatcher::on_message(const RequestPointer &request, const StreamBegan &began) {
    const auto &attempt = request->attempts[static_cast<std::size_t>(began.attempt)];
    if (!request->awaits_answer()) {
        attempt->stream->abandon();
        return;
    }
    request->streaming_attempt = attempt;
    notify_scheduler(StreamStarted{request->id, began.attempt});
    const auto on_complete = std::exchange(request->on_complete, nullptr);
    on_complete({.kind = Outcome::Kind::Served, .stream = attempt->stream});
}

/// Answers the client with the first value that a node has served.
void RequestDispatcher::on_message(const RequestPointer &request, AttemptFinished &finished) {
    AttemptResult &result = finished.result;
    const auto &attempt = request->attempts[static_cast<std::size_t>(finished.attempt)];
    --request->attempts_in_flight;
    request->ended_statuses.push_back(result.status);
    const Micros latency = deadlines_.clock.now() - attempt->started_at;
    if (request->streaming_attempt == attempt)
        finish_stream(*request);
    else if (result.status == Status::Ok)
        complete(*request, {.kind = Outcome::Kind::Served, .value = std::move(result.value)});
    notify_scheduler(AttemptEnded{.id = request->id,
                                  .attempt = finished.attempt,
                                  .status = result.status,
                                  .latency = latency,
                                  .closed = !request->awaits_answer(),
                                  .used = result.used,
                                  .remote_units = result.remote_units,
                                  .report = result.report});
}

void RequestDispatcher::on_message(const RequestPointer &request, const Refuse &refuse) {
    if (request->attempts.empty() && request->awaits_answer())
        ++metrics_.refused_unsent;
    const Micros retry_after = settings_.retry_after ? refuse.retry_after : 0;
    complete(*request, {.kind = Outcome::Kind::Refused, .retry_after = retry_after});
}

void RequestDispatcher::on_message(const RequestPointer &request, const Fail &) {
    const auto cls = static_cast<std::size_t>(request->request->arrival.cls);
    const bool retry_safe = settings_.classes[cls].idempotency == Idempotency::Idempotent;
    complete(*request, {.kind = Outcome::Kind::Failed, .retry_safe = retry_safe});
}

void RequestDispatcher::on_message(const RequestPointer &request, const AnswerNow &answer) {
    if (request->awaits_answer())
        ++metrics_.answered_early;
    notify_scheduler(answer);
}

void RequestDispatcher::on_message(const RequestPointer &request, const ClientDisconnected &disconnected) {
    if (request->awaits_answer()) {
        request->on_complete = nullptr;
        --unanswered_count_;
    }
    if (request->streaming_attempt) {
        request->streaming_attempt->stream->abandon();
        request->streaming_attempt->stop(Status::Cancelled);
    }
    notify_scheduler(disconnected);
}

std::shared_ptr<Attempt> RequestDispatcher::make_attempt(InFlightRequest &request, const Send &send) {
    auto attempt = std::make_shared<Attempt>();
    attempt->request = request.request;
    attempt->node = send.node;
    attempt->started_at = deadlines_.clock.now();
    attempt->expires_at = send.expires > 0 ? send.expires : request.deadline;
    const Micros write_by =
        send.start_by > 0 ? std::min(attempt->expires_at, send.start_by) : attempt->expires_at;
    attempt->may_write = [this, &request, node = send.node, write_by] {
        return may_write(request, node, write_by);
    };
    attempt->on_written = [this] { ++metrics_.attempts_written; };
    const int number = static_cast<int>(request.attempts.size());
    attempt->begin_stream = [this, &request, attempt = attempt.get(), number](std::size_t length) {
        attempt->stream = std::make_shared<Stream>(executor_, memory_, length);
        request.messages.put(StreamBegan{number});
    };
    return attempt;
}

/// Runs an attempt at its node and stops it when it expires, unless its value is being streamed by then.
asio::awaitable<void> RequestDispatcher::run_attempt(RequestPointer request, int number) {
    const std::shared_ptr<Attempt> attempt = request->attempts[static_cast<std::size_t>(number)];
    const auto expiry = deadlines_.at(attempt->expires_at, [&attempt = *attempt] {
        if (!attempt.stream)
            attempt.stop(Status::Timeout);
    });
    AttemptResult result = co_await port_.run(attempt);
    if (observer_)
        observer_->attempt_ended(request->id, *attempt, number, result.status, attempt->started_at,
                                 deadlines_.clock.now());
    request->messages.put(AttemptFinished{number, std::move(result)});
}

/// Checks, just before the first byte is written, that the attempt should still be sent. While the connection
/// to the node was being set up, the client may have disconnected, the time may have run out, the node may
/// have begun to drain, and its deduplication window may have ended. The request would then be wasted work,
/// be executed twice, or reach a draining node.
bool RequestDispatcher::may_write(const InFlightRequest &request, NodeId node, Micros write_by) const {
    const auto listed = nodes_.find(node);
    return request.awaits_answer() && deadlines_.clock.now() < write_by && listed != nodes_.end() &&
           listed->second == NodeState::Ready;
}

void RequestDispatcher::count_retry_or_hedge(const InFlightRequest &request) {
    if (request.attempts_in_flight > 0)
        ++metrics_.hedges;
    else
        ++metrics_.retries[static_cast<std::size_t>(request.ended_statuses.back())];
}

/// Records the outcome of a request whose value was streamed, at the end of that attempt. The client was
/// answered when the stream began.
void RequestDispatcher::finish_stream(InFlightRequest &request) {
    const bool complete = request.streaming_attempt->stream->is_complete();
    if (!complete)
        ++metrics_.streams_broken;
    record_completion(request, {.kind = complete ? Outcome::Kind::Served : Outcome::Kind::Failed});
    request.streaming_attempt = nullptr;
}

/// Passes the outcome to the front end, if the client still waits for it.
void RequestDispatcher::complete(InFlightRequest &request, Outcome outcome) {
    if (!request.awaits_answer())
        return;
    record_completion(request, outcome);
    const auto on_complete = std::exchange(request.on_complete, nullptr);
    on_complete(std::move(outcome));
}

void RequestDispatcher::record_completion(const InFlightRequest &request, const Outcome &outcome) {
    --unanswered_count_;
    ++metrics_.completed_as(request.request->arrival.cls, outcome.kind);
    request_log_.request_ended(*request.request, outcome, request.ended_statuses, request.attempts.size());
    if (observer_)
        observer_->request_ended(request.id, *request.request, outcome, deadlines_.clock.now());
}

void RequestDispatcher::update_endpoints(const ListUpdate &update) {
    if (update.kind != ListUpdate::Kind::Changes)
        nodes_.clear();
    for (const NodeEntry &entry : update.entries) {
        if (entry.state == NodeState::Gone)
            nodes_.erase(entry.node);
        else
            nodes_[entry.node] = entry.state;
    }
    notify_scheduler(update);
}

/// Passes an event to the Scheduler and performs the actions it returns. The Scheduler must not be
/// re-entered: an event caused by an action is queued until all actions of the current event have been
/// performed.
void RequestDispatcher::notify_scheduler(Event event) {
    pending_events_.push_back(std::move(event));
    if (in_scheduler_)
        return;
    in_scheduler_ = true;
    std::vector<Action> actions;
    while (!pending_events_.empty()) {
        const Event next = std::move(pending_events_.front());
        pending_events_.pop_front();
        actions.clear();
        scheduler_.handle(deadlines_.clock.now(), next, actions);
        for (const Action &action : actions)
            std::visit([this](const auto &alternative) { perform(alternative); }, action);
    }
    in_scheduler_ = false;
}

/// Sends a message to a request; ignored if the request is no longer in flight.
void RequestDispatcher::post(RequestId id, RequestMessage message) {
    if (const auto found = requests_.find(id); found != requests_.end())
        found->second->messages.put(std::move(message));
}

void RequestDispatcher::perform(const Probe &probe_action) {
    asio::co_spawn(executor_, probe(probe_action.node), rethrow);
}

void RequestDispatcher::perform(const SetTimer &timer) {
    const std::uint64_t timer_id = next_timer_id_++;
    timers_[timer_id] = deadlines_.in(timer.delay, [this, timer_id, token = timer.token] {
        timers_.erase(timer_id);
        notify_scheduler(TimerDue{token});
    });
}

asio::awaitable<void> RequestDispatcher::probe(NodeId node) {
    const Micros started_at = deadlines_.clock.now();
    ++metrics_.probes;
    const ProbeResult result = co_await port_.probe(node);
    notify_scheduler(ProbeEnded{node, result.status, deadlines_.clock.now() - started_at, result.report});
}

} // namespace marblewood::core
