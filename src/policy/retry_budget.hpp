/// \file
/// The retry budget over a sliding window.
#pragma once

#include "marblewood/settings.hpp"

#include <deque>

namespace marblewood::policy {

/// Limits the number of retries so that they cannot amplify an overload: in any window, retries <= free +
/// fraction x requests (Settings::retry_budget_*). Without a window all retries are allowed.
class RetryBudget {
public:
    explicit RetryBudget(const Settings &settings)
        : window_(settings.retry_budget_window), free_(settings.retry_budget_free),
          fraction_(settings.retry_budget_fraction) {}

    void record_request(Micros now) {
        if (window_ > 0)
            requests_.push_back(now);
    }
    void record_retry(Micros now) {
        if (window_ > 0)
            retries_.push_back(now);
    }

    /// Whether one more retry may be sent now.
    bool allows_retry(Micros now) const;

    /// Drops records that have left the window.
    void forget_old(Micros now);

private:
    Micros window_; // 0: no budget
    double free_;
    double fraction_;
    std::deque<Micros> requests_; // times of arrival, oldest first
    std::deque<Micros> retries_;  // times of sending, oldest first
};

} // namespace marblewood::policy
