/// \file
/// Logs requests that ended without success after at least one attempt.
#pragma once

#include "core/clock.hpp"
#include "core/log_rate_limiter.hpp"
#include "core/metrics.hpp"
#include "core/request.hpp"

#include <span>

namespace marblewood::core {

/// Writes a line for each request that failed, or was refused after an attempt, with the status of each
/// attempt, so that the log shows why it was retried and why that did not help. Refusals before any attempt
/// are only counted (docs/overload.md): under overload there are thousands.
class RequestLog {
public:
    static constexpr int kLinesPerSecond = 10; ///< further lines are suppressed and counted

    explicit RequestLog(const Clock &clock) : clock_(clock) {}

    /// One request that has its final outcome.
    /// \param ended            statuses of its ended attempts, in the order of their ends.
    /// \param attempts_started how many were started.
    void request_ended(const Request &request, const Outcome &outcome, std::span<const Status> ended,
                       std::size_t attempts_started);

private:
    bool allow_line();

    const Clock &clock_;
    LogRateLimiter rate_limiter_{kLinesPerSecond};
};

} // namespace marblewood::core
