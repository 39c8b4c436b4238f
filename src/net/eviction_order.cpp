#include "net/eviction_order.hpp"

#include <vector>

namespace marblewood::net {

EvictionOrder::Entry::Entry(EvictionOrder &order, Micros accepted) : order_(order), sequence_(++order.last_) {
    use_.accepted = use_.used = accepted;
    order_.newcomers_.insert(age(*this));
    order_.file(*this);
}

EvictionOrder::Entry::~Entry() {
    order_.withdraw(*this);
    if (newcomer_)
        order_.newcomers_.erase(age(*this));
    if (counted_asker_)
        --order_.askers_;
}

void EvictionOrder::Entry::received(Micros now) {
    update([now](ConnectionUse &use) { use.used = now; });
}
void EvictionOrder::Entry::set_partial(bool partial) {
    update([partial](ConnectionUse &use) { use.partial = partial; });
}
void EvictionOrder::Entry::mark_asked() {
    update([](ConnectionUse &use) { use.asked = true; });
}
void EvictionOrder::Entry::mark_lasting() {
    update([](ConnectionUse &use) { use.lasting = true; });
}
void EvictionOrder::Entry::mark_closing() {
    update([](ConnectionUse &use) { use.closing = true; });
}
void EvictionOrder::Entry::mark_ending() {
    update([](ConnectionUse &use) { use.ending = true; });
}
void EvictionOrder::Entry::owe_answer() {
    update([](ConnectionUse &use) { ++use.owed; });
}
void EvictionOrder::Entry::settle_answers(std::size_t count) {
    update([count](ConnectionUse &use) { use.owed -= count; });
}

std::optional<std::size_t> EvictionOrder::queue_of(const Entry &entry) {
    const ConnectionUse &use = entry.use_;
    if (use.ending)
        return kEnding;
    const bool begun = use.asked || use.partial;
    // One that is closing and has begun ends by itself. One that has not holds room that others may need.
    if (use.owed > 0 || (use.closing && begun) || (use.partial && use.asked))
        return std::nullopt;
    if (entry.newcomer_ && !use.asked)
        return kNewcomer;
    if (use.partial)
        return kPartial;
    return use.asked ? kAsked : kSilent;
}

void EvictionOrder::withdraw(Entry &entry) {
    if (entry.queue_)
        queues_[*entry.queue_].erase(key(entry));
    if (entry.filed_idle_)
        idle_askers_.erase(key(entry));
    entry.queue_.reset();
    entry.filed_idle_ = false;
}

void EvictionOrder::file(Entry &entry) {
    const ConnectionUse &use = entry.use_;
    const auto queue = queue_of(entry);
    const bool asker = use.asked && !use.lasting && !use.closing;
    const bool idle_asker = asker && use.idle();
    if (asker != entry.counted_asker_)
        asker ? ++askers_ : --askers_;
    entry.counted_asker_ = asker;
    const bool unchanged = queue == entry.queue_ && idle_asker == entry.filed_idle_;
    const bool unfiled = !queue && !idle_asker;
    if (unchanged && (unfiled || use.used == entry.filed_used_))
        return;
    withdraw(entry);
    entry.filed_used_ = use.used;
    entry.queue_ = queue;
    entry.filed_idle_ = idle_asker;
    if (queue)
        queues_[*queue].insert(key(entry));
    if (idle_asker)
        idle_askers_.insert(key(entry));
}

void EvictionOrder::graduate(Micros now) {
    while (!newcomers_.empty() && now - newcomers_.begin()->used >= kNewcomerGrace) {
        Entry &entry = *newcomers_.begin()->entry;
        newcomers_.erase(newcomers_.begin());
        entry.newcomer_ = false;
        file(entry);
    }
}

EvictionOrder::Entry *EvictionOrder::next(Micros now, const std::function<bool(Entry &)> &has_unread) {
    graduate(now);
    std::vector<Entry *> in_use;
    Entry *found = nullptr;
    for (std::size_t queue = 0; queue < kQueues && !found; ++queue)
        for (const Key &candidate : queues_[queue]) {
            ++examined_;
            if (queue == kEnding || !has_unread(*candidate.entry)) {
                found = candidate.entry;
                break;
            }
            in_use.push_back(candidate.entry);
        }
    for (Entry *entry : in_use)
        entry->received(now); // not looked at again before the others
    return found;
}

EvictionOrder::Entry *EvictionOrder::longest_idle_asker() const {
    return idle_askers_.empty() ? nullptr : idle_askers_.begin()->entry;
}

} // namespace marblewood::net
