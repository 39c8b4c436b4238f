/// \file
/// Decides when a request may be retried, and which final answer it gets.
#pragma once

#include "policy/node_table.hpp"

#include <variant>

namespace marblewood::policy {

/// Queue the request for another attempt, which must not start before `not_before`.
struct Retry {
    Micros not_before = 0;
};
enum class FinalAnswer {
    Refuse, ///< the request did not run, or running it again is harmless
    Fail    ///< the request may or may not have run
};

using RetryDecision = std::variant<Retry, FinalAnswer>;

/// Rules. A request that may have run is retried only as its class allows. An idempotent request may always
/// be retried; a request with an idempotency key, at nodes that recognise the key, as long as they do; any
/// other request, never. Results depend only on the arguments and the settings.
class RetryPolicy {
public:
    explicit RetryPolicy(const Settings &settings) : max_attempts_(settings.max_attempts) {}

    /// Decides what happens after an attempt that was not served. The request must be open and have no
    /// attempt in flight.
    RetryDecision on_attempt_failed(const Request &request, Status status, Micros now) const;

    /// Whether the rules on retries allow an attempt of the request at this node now.
    bool allows_attempt(const Request &request, const Node &node, const NodeTable &nodes, Micros now) const;

    /// The correct final answer for a request that is given up now.
    static FinalAnswer final_answer(const Request &request);

    /// The time after which an attempt must not be written to a node, because nodes may have forgotten its
    /// idempotency key; 0: no bound.
    static Micros latest_start(const Request &request);

private:
    bool attempts_used_up(const Request &request) const {
        return static_cast<int>(request.attempts.size()) >= max_attempts_;
    }

    int max_attempts_;
};

} // namespace marblewood::policy
