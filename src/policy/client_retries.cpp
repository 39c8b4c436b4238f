#include "policy/client_retries.hpp"

#include "policy/newest_entries.hpp"

#include <algorithm>

namespace marblewood::policy {

void ClientRetries::record_unserved(const RequestArrived &request, Micros objective_deadline) {
    if (!request.key)
        return;
    unserved_[retry_key(request)] = objective_deadline;
    const auto deadline = [](Micros recorded) { return recorded; };
    keep_newest(unserved_, max_records_, deadline, [](Micros) { return true; });
}

Micros ClientRetries::objective_deadline(const RequestArrived &request, const ClassSettings &request_class,
                                         Micros now) {
    const Micros fresh = now + request_class.latency_objective;
    // A first attempt, too, may have lost up to two timer periods on its way to this host.
    if (request.time_left + 2 * period_ >= request_class.deadline || !request.key)
        return fresh;
    const auto it = unserved_.find(retry_key(request));
    if (it != unserved_.end()) {
        const Micros first_deadline = it->second;
        unserved_.erase(it);
        return std::min(fresh, first_deadline);
    }
    const Micros client_waited = request_class.deadline - request.time_left;
    return request.retry ? fresh - client_waited : fresh;
}

void ClientRetries::forget_old(Micros now) {
    std::erase_if(unserved_,
                  [&](const auto &entry) { return now - entry.second > kRetentionAfterObjective; });
}

} // namespace marblewood::policy
