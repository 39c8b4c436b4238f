/// \file
/// Evaluates the outcomes of attempts and health checks for the state of their node.
#pragma once

#include "policy/action_sink.hpp"
#include "policy/jitter.hpp"
#include "policy/node.hpp"

#include <optional>

namespace marblewood::policy {

/// Passes each observation of a node on to its load estimate, concurrency limit, outlier detection and slow
/// start.
class NodeMonitor {
public:
    /// The arguments must outlive the monitor.
    NodeMonitor(const Settings &settings, RequestTable &requests, const SlowStart &slow_start,
                JitterSource &jitter, ActionSink &actions);

    /// Records an attempt that has been sent to the node.
    void record_send(Node &node, AttemptId attempt, Micros now);

    /// Records that an attempt has ended, or that its answer has begun to arrive. The attempt must still be
    /// in `node.in_flight`, and is removed from it.
    void record_outcome(Node &node, const Request &request, const AttemptEnded &outcome, Micros now);

    /// Records the answer to a health check. Returns whether its load report could be used.
    bool record_health_check(Node &node, const std::optional<LoadReport> &report, Micros now);

    /// Updates the concurrency limit and the outlier detection for overdue attempts in flight. Returns the
    /// time of the next check; empty if no attempt is in flight.
    std::optional<Micros> check_in_flight(Node &node, Micros now);

private:
    void record_expected_latency(Node &node, const LoadReport &report, Micros now);
    void update_health(Node &node, Status status, Micros now);
    void log_change(const Node &node, HealthChange change);
    void cancel_lost_attempts(const Node &node, Micros answered_sent_at, Micros now);

    RequestTable &requests_;
    const SlowStart &slow_start_;
    JitterSource &jitter_;
    ActionSink &actions_;
    OutlierDetector outliers_;
    LoadEstimate load_;
    Micros shortest_objective_;
    bool may_cancel_;
};

} // namespace marblewood::policy
