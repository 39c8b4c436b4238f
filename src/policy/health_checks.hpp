/// \file
/// When a node is asked for a load report, and when a request goes to a node of which nothing recent is
/// known.
#pragma once

#include "marblewood/settings.hpp"
#include "policy/jitter.hpp"
#include "policy/time.hpp"

#include <algorithm>

namespace marblewood::policy {

/// Times that concern one node.
struct HealthCheckState {
    Micros last_check = kLongAgo;
    Micros next_blind_send = kLongAgo; ///< no request of lower priority without evidence before
};

/// Where recent evidence of a node's latency is missing, a health check asks for it; a request of lower
/// priority goes there without evidence only once the answer is overdue, and seldom.
class HealthChecks {
public:
    explicit HealthChecks(const Settings &settings) : enabled_(settings.probes) {}

    /// Each request that arrives earns a part of a health check, so that checks stay in proportion to load.
    void record_request() { tokens_ = std::min(tokens_ + kTokensPerRequest, kMaxTokens); }

    /// Whether a health check is to be sent to the node now; if so, it counts as sent.
    bool try_check(HealthCheckState &node, Micros now) {
        if (!enabled_ || tokens_ < 1 || now - node.last_check < kMinInterval)
            return false;
        --tokens_;
        node.last_check = now;
        node.next_blind_send = std::max(node.next_blind_send, now + kAnswerTime);
        return true;
    }

    /// A request of lower priority has been sent to the node: the next one without evidence has to wait.
    static void delay_blind_send(HealthCheckState &node, JitterSource &jitter, Micros now) {
        node.next_blind_send = now + kBlindSendInterval / 2 + jitter.next(kBlindSendInterval);
    }

private:
    static constexpr double kTokensPerRequest = 0.2;
    static constexpr double kMaxTokens = 4;                 // health checks that may be sent at once
    static constexpr Micros kMinInterval = 250'000;         // us between checks of one node
    static constexpr Micros kAnswerTime = 20'000;           // us after which a check's answer is overdue
    static constexpr Micros kBlindSendInterval = 1'000'000; // us, mean

    bool enabled_;
    double tokens_ = kMaxTokens;
};

} // namespace marblewood::policy
