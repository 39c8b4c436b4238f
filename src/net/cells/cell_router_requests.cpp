/// \file
/// CellRouter: routing of requests, which are served here, forwarded, held or rejected.
#include "net/cells/cell_router.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <xxhash.h>

namespace marblewood::net::cells {

namespace mc = marblewood::cells;

namespace {

constexpr Micros kReplyTransitTime = 10'000;  // time for the reply to a forwarded request to travel back
constexpr double kMaxWaitFraction = 0.3;      // part of its timeout that a request may wait for a migration
constexpr Micros kRejectRetryAfter = 100'000; // retry hint for clients that this broker rejects
constexpr Micros kMapRequestInterval = 1'000'000; // minimum time between map requests to the same broker
constexpr int kMaxForwardAttempts = 2;
constexpr const char *kHopsField = "hop"; // request field that counts how often the request was forwarded

int parse_hops(std::string_view text) {
    int hops = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, hops);
    if (error != std::errc() || end != last)
        return 0;
    return std::clamp(hops, 0, mc::CellMember::kMaxHops);
}

void remove_hops(core::Request &request) {
    request.forwarded_fields.remove(kHopsField);
}

/// Hashes the idempotency key together with the data key, because keys are deduplicated per piece of data.
std::uint64_t idempotency_hash(const core::Request &request) {
    const std::string scoped_key = request.data_key + ' ' + request.idempotency_key;
    return XXH3_64bits(scoped_key.data(), scoped_key.size());
}

} // namespace

mc::RoutingRequest CellRouter::routing_request(const core::Request &request) const {
    const RequestArrived &arrival = request.arrival;
    const ClassSettings &cls = settings_.classes[arrival.cls];
    const PlanSettings &plan = settings_.plans[arrival.plan];
    mc::RoutingRequest routing;
    routing.volume = arrival.volume;
    routing.units = arrival.units;
    routing.reserve_rate = plan.reserve;
    routing.priority_weight = cls.priority_weight * plan.priority_factor;
    routing.limited = plan.limit > 0;
    routing.deadline = request.received_at + request.timeout;
    if (cls.idempotency == Idempotency::WithKey && !request.idempotency_key.empty())
        routing.idempotency_key = idempotency_hash(request);
    if (const auto hops = request.forwarded_fields.find(kHopsField))
        routing.hops = parse_hops(*hops);
    return routing;
}

RequestId CellRouter::submit(std::shared_ptr<const core::Request> request, CompletionCallback on_complete,
                             std::function<void()> /*on_released: no caller of the router passes one*/) {
    const Id id = ++last_id_;
    PendingRequest pending;
    pending.routing = routing_request(*request);
    pending.request = std::move(request);
    pending.on_complete = std::move(on_complete);
    pending_.emplace(id, std::move(pending));
    route(id);
    return RequestId{id};
}

void CellRouter::route(Id id) {
    const mc::RoutingDecision decision = member_.route(deadlines_.clock.now(), pending_.at(id).routing);
    switch (decision.kind) {
    case mc::RoutingDecision::Kind::Serve:
        return serve(id, decision);
    case mc::RoutingDecision::Kind::Forward:
        return start_forwarding(id, decision.broker);
    case mc::RoutingDecision::Kind::Wait:
        return wait_for_migration(id);
    case mc::RoutingDecision::Kind::Reject:
        return reject(id);
    }
}

void CellRouter::serve(Id id, const mc::RoutingDecision &decision) {
    PendingRequest &pending = pending_.at(id);
    auto request = std::make_shared<core::Request>(*pending.request);
    request->arrival.hosts = decision.serving_brokers;
    remove_hops(*request);
    pending.request = request;
    pending.reservation = nullptr; // the dispatcher reserves the memory itself
    pending.dispatcher = &select_dispatcher_(*request);
    member_.on_request_started(deadlines_.clock.now(), pending.routing);
    const auto served = std::make_shared<bool>(false);
    const RequestId dispatched_id = pending.dispatcher->submit(
        request,
        [this, id, served](core::Outcome outcome) {
            *served = outcome.kind == core::Outcome::Kind::Served;
            on_dispatched(id, std::move(outcome));
        },
        [this, id, served, routing = pending.routing] {
            pending_.erase(id);
            mc::MemberActions actions;
            member_.on_request_finished(deadlines_.clock.now(), routing, *served, actions);
            perform(actions);
        });
    if (const auto found = pending_.find(id); found != pending_.end()) // the request may have ended already
        found->second.dispatched_id = dispatched_id;
}

void CellRouter::on_dispatched(Id id, core::Outcome outcome) {
    if (!outcome.stream)
        return finish(id, std::move(outcome));
    // The entry of a streamed reply stays until the stream ends, because its client may disconnect before
    // that.
    if (const auto found = pending_.find(id); found != pending_.end())
        found->second.on_complete(std::move(outcome));
}

void CellRouter::start_forwarding(Id id, const std::string &broker) {
    const mc::Cell *const cell = member_.map()->cell_of_broker(broker);
    const bool allowed = layout_.forwarding_enabled && cell && !memory_.is_exhausted() &&
                         forwarded_by_cell_[cell->name] < layout_.max_forwarded_per_cell;
    if (!allowed)
        return reject(id);
    ++counters_.forwarded;
    PendingRequest &pending = pending_.at(id);
    pending.reservation =
        std::make_unique<core::MemoryBudget::Reservation>(memory_, pending.request->held_bytes());
    asio::co_spawn(io_, forward(id, broker, cell->name, pending.request, pending.routing),
                   [](const std::exception_ptr &error) {
                       if (error)
                           std::rethrow_exception(error);
                   });
}

void CellRouter::wait_for_migration(Id id) {
    PendingRequest &pending = pending_.at(id);
    const core::Request &request = *pending.request;
    const Micros longest_wait = static_cast<Micros>(kMaxWaitFraction * static_cast<double>(request.timeout));
    const Micros until = request.received_at + longest_wait;
    const bool queue_full = waiting_ >= static_cast<std::size_t>(layout_.max_waiting);
    if (deadlines_.clock.now() >= until || memory_.is_exhausted() || queue_full)
        return reject(id);
    pending.reservation = std::make_unique<core::MemoryBudget::Reservation>(memory_, request.held_bytes());
    pending.waiting = true;
    ++waiting_;
    ++counters_.waited;
    waiting_by_volume_[pending.routing.volume].push_back(id);
    pending.wait_timeout = deadlines_.at(until, [this, id] {
        const auto found = pending_.find(id);
        if (found == pending_.end() || !found->second.waiting)
            return;
        stop_waiting(found->second);
        reject(id);
    });
}

void CellRouter::stop_waiting(PendingRequest &pending) {
    pending.waiting = false;
    --waiting_;
}

void CellRouter::reroute_waiting(VolumeId volume) {
    const auto waiting = waiting_by_volume_.extract(volume);
    if (!waiting)
        return;
    for (const Id id : waiting.mapped()) {
        const auto found = pending_.find(id);
        if (found == pending_.end() || !found->second.waiting)
            continue;
        stop_waiting(found->second);
        found->second.wait_timeout.reset();
        route(id);
    }
}

void CellRouter::reject(Id id) {
    ++counters_.rejected;
    const Micros retry_after =
        settings_.retry_after ? std::min(kRejectRetryAfter, settings_.max_retry_after) : 0;
    finish(id, {core::Outcome::Kind::Refused, {}, retry_after, true});
}

void CellRouter::finish(Id id, core::Outcome outcome) {
    auto pending = pending_.extract(id);
    if (pending)
        pending.mapped().on_complete(std::move(outcome));
    else if (outcome.stream)
        outcome.stream->abandon();
}

/// Sends a request to another broker as its client. A request that may have run is not retried here, because
/// retries are up to the broker that serves the volume. The client may disconnect at any time, which removes
/// the entry in pending_.
asio::awaitable<void> CellRouter::forward(Id id, std::string broker, std::string cell,
                                          std::shared_ptr<const core::Request> received,
                                          mc::RoutingRequest routing) {
    ++forwarded_by_cell_[cell];
    const auto request = std::make_shared<core::Request>(*received);
    remove_hops(*request);
    request->forwarded_fields.add(kHopsField, std::to_string(routing.hops + 1));
    core::AttemptResult result;
    for (int attempts = 0; attempts < kMaxForwardAttempts; ++attempts) {
        if (!pending_.contains(id)) // the client has disconnected
            break;
        result = co_await attempt_at(id, broker, request);
        if (result.status != Status::ConnectFailed)
            break;
        // Nothing was written, so the request can be sent to another broker of the cell.
        const mc::RoutingDecision other = member_.route(deadlines_.clock.now(), routing);
        if (other.kind != mc::RoutingDecision::Kind::Forward)
            break;
        broker = other.broker;
    }
    --forwarded_by_cell_[cell];
    on_forwarded(id, broker, *request, std::move(result));
}

asio::awaitable<core::AttemptResult> CellRouter::attempt_at(Id id, std::string broker,
                                                            std::shared_ptr<const core::Request> request) {
    const auto attempt = std::make_shared<core::Attempt>();
    attempt->request = request;
    attempt->node = node_id_of(broker);
    attempt->started_at = deadlines_.clock.now();
    attempt->expires_at = request->received_at + request->timeout;
    attempt->may_write = [this, id, expires = attempt->expires_at] {
        return pending_.contains(id) && deadlines_.clock.now() < expires;
    };
    attempt->on_written = [] {};
    attempt->begin_stream = [this, id, running = attempt.get()](std::size_t length) {
        running->stream = std::make_shared<core::Stream>(io_.get_executor(), memory_, length);
        on_stream_began(id, running->stream);
    };
    pending_.at(id).attempt = attempt;
    const auto timeout = deadlines_.at(attempt->expires_at - kReplyTransitTime, [&running = *attempt] {
        if (!running.stream)
            running.stop(Status::Timeout);
    });
    co_return co_await broker_port_.run(attempt);
}

/// Answers the client with a long value while it arrives. The entry in pending_ stays until the value has
/// ended, because the client may disconnect before that.
void CellRouter::on_stream_began(Id id, std::shared_ptr<core::Stream> stream) {
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return stream->abandon();
    found->second.answered = true;
    const CompletionCallback on_complete = found->second.on_complete; // may remove the entry
    on_complete({.kind = core::Outcome::Kind::Served, .stream = std::move(stream)});
}

void CellRouter::on_forwarded(Id id, const std::string &broker, const core::Request &request,
                              core::AttemptResult result) {
    if (const auto found = pending_.find(id); found != pending_.end() && found->second.answered) {
        pending_.erase(found);
        return;
    }
    switch (result.status) {
    case Status::Ok:
        return finish(id, {core::Outcome::Kind::Served, std::move(result.value), 0, true});
    case Status::Rejected: {
        request_newer_map(broker);
        const Micros hint = result.retry_after > 0 ? result.retry_after : kRejectRetryAfter;
        return finish(id, {core::Outcome::Kind::Refused, {}, settings_.retry_after ? hint : 0, true});
    }
    case Status::ConnectFailed:
    case Status::Superseded:
        return reject(id);
    default: {
        const ClassSettings &cls = settings_.classes[request.arrival.cls];
        const bool repeat_safe = cls.idempotency == Idempotency::Idempotent;
        return finish(id, {core::Outcome::Kind::Failed, {}, 0, repeat_safe});
    }
    }
}

/// Requests the map of a broker that rejected a forwarded request, since it may hold a newer one.
void CellRouter::request_newer_map(const std::string &broker) {
    const Micros now = deadlines_.clock.now();
    Micros &requested_at = map_requested_at_[broker];
    if (now - requested_at <= kMapRequestInterval)
        return;
    requested_at = now;
    transport_.send(broker, mc::Message(mc::Heartbeat{member_.map()->epoch, 0, {}, 0, 0}));
}

void CellRouter::client_disconnected(RequestId id) {
    auto extracted = pending_.extract(static_cast<Id>(id));
    if (!extracted)
        return;
    PendingRequest &pending = extracted.mapped();
    if (pending.waiting)
        stop_waiting(pending);
    if (pending.dispatcher)
        pending.dispatcher->client_disconnected(pending.dispatched_id);
    if (!pending.attempt)
        return;
    if (pending.attempt->stream)
        pending.attempt->stream->abandon();
    pending.attempt->stop(Status::Cancelled);
}

void CellRouter::answer_now(RequestId id) {
    const auto found = pending_.find(static_cast<Id>(id));
    if (found == pending_.end())
        return;
    PendingRequest &pending = found->second;
    if (pending.answered)
        return;
    if (pending.dispatcher)
        return pending.dispatcher->answer_now(pending.dispatched_id);
    if (pending.attempt)
        return pending.attempt->stop(Status::Cancelled);
    if (pending.waiting)
        stop_waiting(pending);
    reject(found->first);
}

} // namespace marblewood::net::cells
