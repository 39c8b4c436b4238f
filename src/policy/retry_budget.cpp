#include "policy/retry_budget.hpp"

#include <algorithm>

namespace marblewood::policy {

bool RetryBudget::allows_retry(Micros now) const {
    if (window_ <= 0)
        return true;
    const Micros begin = now - window_;
    const auto retries = std::ranges::count_if(retries_, [&](Micros at) { return at >= begin; });
    const auto requests = std::ranges::count_if(requests_, [&](Micros at) { return at > begin; });
    return static_cast<double>(retries + 1) <= free_ + fraction_ * static_cast<double>(requests);
}

void RetryBudget::forget_old(Micros now) {
    while (!requests_.empty() && requests_.front() <= now - window_)
        requests_.pop_front();
    while (!retries_.empty() && retries_.front() < now - window_)
        retries_.pop_front();
}

} // namespace marblewood::policy
