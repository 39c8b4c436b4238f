/// \file
/// Logs requests that ended without success after at least one attempt.
#pragma once

#include "core/clock.hpp"
#include "core/log_rate_limiter.hpp"
#include "core/metrics.hpp"
#include "core/request.hpp"

#include <span>

namespace marblewood::core {

/// Writes one line for each request that failed or was refused after an attempt. The line has the status of
/// each ended attempt, which shows why the request was retried and why the retries did not succeed. Refusals
/// before any attempt are only counted (docs/overload.md), since there are thousands of them under overload.
class RequestLog {
public:
    static constexpr int kLinesPerSecond = 10; ///< further lines are suppressed and counted

    explicit RequestLog(const Clock &clock) : clock_(clock) {}

    /// Reports the final outcome of a request.
    /// \param ended_statuses   statuses of its ended attempts, in the order in which they ended.
    /// \param attempts_started number of attempts started, including those still in flight.
    void request_ended(const Request &request, const Outcome &outcome, std::span<const Status> ended_statuses,
                       std::size_t attempts_started);

private:
    bool allow_line();

    const Clock &clock_;
    LogRateLimiter rate_limiter_{kLinesPerSecond};
};

} // namespace marblewood::core
