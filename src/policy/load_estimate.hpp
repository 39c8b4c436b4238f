/// \file
/// What a node's load report says of the latency to be expected there.
#pragma once

#include "marblewood/events.hpp"
#include "policy/time.hpp"

#include <optional>

namespace marblewood::policy {

/// Decides whether the load reports of one node may be used: implausible figures, and figures that have not
/// changed for seconds, say nothing.
class LoadReportFilter {
public:
    /// Whether the report, received now, is plausible and fresh.
    bool accept(const std::optional<LoadReport> &report, Micros now);

private:
    static constexpr Micros kFrozenAfter = 5'000'000; // us after which unchanged figures are ignored

    std::optional<LoadReport> last_;
    Micros unchanged_since_ = 0;
};

/// Estimates latencies from load reports, whichever figures they carry.
///
/// Rule: latency = service time x (1 + cost x work queued ahead). The cost, in service times per unit of
/// queued work, is learned from this host's own answers, since nodes do not report how many cores or slots
/// they have.
class LoadEstimate {
public:
    /// Units of work ahead of a new request: queued, else in flight, else derived from utilisation.
    static double queued_ahead(const LoadReport &report);

    /// The latency in us of a request sent now to a node with this report, which has a service time.
    double expected_latency(const LoadReport &report) const;

    /// Learns from an answer that took `latency` us and carried the report.
    void learn(const LoadReport &report, Micros latency, Micros now);

private:
    static constexpr double kInitialCost = 0.2; // service times per unit of queued work
    static constexpr double kInitialWeight =
        3e5; // us of queued service time that the initial cost counts for
    static constexpr double kLearningTime = 30e6; // us; time constant

    double queued_service_ = kInitialWeight;        // us of service time queued ahead of answers
    double waited_ = kInitialCost * kInitialWeight; // us that those answers took beyond their service time
    Micros learned_at_ = 0;
};

} // namespace marblewood::policy
