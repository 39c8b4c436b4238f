/// \file
/// AM-C: the most requests that one host keeps in flight at a node (Malrait, eq. 6.1).
#pragma once

#include "marblewood/events.hpp"
#include "policy/latency_average.hpp"

#include <algorithm>

namespace marblewood::policy {

/// The concurrency limit of one node.
///
/// Rule: limit = in flight / (1 + gain x (mean latency ratio - target)), between a floor and a ceiling. A
/// node that answers slower than the latency objective gets less, one that answers faster gets more. Attempts
/// that are overdue raise the mean by their age and do not count as in flight.
///
/// Inputs: latency ratios (latency / latency objective, without unit) of answers, and of what is in flight.
/// Output: a number of requests.
class ConcurrencyLimit {
public:
    /// Mean ratio under which a node's answers count as quick: it has no full queue, and an attempt that is
    /// long overdue there is an exception.
    static constexpr double kQuickRatio = 0.3;

    double value() const { return limit_; }
    const LatencyAverage &latency() const { return latency_; }

    /// The latency that a load report lets expect counts as one more answer.
    void add_expected(double ratio, Micros now) { latency_.add(ratio, now); }

    /// Adds what the outcome of an attempt, which took `ratio` latency objectives, says of the node's
    /// latency.
    void record_outcome(Status status, double ratio, Micros now);

    /// Computes the limit anew. `age_of` gives the age of an attempt in flight, in latency objectives.
    template <typename Attempts, typename AgeOf>
    void update(const Attempts &in_flight, const AgeOf &age_of, Micros now) {
        LatencyAverage::State samples = latency_.decayed_to(now);
        auto on_time = static_cast<double>(in_flight.size());
        for (const auto &attempt : in_flight) {
            const double age = age_of(attempt);
            if (age <= 1)
                continue;
            samples.sum += age;
            samples.weight += 1;
            on_time -= 1;
        }
        const double mean = samples.weight > 0 ? samples.sum / samples.weight : kTargetLatencyRatio;
        limit_ =
            std::clamp(std::max(on_time, 1.0) / (1 + kGain * (mean - kTargetLatencyRatio)), kFloor, kCeiling);
    }

    /// Continues a predecessor's average; update() has to follow.
    void restore(const LatencyAverage::State &state) { latency_.restore(state); }

    static constexpr double kFloor = 1;   ///< requests; enough to go on learning
    static constexpr double kCeiling = 2; ///< requests; one host's part of what a node may queue
    static constexpr double kInitial = 2; ///< requests in flight before the first answer

private:
    static constexpr double kGain = 0.8;          // below 1 / target, so that the divisor stays positive
    static constexpr double kRejectedRatio = 1.5; // ratio at which a rejection by the node counts

    LatencyAverage latency_;
    double limit_ = kInitial;
};

} // namespace marblewood::policy
