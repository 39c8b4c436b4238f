/// \file
/// When a request may be attempted again, and which final answer it gets.
#pragma once

#include "policy/node_table.hpp"

#include <variant>

namespace marblewood::policy {

/// Wait in the queue for another attempt, which must not start before `not_before`.
struct Retry {
    Micros not_before = 0;
};
enum class FinalAnswer {
    Refuse, ///< nothing ran, or running it again is harmless
    Fail    ///< the request may or may not have run
};

using RetryDecision = std::variant<Retry, FinalAnswer>;

/// Rules. A request whose run cannot be excluded is repeated only as its class allows: an idempotent one
/// always, one with an idempotency key where and while nodes recognise the key, any other never. Pure: reads
/// its arguments alone.
class RetryPolicy {
public:
    explicit RetryPolicy(const Settings &settings) : max_attempts_(settings.max_attempts) {}

    /// What becomes of an open request without an attempt in flight after an attempt ended without success.
    RetryDecision on_attempt_failed(const Request &request, Status status, Micros now) const;

    /// Whether another attempt may go to this node now, as far as repeating is concerned.
    bool allows_attempt(const Request &request, const Node &node, const NodeTable &nodes, Micros now) const;

    /// The true answer for a request that is given up now.
    static FinalAnswer final_answer(const Request &request);

    /// The time after which an attempt must not be written, since nodes may have forgotten its key; 0: no
    /// such time.
    static Micros latest_start(const Request &request);

private:
    bool attempts_used_up(const Request &request) const {
        return static_cast<int>(request.attempts.size()) >= max_attempts_;
    }

    int max_attempts_;
};

} // namespace marblewood::policy
