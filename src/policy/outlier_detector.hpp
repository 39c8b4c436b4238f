/// \file
/// Outlier detection: when a node is ejected, which requests it still receives, and when it has recovered.
#pragma once

#include "marblewood/events.hpp"
#include "policy/jitter.hpp"
#include "policy/time.hpp"

#include <algorithm>

namespace marblewood::policy {

/// The health of a node. Only OutlierDetector changes it.
struct NodeHealth {
    bool ejected = false;
    int consecutive_failures = 0;
    int consecutive_failed_connects = 0;
    Micros last_success = kLongAgo;
    Micros last_failed_connect = kLongAgo;
    Micros next_probe_request = 0; ///< while ejected: earliest time of the next probe request
};

/// How the health of a node has changed. The Ejected* values tell the cause of an ejection.
enum class HealthChange { None, EjectedFailedConnects, EjectedFailures, EjectedSilent, Recovered };

/// Ejects a node after a number of consecutive failures, or when it has answered nothing for too long. Only a
/// served attempt counts as a sign of health. An ejected node receives one probe request at a time, until one
/// is served. A probe request is an ordinary request, preferably an idempotent one.
class OutlierDetector {
public:
    /// Time-out of a probe request, in latency objectives.
    static constexpr double kProbeRequestTimeout = 1.5;

    /// `hosts`: the number of hosts that may send probe requests to the same node.
    explicit OutlierDetector(int hosts)
        : mean_probe_interval_(std::max(kMinProbeInterval, kProbeIntervalPerHost * hosts)) {}

    /// Records the outcome of an attempt.
    HealthChange record_outcome(NodeHealth &node, Status status, JitterSource &jitter, Micros now) const;

    /// Ejects a node with overdue attempts if it has served none for too long. `oldest_sent`: the time at
    /// which the oldest of its attempts in flight was sent.
    HealthChange check_silence(NodeHealth &node, Micros oldest_sent, JitterSource &jitter, Micros now) const;

    /// Records that a probe request has been sent to the node.
    void record_probe_request(NodeHealth &node, JitterSource &jitter, Micros now) const {
        node.next_probe_request = now + jittered_interval(jitter);
    }

    /// Whether several consecutive connects to the node have failed, so that it must have been down since its
    /// last success. To be called before record_outcome(), which resets the count.
    static bool was_unreachable(const NodeHealth &node) {
        return node.consecutive_failed_connects >= kMaxFailedConnects;
    }

private:
    static constexpr int kMaxFailedConnects = 2;     // consecutive
    static constexpr int kMaxFailures = 12;          // consecutive
    static constexpr Micros kMaxSilence = 1'000'000; // longer than the pauses of a healthy node
    static constexpr Micros kMinProbeInterval = 100'000;
    // The mean probe interval is at least this time multiplied by the number of hosts, which bounds the rate
    // of probe requests from all hosts together.
    static constexpr Micros kProbeIntervalPerHost = 10'000;

    Micros jittered_interval(JitterSource &jitter) const {
        return mean_probe_interval_ / 2 + jitter.next(mean_probe_interval_);
    }
    HealthChange eject(NodeHealth &node, HealthChange reason, JitterSource &jitter, Micros now) const;

    Micros mean_probe_interval_;
};

} // namespace marblewood::policy
