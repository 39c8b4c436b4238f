/// \file
/// Predicts the latency of a request at a node from the node's load report.
#pragma once

#include "marblewood/events.hpp"
#include "policy/time.hpp"

#include <optional>

namespace marblewood::policy {

/// Decides whether the load reports of one node can be used. Implausible figures are ignored, and so are
/// figures that have not changed for some seconds.
class LoadReportFilter {
public:
    /// Whether a report received now is present, plausible and not frozen.
    bool accept(const std::optional<LoadReport> &report, Micros now);

private:
    static constexpr Micros kFrozenAfter = 5'000'000; // without a change in the figures

    std::optional<LoadReport> last_;
    Micros unchanged_since_ = 0;
};

/// Predicts latencies from load reports, whichever of the optional figures they contain.
///
/// Rule: latency = service time x (1 + cost x requests queued ahead). The cost is the delay, in service
/// times, that each request queued ahead adds. It is learned from the answers that this host receives,
/// because nodes do not report how many cores or slots they have.
class LoadEstimate {
public:
    /// The number of requests ahead of a new one: the reported queue length; if that is missing, the reported
    /// requests in flight; otherwise an estimate from the utilisation.
    static double queued_ahead(const LoadReport &report);

    /// The expected latency, in microseconds, of a request sent now to the node with this report. The report
    /// must contain a service time.
    double expected_latency(const LoadReport &report) const;

    /// Updates the cost from an answer that took `latency` and carried the report.
    void learn(const LoadReport &report, Micros latency, Micros now);

private:
    static constexpr double kInitialCost = 0.2; // service times per request queued ahead
    // The initial cost counts as much as samples with this much service time queued ahead of them.
    static constexpr double kInitialWeightMicros = 3e5;
    static constexpr double kLearningTimeConstantMicros = 30e6;

    // Decayed sums over the answers: the service time queued ahead, and the latency beyond the service time.
    double queued_service_micros_ = kInitialWeightMicros;
    double queueing_delay_micros_ = kInitialCost * kInitialWeightMicros;
    Micros learned_at_ = 0;
};

} // namespace marblewood::policy
