/// \file
/// A request that the Scheduler holds, with its attempts.
#pragma once

#include "marblewood/events.hpp"
#include "marblewood/settings.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace marblewood::policy {

/// Identifies one attempt of one request.
struct AttemptId {
    RequestId request{};
    int attempt = 0;
    bool operator<(const AttemptId &other) const {
        return std::tie(request, attempt) < std::tie(other.request, other.attempt);
    }
};

struct Attempt {
    NodeId node{};
    Micros sent_at = 0;
    bool in_flight = true;
    bool may_have_run = true; ///< false only if it is certain that the node did not run it
    int overtaken = 0;        ///< number of attempts sent later that the node has answered
};

/// A request, from its arrival until it has its final answer and none of its attempts is in flight. All times
/// are points in time on the Scheduler's clock.
struct Request {
    RequestId id{};
    RequestArrived arrival;
    const ClassSettings *request_class = nullptr;
    const PlanSettings *plan = nullptr;
    ShardId shard{};
    Micros objective_deadline = 0; ///< an answer until then counts with the full priority weight
    Micros client_deadline = 0;
    Micros give_up_at = 0;   ///< the request is given up then, unless an attempt is in flight
    Micros end_check_at = 0; ///< when the agenda has the request checked for its end; 0: never
    Micros not_before = 0;   ///< earliest time of the next attempt, after a failed one
    double quota_factor = 1; ///< factor on the priority weight, from the quota that the request is charged to
    bool open = true;        ///< the request has no final answer yet
    bool waiting = false;    ///< the request is in the queue
    bool streaming = false;  ///< the answer has begun to arrive
    bool charged = false;    ///< the request's units have been charged to the rate limit
    bool shed_counted = false; ///< the request has been counted in ShedMetrics
    std::vector<Attempt> attempts;

    bool any_in_flight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }

    /// The first attempt that may have run; null if none may have run.
    const Attempt *first_possible_run() const {
        const auto it = std::ranges::find_if(attempts, &Attempt::may_have_run);
        return it == attempts.end() ? nullptr : &*it;
    }

    /// Whether requests with the same key as this one run one at a time.
    bool is_ordered() const {
        return request_class->in_order && !request_class->stream && arrival.key.has_value();
    }

    bool has_rate_limit() const { return plan->limit > 0; }

    /// Age of an attempt of this request, as a multiple of the latency objective.
    double attempt_age(int attempt, Micros now) const {
        return static_cast<double>(now - attempts[attempt].sent_at) /
               static_cast<double>(request_class->latency_objective);
    }
};

/// All requests that the Scheduler holds, by id. A pointer to a request stays valid until the request is
/// erased.
using RequestTable = std::map<RequestId, Request>;

/// Age of an attempt, as a multiple of the latency objective of its request, which must be in the table.
inline double attempt_age(const RequestTable &requests, const AttemptId &id, Micros now) {
    return requests.at(id.request).attempt_age(id.attempt, now);
}

} // namespace marblewood::policy
