// The handling of one request by the Scheduler: arrival, dispatch, attempts, final answer.
#include "policy/log_events.hpp"
#include "policy/scheduler_state.hpp"

#include <stdexcept>
#include <string>

namespace marblewood {

void Scheduler::State::on(const RequestArrived &arrival) {
    Request &request = add_request(arrival);
    retry_budget_.record_request(now_);
    health_checks_.record_request();
    charge_quota(request);
    if (request.is_ordered())
        ordered_keys_.add(*arrival.key, arrival.id);
    request.shard = arrival.shard ? *arrival.shard : shard_for_new_object();
    schedule_end(request);
    enqueue(request);
    if (now_ >= request.give_up_at)
        give_up(request);
    if (shedder_.queue_is_full())
        shed_least_valuable();
}

Scheduler::State::Request &Scheduler::State::add_request(const RequestArrived &arrival) {
    if (arrival.cls < 0 || arrival.cls >= static_cast<int>(settings_.classes.size()))
        throw std::invalid_argument("unknown class");
    if (arrival.plan < 0 || arrival.plan >= static_cast<int>(settings_.plans.size()))
        throw std::invalid_argument("unknown plan");
    const auto [it, is_new] = requests_.try_emplace(arrival.id);
    if (!is_new)
        throw std::invalid_argument("request id still open");
    Request &request = it->second;
    request.id = arrival.id;
    request.arrival = arrival;
    request.request_class = &settings_.classes[arrival.cls];
    request.plan = &settings_.plans[arrival.plan];
    request.client_deadline = now_ + arrival.time_left;
    request.objective_deadline =
        std::min(client_retries_.objective_deadline(arrival, *request.request_class, now_),
                 deadlines_.latest_useful_answer(request));
    request.not_before = now_;
    return request;
}

void Scheduler::State::charge_quota(Request &request) {
    request.quota_factor = quotas_.add_request(request.arrival, now_);
    if (request.has_rate_limit())
        actions_.add_if_any(quotas_.announce_demand(request.arrival, now_));
    if (!quotas_.allows(request, now_) && quotas_.should_log_limit(now_))
        actions_.add(policy::log_rate_limit_reached());
}

void Scheduler::State::enqueue(Request &request) {
    queue_.add(request);
    changed_shards_.insert(request.shard);
}

ShardId Scheduler::State::shard_for_new_object() {
    return policy::select_shard_for_new_object(nodes_, queue_, jitter_, now_);
}

void Scheduler::State::dispatch(ShardId shard) {
    const std::vector<Request *> &waiting = queue_.waiting(shard);
    while (!waiting.empty()) {
        Node *const node = policy::select_node(nodes_, shard, requests_, lifetime_.draining(), now_);
        if (!node)
            return;
        const policy::Selection selection = selector_.select(waiting, *node, quotas_, now_);
        if (!selection.request) { // the shard's other nodes are tried only when it is dispatched again
            request_probe_or_grant(*node, selection);
            return;
        }
        send(*selection.request, *node);
    }
}

void Scheduler::State::request_probe_or_grant(Node &node, const policy::Selection &selection) {
    if (selection.lacks_evidence && health_checks_.try_check(node.checks, now_))
        actions_.add(Probe{node.id});
    if (selection.slow_start_units > 0 && !lifetime_.draining())
        actions_.add_if_any(slow_start_.request_grant(node.slow_start, selection.slow_start_units, now_));
}

void Scheduler::State::schedule_recheck(ShardId shard) {
    if (queue_.waiting(shard).empty())
        return;
    const auto at = policy::next_recheck(nodes_, shard, now_);
    if (at && queue_.schedule_recheck(shard, *at, now_))
        agenda_.add(*at, AgendaKind::ShardRecheck, static_cast<std::uint64_t>(shard));
}

void Scheduler::State::send(Request &request, Node &node) {
    queue_.remove(request);
    const Micros expires = policy::RequestDeadlines::attempt_expiry(request, node, now_);
    const Micros start_by = policy::RetryPolicy::latest_start(request);
    const int attempt = static_cast<int>(request.attempts.size());
    node_monitor_.record_send(node, {request.id, attempt}, now_);
    if (attempt > 0)
        retry_budget_.record_retry(now_);
    quotas_.charge(request, now_);
    slow_start_.record_send(node.slow_start, request.arrival.units, now_, lifetime_.slow_start_since(now_));
    if (request.quota_factor < 1 || now_ > request.objective_deadline)
        policy::HealthChecks::delay_send_without_evidence(node.checks, jitter_, now_);
    schedule_in_flight_check(node, now_ + request.request_class->latency_objective + 1);
    request.attempts.push_back({node.id, now_});
    schedule_end(request);
    node.last_key = request.arrival.key;
    actions_.add(Send{request.id, node.id, expires, start_by});
}

void Scheduler::State::schedule_in_flight_check(Node &node, Micros at) {
    if (node.in_flight_check_pending)
        return;
    node.in_flight_check_pending = true;
    agenda_.add(at, AgendaKind::InFlightCheck, static_cast<std::uint32_t>(node.id));
}

void Scheduler::State::on(const AttemptEnded &outcome) {
    Request *const request = find_request(outcome.id);
    if (!request)
        return;
    policy::Attempt *const attempt = find_in_flight(*request, outcome.attempt);
    if (!attempt)
        return;
    const Status status = outcome.status;
    attempt->in_flight = false;
    attempt->may_have_run =
        status != Status::Rejected && status != Status::ConnectFailed && status != Status::Superseded;
    if (!request->streaming)
        record_outcome(*request, outcome);
    const bool end_unknown =
        status == Status::Timeout || status == Status::Reset || status == Status::Cancelled;
    if (request->is_ordered() && end_unknown)
        ordered_keys_.pause(*request->arrival.key, now_ + settings_.ordering_settle_time);
    quotas_.record_outcome(*request, outcome, now_);
    const bool served = status == Status::Ok;
    if (served && !request->arrival.shard && request->arrival.key && request->attempts.size() == 1)
        placement_.record(*request->arrival.key, request->shard, now_);
    if (request->open && (outcome.closed || served))
        close(*request, served);
    else if (request->open && !request->streaming)
        on_attempt_failed(*request, status);
    erase_if_finished(outcome.id); // by id, because give_up() may have erased the request already
}

void Scheduler::State::record_outcome(const Request &request, const AttemptEnded &outcome) {
    Node *const node = nodes_.find(request.attempts[outcome.attempt].node);
    if (!node)
        return;
    node_monitor_.record_outcome(*node, request, outcome, now_);
    changed_shards_.insert(node->entry().shard);
}

void Scheduler::State::on_attempt_failed(Request &request, Status status) {
    if (request.any_in_flight())
        return;
    schedule_end(request);
    const policy::RetryDecision decision = retry_policy_.on_attempt_failed(request, status, now_);
    if (const auto *retry_later = std::get_if<policy::Retry>(&decision))
        retry(request, status, retry_later->not_before);
    else
        give_up(request, std::get<policy::FinalAnswer>(decision));
}

void Scheduler::State::retry(Request &request, Status status, Micros not_before) {
    const RequestArrived &arrival = request.arrival;
    request.not_before = not_before;
    if (!arrival.shard && !request.first_possible_run())
        request.shard = shard_for_new_object();
    if (status == Status::Rejected && arrival.shard && arrival.key)
        request.shard = placement_.find(*arrival.key).value_or(request.shard);
    enqueue(request);
}

void Scheduler::State::on(const StreamStarted &event) {
    Request *const request = find_request(event.id);
    if (!request || request->streaming)
        return;
    const policy::Attempt *const attempt = find_in_flight(*request, event.attempt);
    if (!attempt)
        return;
    // The node has processed the request. How long the rest of its answer takes depends on the network and on
    // the client, so the latency counts up to the first bytes only.
    AttemptEnded answered;
    answered.id = event.id;
    answered.attempt = event.attempt;
    answered.latency = now_ - attempt->sent_at;
    record_outcome(*request, answered);
    request->streaming = true;
}

void Scheduler::State::on(const ClientDisconnected &event) {
    if (Request *const request = find_request(event.id)) {
        close(*request, false);
        erase_if_finished(event.id);
    }
}

void Scheduler::State::on(const AnswerNow &event) {
    Request *const request = find_request(event.id);
    if (request && request->open && !request->streaming)
        give_up(*request);
}

void Scheduler::State::schedule_end(Request &request) {
    request.give_up_at = deadlines_.give_up_at(request);
    schedule_end_check(request, request.give_up_at);
}

void Scheduler::State::schedule_end_check(Request &request, Micros at) {
    cancel_end_check(request);
    request.end_check_at = at;
    agenda_.add(at, AgendaKind::RequestEnd, static_cast<std::uint64_t>(request.id));
}

void Scheduler::State::cancel_end_check(Request &request) {
    if (request.end_check_at != 0)
        agenda_.remove(request.end_check_at, AgendaKind::RequestEnd, static_cast<std::uint64_t>(request.id));
    request.end_check_at = 0;
}

void Scheduler::State::on_deadline(Request &request) {
    if (!request.open || request.streaming || now_ < request.give_up_at)
        return; // answered, streaming its answer, or given a later deadline since this entry was added
    const Micros last = deadlines_.last_answer_at(request);
    if (!request.any_in_flight() || now_ >= last)
        give_up(request);
    else
        schedule_end_check(request, last);
}

void Scheduler::State::shed_least_valuable() {
    Request &request = requests_.at(shedder_.least_valuable(now_));
    if (request.attempts.empty()) {
        shedder_.count(policy::ShedReason::QueueFull);
        request.shed_counted = true;
    }
    give_up(request);
}

void Scheduler::State::give_up(Request &request) {
    give_up(request, policy::RetryPolicy::final_answer(request));
}

void Scheduler::State::give_up(Request &request, policy::FinalAnswer answer) {
    if (request.attempts.empty() && !request.shed_counted)
        shedder_.count(shedder_.reason(request, now_));
    if (answer == policy::FinalAnswer::Refuse)
        actions_.add(Refuse{request.id, shedder_.retry_after(request.shard)});
    else
        actions_.add(Fail{request.id});
    close(request, false);
    if (settings_.cancel)
        for (std::size_t index = 0; index < request.attempts.size(); ++index)
            if (request.attempts[index].in_flight)
                actions_.add(Cancel{request.id, static_cast<int>(index)});
    erase_if_finished(request.id);
}

void Scheduler::State::close(Request &request, bool served) {
    queue_.remove(request);
    request.open = false;
    changed_shards_.insert(request.shard);
    if (!served)
        client_retries_.record_unserved(request.arrival, request.objective_deadline);
}

void Scheduler::State::erase_if_finished(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end())
        return;
    Request &request = it->second;
    if (request.open || request.any_in_flight())
        return;
    cancel_end_check(request);
    quotas_.release(request.arrival.volume);
    if (request.is_ordered())
        ordered_keys_.remove(*request.arrival.key, id);
    requests_.erase(it);
}

Scheduler::State::Request *Scheduler::State::find_request(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

policy::Attempt *Scheduler::State::find_in_flight(Request &request, int attempt) const {
    if (attempt < 0 || attempt >= static_cast<int>(request.attempts.size()))
        return nullptr;
    policy::Attempt &found = request.attempts[attempt];
    return found.in_flight ? &found : nullptr;
}

} // namespace marblewood
