#include "distribution/delivery.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marblewood::distribution {

Delivery::Delivery(const ChangeLog &log, DeliveryLimits limits, Micros now)
    : log_(log), limits_(limits), machine_(limits.machine, now) {}

CallerId Delivery::connect(Micros now) {
    callers_.emplace(++last_, Caller{TokenBucket(limits_.caller, now)});
    return last_;
}

void Delivery::disconnect(CallerId id) {
    const auto at = callers_.find(id);
    if (at == callers_.end())
        return;
    if (at->second.waiting)
        end_call(id, at->second);
    whole_written(id);
    callers_.erase(at);
}

void Delivery::ask(CallerId id, std::optional<Revision> since, Micros until) {
    Caller &caller = callers_.at(id);
    if (caller.waiting)
        end_call(id, caller);
    ++figures_.calls;
    caller.waiting = true;
    caller.until = until;
    caller.since = since;
    if (since)
        caller.held = since;
    expiries_.emplace(until, id);
    if (need(caller) != Need::None)
        pending_.insert(id);
}

void Delivery::published() {
    for (const auto &[id, caller] : callers_)
        if (caller.waiting && need(caller) != Need::None)
            pending_.insert(id);
}

void Delivery::whole_written(CallerId id) {
    if (whole_to_ == id)
        whole_to_.reset();
}

Delivery::Need Delivery::need(const Caller &caller) const {
    if (log_.empty())
        return Need::Behind;
    if (!caller.since)
        return Need::Whole;
    if (*caller.since > log_.revision())
        return Need::Behind;
    if (*caller.since == log_.revision())
        return Need::None;
    return log_.reaches(*caller.since) ? Need::Changes : Need::Whole;
}

// Urgent changes first, then other changes, then whole lists; of each, who is furthest behind.
std::vector<CallerId> Delivery::by_need() const {
    using Order = std::tuple<int, Revision, Micros, CallerId>;
    std::vector<Order> order;
    for (const CallerId id : pending_) {
        const Caller &caller = callers_.at(id);
        const Need lacks = need(caller);
        if (lacks != Need::Changes && lacks != Need::Whole)
            continue;
        const Revision since = caller.since.value_or(-1);
        const bool urgent = lacks == Need::Changes && log_.urgent_after(std::max(since, caller.urgent_told));
        order.emplace_back(lacks == Need::Whole ? 2 : urgent ? 0 : 1, since, caller.until, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<CallerId> ids;
    ids.reserve(order.size());
    for (const Order &one : order)
        ids.push_back(std::get<CallerId>(one));
    return ids;
}

std::vector<Answer> Delivery::due(Micros now) {
    std::vector<Answer> out;
    for (const CallerId id : by_need()) {
        Caller &caller = callers_.at(id);
        const bool answered = need(caller) == Need::Whole ? answer_whole(id, caller, now, out)
                                                          : answer_changes(id, caller, now, out);
        if (answered)
            end_call(id, caller);
        else
            put_off(caller);
    }
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const CallerId id = expiries_.begin()->second;
        Caller &caller = callers_.at(id);
        answer_late(id, caller, out);
        end_call(id, caller);
    }
    return out;
}

bool Delivery::answer_changes(CallerId id, Caller &caller, Micros now, std::vector<Answer> &out) {
    const Revision since = *caller.since;
    const bool affordable = caller.budget.ready(now) && machine_.ready(now);
    if (!affordable && !log_.urgent_after(std::max(since, caller.urgent_told)))
        return false;
    Delta delta =
        affordable ? log_.changes(since, static_cast<std::size_t>(limits_.caller.burst), caller.urgent_told)
                   : log_.urgent_changes(since, caller.urgent_told);
    caller.urgent_told = log_.revision();
    caller.budget.spend(now, static_cast<double>(delta.bytes));
    machine_.spend(now, static_cast<double>(delta.bytes));
    ++figures_.changes;
    figures_.entry_bytes += delta.bytes;
    out.push_back({id, Answer::Kind::Changes, std::move(delta)});
    return true;
}

bool Delivery::answer_whole(CallerId id, Caller &caller, Micros now, std::vector<Answer> &out) {
    if (whole_to_ || !machine_.ready(now))
        return false;
    whole_to_ = id;
    Delta delta = log_.whole();
    caller.urgent_told = delta.revision;
    machine_.spend(now, static_cast<double>(delta.bytes));
    ++figures_.whole;
    figures_.entry_bytes += delta.bytes;
    out.push_back({id, Answer::Kind::Whole, std::move(delta)});
    return true;
}

// Its time is up: it holds what it held, and asks again.
void Delivery::answer_late(CallerId id, Caller &caller, std::vector<Answer> &out) {
    const Need lacks = need(caller);
    const bool behind = lacks == Need::Behind || !caller.since;
    ++(behind ? figures_.behind : figures_.nothing);
    out.push_back({id,
                   behind ? Answer::Kind::Behind : Answer::Kind::Nothing,
                   {caller.since.value_or(0), false, {}, 0}});
}

void Delivery::end_call(CallerId id, Caller &caller) {
    pending_.erase(id);
    expiries_.erase({caller.until, id});
    caller.waiting = caller.put_off = false;
}

void Delivery::put_off(Caller &caller) {
    if (!std::exchange(caller.put_off, true))
        ++figures_.put_off;
}

std::optional<Micros> Delivery::next(Micros now) const {
    if (expiries_.empty())
        return std::nullopt;
    Micros first = expiries_.begin()->first;
    const Micros machine = machine_.ready_at(now);
    for (const CallerId id : pending_) {
        const Caller &caller = callers_.at(id);
        const Need lacks = need(caller);
        if (lacks == Need::Changes)
            first = std::min(first, std::max(machine, caller.budget.ready_at(now)));
        if (lacks == Need::Whole && !whole_to_)
            first = std::min(first, machine);
    }
    return std::max(first, now);
}

std::map<Revision, std::size_t> Delivery::revisions_held() const {
    std::map<Revision, std::size_t> held;
    for (const auto &[id, caller] : callers_)
        if (caller.held)
            ++held[*caller.held];
    return held;
}

} // namespace marblewood::distribution
