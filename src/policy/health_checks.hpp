/// \file
/// Decides when a health check asks a node for a load report, and when a request of low priority is sent to a
/// node without evidence, that is, without recent latency samples (see AdmissionController).
#pragma once

#include "marblewood/settings.hpp"
#include "policy/jitter.hpp"
#include "policy/time.hpp"

#include <algorithm>

namespace marblewood::policy {

/// The times that the health-check rule keeps for one node.
struct HealthCheckState {
    Micros last_check = kLongAgo;
    /// Earliest time at which a request of low priority may be sent to the node without evidence.
    Micros next_send_without_evidence = kLongAgo;
};

/// If there are no recent latency samples of a node, a health check asks for its load report. Late and
/// surplus requests are sent there without evidence only when the answer to the health check is overdue, and
/// seldom.
class HealthChecks {
public:
    explicit HealthChecks(const Settings &settings) : enabled_(settings.probes) {}

    /// Records an arriving request. Each request adds a fraction of a token for health checks, so that their
    /// rate stays in proportion to the load.
    void record_request() { tokens_ = std::min(tokens_ + kTokensPerRequest, kMaxTokens); }

    /// Returns whether the caller must send a health check to the node now, and if so records it as sent.
    bool try_check(HealthCheckState &node, Micros now) {
        if (!enabled_ || tokens_ < 1 || now - node.last_check < kMinInterval)
            return false;
        --tokens_;
        node.last_check = now;
        node.next_send_without_evidence = std::max(node.next_send_without_evidence, now + kAnswerTimeout);
        return true;
    }

    /// Records that a request of low priority (late, or beyond its volume's reserve) has been sent to the
    /// node, which delays the next one that is sent without evidence.
    static void delay_send_without_evidence(HealthCheckState &node, JitterSource &jitter, Micros now) {
        node.next_send_without_evidence =
            now + kMeanIntervalWithoutEvidence / 2 + jitter.next(kMeanIntervalWithoutEvidence);
    }

private:
    static constexpr double kTokensPerRequest = 0.2;
    static constexpr double kMaxTokens = 4;         // health checks that may be sent in a burst
    static constexpr Micros kMinInterval = 250'000; // between two health checks of a node
    static constexpr Micros kAnswerTimeout = 20'000;
    static constexpr Micros kMeanIntervalWithoutEvidence = 1'000'000;

    bool enabled_;
    double tokens_ = kMaxTokens;
};

} // namespace marblewood::policy
