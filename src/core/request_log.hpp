// A line in the log for each request that ends badly after it was tried, within a bound of lines a second.
#pragma once

#include "core/clock.hpp"
#include "core/figures.hpp"
#include "core/line_limit.hpp"
#include "core/types.hpp"

#include <span>

namespace marblewood::core {

/// Says of a request that failed, or was refused after it had been sent, what became of each attempt, so that
/// the log shows why it was tried again and why that came to nothing. Refusals before any attempt are only
/// counted (docs/overload.md): under overload there are thousands.
class RequestLog {
public:
    static constexpr int kLinesPerSecond = 10; ///< beyond which lines are left out and counted

    explicit RequestLog(const Clock &clock) : clock_(clock) {}
    /// One request that has its final outcome; `ended` is how its attempts ended, in order, of `begun`.
    void request_ended(const Request &request, const Outcome &outcome, std::span<const Status> ended,
                       std::size_t begun);

private:
    bool may_write();

    const Clock &clock_;
    LineLimit limit_{kLinesPerSecond};
};

} // namespace marblewood::core
