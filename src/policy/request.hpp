/// \file
/// A request that the Scheduler holds, and its attempts.
#pragma once

#include "marblewood/events.hpp"
#include "marblewood/settings.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace marblewood::policy {

/// Names one attempt of one request.
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
    bool may_have_run = true; ///< unless it is proved that it did not
    int overtaken = 0;        ///< later attempts that the node has answered since
};

/// A request from its arrival until it has its final answer and nothing of it is in flight. All times are
/// points on the Scheduler's clock, us.
struct Request {
    RequestId id{};
    RequestArrived arrival;
    const ClassSettings *request_class = nullptr;
    const PlanSettings *plan = nullptr;
    ShardId shard{};
    Micros objective_deadline = 0; ///< answered until then it earns its full priority weight
    Micros client_deadline = 0;
    Micros give_up_at = 0;   ///< it is held without an attempt in flight until then
    Micros not_before = 0;   ///< no attempt before, after one that failed
    double quota_factor = 1; ///< of the priority weight, by the quota that the request was taken from
    bool open = true;        ///< it has no final answer
    bool waiting = false;    ///< it is in the queue
    bool streaming = false;  ///< its answer has begun to arrive
    bool charged = false;    ///< the rate limit has been charged for it
    bool shed_counted = false;
    std::vector<Attempt> attempts;

    bool any_in_flight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }

    /// The first attempt that may have run; null if none has.
    const Attempt *first_possible_run() const {
        const auto it = std::ranges::find_if(attempts, &Attempt::may_have_run);
        return it == attempts.end() ? nullptr : &*it;
    }

    /// Whether requests of its key run one at a time.
    bool is_ordered() const {
        return request_class->in_order && !request_class->stream && arrival.key.has_value();
    }

    bool has_rate_limit() const { return plan->limit > 0; }

    /// Age of one of its attempts, in latency objectives.
    double attempt_age(int attempt, Micros now) const {
        return static_cast<double>(now - attempts[attempt].sent_at) /
               static_cast<double>(request_class->latency_objective);
    }
};

/// All requests held, by id. Pointers to requests stay valid until they are erased.
using RequestTable = std::map<RequestId, Request>;

/// Age of an attempt of a request that is held, in latency objectives.
inline double attempt_age(const RequestTable &requests, const AttemptId &id, Micros now) {
    return requests.at(id.request).attempt_age(id.attempt, now);
}

} // namespace marblewood::policy
