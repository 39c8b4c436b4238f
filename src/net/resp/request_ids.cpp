#include "net/resp/request_ids.hpp"

namespace marblewood::net::resp {

bool RequestIds::open(const std::string &id) {
    forget_old();
    const bool taken = !expiry_.emplace(id, kOpen).second;
    if (!taken && on_opened)
        on_opened(id);
    return !taken;
}

void RequestIds::release(const std::string &id) {
    const auto entry = expiry_.find(id);
    if (entry != expiry_.end() && entry->second == kOpen)
        expiry_.erase(entry);
}

void RequestIds::keep(const std::string &id) {
    const auto [entry, added] = expiry_.emplace(id, kOpen);
    if (entry->second == kOpen) {
        entry->second = clock_.now() + kRetention;
        kept_.push_back(&entry->first);
    }
    forget_old();
}

std::vector<std::string> RequestIds::all() const {
    std::vector<std::string> ids;
    for (const auto &[id, expiry] : expiry_)
        ids.push_back(id);
    return ids;
}

void RequestIds::forget_old() {
    const Micros now = clock_.now();
    while (!kept_.empty() && (kept_.size() > max_kept_ || expiry_.at(*kept_.front()) <= now)) {
        expiry_.erase(expiry_.find(*kept_.front()));
        kept_.pop_front();
    }
}

} // namespace marblewood::net::resp
