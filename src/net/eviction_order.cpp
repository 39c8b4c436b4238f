#include "net/eviction_order.hpp"

#include <vector>

namespace marblewood::net {

EvictionOrder::Entry::Entry(EvictionOrder &order, Micros accepted)
    : order_(order), sequence_(++order.last_sequence_) {
    use_.accepted = use_.last_used = accepted;
    order_.newcomers_.insert(accept_key(*this));
    order_.reposition(*this);
}

EvictionOrder::Entry::~Entry() {
    order_.dequeue(*this);
    if (newcomer_)
        order_.newcomers_.erase(accept_key(*this));
}

void EvictionOrder::Entry::received(Micros now) {
    rested_ = false;
    update([now](ConnectionUse &use) { use.last_used = now; });
}
void EvictionOrder::Entry::set_partial(bool partial) {
    update([partial](ConnectionUse &use) { use.partial = partial; });
}
void EvictionOrder::Entry::mark_requested() {
    update([](ConnectionUse &use) {
        use.has_returned = use.has_requested;
        use.has_requested = true;
    });
}
void EvictionOrder::Entry::mark_persistent() {
    update([](ConnectionUse &use) { use.persistent = true; });
}
void EvictionOrder::Entry::mark_closing() {
    update([](ConnectionUse &use) { use.closing = true; });
}
void EvictionOrder::Entry::mark_closed() {
    update([](ConnectionUse &use) { use.closed = true; });
}
void EvictionOrder::Entry::mark_lingering() {
    update([](ConnectionUse &use) { use.lingering = true; });
}
void EvictionOrder::Entry::set_needed(bool needed) {
    update([needed](ConnectionUse &use) { use.needed = needed; });
}
void EvictionOrder::Entry::set_delivery(const DeliveryReport &report) {
    update([&report](ConnectionUse &use) { use.delivery = report; });
}
void EvictionOrder::Entry::add_open_request() {
    update([](ConnectionUse &use) { ++use.open_requests; });
}
void EvictionOrder::Entry::complete_requests(std::size_t count) {
    update([count](ConnectionUse &use) { use.open_requests -= count; });
}

std::optional<std::size_t> EvictionOrder::queue_of(const Entry &entry) {
    const ConnectionUse &use = entry.use_;
    if (use.closed || use.needed || use.delivery.state == DeliveryState::Pending)
        return std::nullopt;
    if (use.unread())
        return kRequested;
    if (use.delivery.state == DeliveryState::Reading)
        return kReading;
    if (use.delivery.state == DeliveryState::HeldBack)
        return use.open_requests == 0 ? std::optional<std::size_t>(kHeldBack) : std::nullopt;
    if (use.lingering)
        return kLingering;
    const bool has_begun = use.has_requested || use.partial;
    // A closing connection that has received anything ends by itself. One that has not only takes room that
    // others may need.
    if (use.open_requests > 0 || (use.closing && has_begun) || (use.partial && use.has_requested))
        return std::nullopt;
    if (entry.newcomer_ && !use.has_requested)
        return kNewcomer;
    if (use.partial)
        return kPartial;
    if (!use.has_requested)
        return kSilent;
    return use.has_returned && !entry.rested_ ? kActive : kRequested;
}

void EvictionOrder::dequeue(Entry &entry) {
    if (entry.queue_)
        queues_[*entry.queue_].erase(key(entry));
    if (entry.queued_idle_)
        idle_requesters_.erase(key(entry));
    entry.queue_.reset();
    entry.queued_idle_ = false;
}

void EvictionOrder::reposition(Entry &entry) {
    const ConnectionUse &use = entry.use_;
    const auto queue = queue_of(entry);
    const bool requester = use.has_requested && !use.persistent && !use.needed && !use.closing;
    const bool idle_requester = requester && queue != kActive && use.idle();
    const bool unchanged = queue == entry.queue_ && idle_requester == entry.queued_idle_;
    const bool in_no_queue = !queue && !idle_requester;
    if (unchanged && (in_no_queue || use.rank() == entry.queued_rank_))
        return;
    dequeue(entry);
    entry.queued_rank_ = use.rank();
    entry.queue_ = queue;
    entry.queued_idle_ = idle_requester;
    if (queue)
        queues_[*queue].insert(key(entry));
    if (idle_requester)
        idle_requesters_.insert(key(entry));
}

void EvictionOrder::expire_newcomers(Micros now) {
    while (!newcomers_.empty() && now - newcomers_.begin()->rank >= kNewcomerGrace) {
        Entry &entry = *newcomers_.begin()->entry;
        newcomers_.erase(newcomers_.begin());
        entry.newcomer_ = false;
        reposition(entry);
    }
}

void EvictionOrder::expire_active(Micros now) {
    KeySet &active = queues_[kActive];
    while (!active.empty() && now - active.begin()->rank >= kActiveGrace) {
        Entry &entry = *active.begin()->entry;
        entry.rested_ = true;
        reposition(entry);
    }
}

EvictionOrder::Entry *EvictionOrder::next(Micros now, const std::function<bool(Entry &)> &in_use) {
    expire_newcomers(now);
    expire_active(now);
    std::vector<Entry *> passed_over;
    Entry *found = nullptr;
    for (std::size_t queue = 0; queue < kQueues && !found; ++queue)
        for (const Key &candidate : queues_[queue]) {
            ++examined_;
            const bool ends_in_any_case =
                queue == kLingering || queue == kReading || candidate.entry->use().unread();
            if (ends_in_any_case || !in_use(*candidate.entry)) {
                found = candidate.entry;
                break;
            }
            passed_over.push_back(candidate.entry);
        }
    for (Entry *entry : passed_over)
        entry->received(now); // moves it behind the others of its queue
    return found;
}

std::size_t EvictionOrder::idle_requesters(Micros now) {
    expire_active(now);
    return idle_requesters_.size();
}

EvictionOrder::Entry *EvictionOrder::longest_idle_requester(Micros now) {
    expire_active(now);
    return idle_requesters_.empty() ? nullptr : idle_requesters_.begin()->entry;
}

} // namespace marblewood::net
