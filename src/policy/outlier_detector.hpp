/// \file
/// Outlier detection: when a node is ejected, what it still gets, and when it is back.
#pragma once

#include "marblewood/events.hpp"
#include "policy/jitter.hpp"
#include "policy/time.hpp"

#include <algorithm>

namespace marblewood::policy {

/// What is known of one node's health. Only OutlierDetector changes it.
struct NodeHealth {
    bool ejected = false;
    int consecutive_failures = 0;
    int consecutive_failed_connects = 0;
    Micros last_success = kLongAgo;
    Micros last_failed_connect = kLongAgo;
    Micros next_probe_request = 0; ///< while ejected: none before
};

enum class HealthChange { None, EjectedFailedConnects, EjectedFailures, EjectedSilent, Recovered };

/// Ejects a node after failures in a row or silence. Only a served attempt speaks for a node; an ejected one
/// gets one probe request (an ordinary request, preferably an idempotent one) at a time until one is served.
class OutlierDetector {
public:
    /// Latency objectives after which a probe request is given up.
    static constexpr double kProbeRequestTimeout = 1.5;

    /// `hosts`: number of hosts that may probe the same node.
    explicit OutlierDetector(int hosts) : probe_interval_(std::max(kProbeInterval, kHostInterval * hosts)) {}

    /// Takes the outcome of an attempt.
    HealthChange record_outcome(NodeHealth &node, Status status, JitterSource &jitter, Micros now) const;

    /// Ejects a node with overdue work that has served nothing for too long. `oldest_sent`: when its oldest
    /// attempt in flight was sent.
    HealthChange check_silence(NodeHealth &node, Micros oldest_sent, JitterSource &jitter, Micros now) const;

    /// A probe request has been sent.
    void record_probe_request(NodeHealth &node, JitterSource &jitter, Micros now) const {
        node.next_probe_request = now + jittered_interval(jitter);
    }

    /// Whether an answer received now, before record_outcome(), shows that the node has been down since its
    /// last success: connects to it have failed in a row.
    static bool was_unreachable(const NodeHealth &node) {
        return node.consecutive_failed_connects >= kMaxFailedConnects;
    }

private:
    static constexpr int kMaxFailedConnects = 2;      // in a row
    static constexpr int kMaxFailures = 12;           // in a row
    static constexpr Micros kMaxSilence = 1'000'000;  // us; outlasts the pauses of a healthy node
    static constexpr Micros kProbeInterval = 100'000; // us between probe requests, at the least
    static constexpr Micros kHostInterval = 10'000;   // us for each host: bounds the probes of all together

    Micros jittered_interval(JitterSource &jitter) const {
        return probe_interval_ / 2 + jitter.next(probe_interval_);
    }
    HealthChange eject(NodeHealth &node, HealthChange reason, JitterSource &jitter, Micros now) const;

    Micros probe_interval_; // us, mean
};

} // namespace marblewood::policy
