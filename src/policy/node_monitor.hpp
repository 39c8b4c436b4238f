/// \file
/// What attempts and health checks say of a node.
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
    /// All must outlive the monitor.
    NodeMonitor(const Settings &settings, RequestTable &requests, const SlowStart &slow_start,
                JitterSource &jitter, ActionSink &actions);

    /// An attempt has been sent to the node.
    void record_send(Node &node, AttemptId attempt, Micros now);

    /// An attempt at the node, which still counts as in flight there, has ended or has begun to be answered.
    void record_outcome(Node &node, const Request &request, const AttemptEnded &outcome, Micros now);

    /// A health check was answered. Returns whether its report could be used.
    bool record_health_check(Node &node, const std::optional<LoadReport> &report, Micros now);

    /// Takes account of attempts in flight that are overdue. Returns when to do so again; empty when nothing
    /// is in flight.
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
    Micros shortest_objective_; // us, of all classes
    bool may_cancel_;
};

} // namespace marblewood::policy
