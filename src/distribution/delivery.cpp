#include "distribution/delivery.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marblewood::distribution {

Delivery::Delivery(const ChangeLog &log, DeliveryLimits limits, Micros now)
    : log_(log), limits_(limits), machine_budget_(limits.machine, now) {}

CallerId Delivery::connect(Micros now) {
    callers_.emplace(++last_caller_id_, Caller{TokenBucket(limits_.caller, now)});
    return last_caller_id_;
}

void Delivery::disconnect(CallerId id) {
    const auto found = callers_.find(id);
    if (found == callers_.end())
        return;
    if (found->second.call_open)
        end_call(id, found->second);
    complete_list_written(id);
    callers_.erase(found);
}

void Delivery::start_call(CallerId id, std::optional<Revision> since, Micros expires_at) {
    Caller &caller = callers_.at(id);
    if (caller.call_open)
        end_call(id, caller);
    ++metrics_.calls;
    caller.call_open = true;
    caller.expires_at = expires_at;
    caller.since = since;
    if (since)
        caller.reported_revision = since;
    expiries_.emplace(expires_at, id);
    if (need(caller) != Need::None)
        answerable_.insert(id);
}

void Delivery::on_log_changed() {
    for (const auto &[id, caller] : callers_)
        if (caller.call_open && need(caller) != Need::None)
            answerable_.insert(id);
}

void Delivery::complete_list_written(CallerId id) {
    if (complete_list_receiver_ == id)
        complete_list_receiver_.reset();
}

Delivery::Need Delivery::need(const Caller &caller) const {
    if (log_.empty())
        return Need::Behind;
    if (!caller.since)
        return Need::CompleteList;
    if (*caller.since > log_.revision())
        return Need::Behind;
    if (*caller.since == log_.revision())
        return Need::None;
    return log_.covers(*caller.since) ? Need::Changes : Need::CompleteList;
}

// Urgent changes come first, then other changes, then complete lists; within each group, the caller that is
// furthest behind.
std::vector<CallerId> Delivery::callers_by_priority() const {
    using Priority = std::tuple<int, Revision, Micros, CallerId>;
    std::vector<Priority> priorities;
    for (const CallerId id : answerable_) {
        const Caller &caller = callers_.at(id);
        const Need needed = need(caller);
        if (needed != Need::Changes && needed != Need::CompleteList)
            continue;
        const Revision since = caller.since.value_or(-1);
        const bool urgent =
            needed == Need::Changes && log_.has_urgent_after(std::max(since, caller.urgent_sent_revision));
        priorities.emplace_back(needed == Need::CompleteList ? 2
                                : urgent                     ? 0
                                                             : 1,
                                since, caller.expires_at, id);
    }
    std::sort(priorities.begin(), priorities.end());
    std::vector<CallerId> ids;
    ids.reserve(priorities.size());
    for (const Priority &entry : priorities)
        ids.push_back(std::get<CallerId>(entry));
    return ids;
}

std::vector<Answer> Delivery::answer_due_calls(Micros now) {
    std::vector<Answer> answers;
    for (const CallerId id : callers_by_priority()) {
        Caller &caller = callers_.at(id);
        const bool answered = need(caller) == Need::CompleteList
                                  ? answer_complete_list(id, caller, now, answers)
                                  : answer_changes(id, caller, now, answers);
        if (answered)
            end_call(id, caller);
        else
            mark_deferred(caller);
    }
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const CallerId id = expiries_.begin()->second;
        Caller &caller = callers_.at(id);
        answer_expired(id, caller, answers);
        end_call(id, caller);
    }
    return answers;
}

bool Delivery::answer_changes(CallerId id, Caller &caller, Micros now, std::vector<Answer> &answers) {
    const Revision since = *caller.since;
    const bool affordable = caller.budget.ready(now) && machine_budget_.ready(now);
    if (!affordable && !log_.has_urgent_after(std::max(since, caller.urgent_sent_revision)))
        return false;
    Delta delta = affordable ? log_.changes(since, static_cast<std::size_t>(limits_.caller.burst),
                                            caller.urgent_sent_revision)
                             : log_.urgent_changes(since, caller.urgent_sent_revision);
    caller.urgent_sent_revision = log_.revision();
    caller.budget.spend(now, static_cast<double>(delta.bytes));
    machine_budget_.spend(now, static_cast<double>(delta.bytes));
    ++metrics_.changes;
    metrics_.entry_bytes += delta.bytes;
    answers.push_back({id, Answer::Kind::Changes, std::move(delta)});
    return true;
}

bool Delivery::answer_complete_list(CallerId id, Caller &caller, Micros now, std::vector<Answer> &answers) {
    if (complete_list_receiver_ || !machine_budget_.ready(now))
        return false;
    complete_list_receiver_ = id;
    Delta delta = log_.complete_list();
    caller.urgent_sent_revision = delta.revision;
    machine_budget_.spend(now, static_cast<double>(delta.bytes));
    ++metrics_.complete_lists;
    metrics_.entry_bytes += delta.bytes;
    answers.push_back({id, Answer::Kind::CompleteList, std::move(delta)});
    return true;
}

// The call has expired: the caller keeps its list, and calls again.
void Delivery::answer_expired(CallerId id, Caller &caller, std::vector<Answer> &answers) {
    const Need needed = need(caller);
    const bool behind = needed == Need::Behind || !caller.since;
    ++(behind ? metrics_.behind : metrics_.no_change);
    answers.push_back({id,
                       behind ? Answer::Kind::Behind : Answer::Kind::NoChange,
                       {caller.since.value_or(0), false, {}, 0}});
}

void Delivery::end_call(CallerId id, Caller &caller) {
    answerable_.erase(id);
    expiries_.erase({caller.expires_at, id});
    caller.call_open = caller.call_deferred = false;
}

void Delivery::mark_deferred(Caller &caller) {
    if (!std::exchange(caller.call_deferred, true))
        ++metrics_.deferred;
}

std::optional<Micros> Delivery::next_due_at(Micros now) const {
    if (expiries_.empty())
        return std::nullopt;
    Micros earliest = expiries_.begin()->first;
    const Micros machine_ready_at = machine_budget_.ready_at(now);
    for (const CallerId id : answerable_) {
        const Caller &caller = callers_.at(id);
        const Need needed = need(caller);
        if (needed == Need::Changes)
            earliest = std::min(earliest, std::max(machine_ready_at, caller.budget.ready_at(now)));
        if (needed == Need::CompleteList && !complete_list_receiver_)
            earliest = std::min(earliest, machine_ready_at);
    }
    return std::max(earliest, now);
}

std::map<Revision, std::size_t> Delivery::revisions_held() const {
    std::map<Revision, std::size_t> callers_by_revision;
    for (const auto &[id, caller] : callers_)
        if (caller.reported_revision)
            ++callers_by_revision[*caller.reported_revision];
    return callers_by_revision;
}

} // namespace marblewood::distribution
