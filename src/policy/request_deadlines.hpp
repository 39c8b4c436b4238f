/// \file
/// How long a request is held, and how long an attempt may take.
#pragma once

#include "policy/node.hpp"

namespace marblewood::policy {

/// Rules. A request that was never sent is refused while its client still has time to use another host. A
/// request that may have run is answered just before the client's deadline. An attempt in flight is left to
/// its own time-out, which still leaves time for a final answer within Settings::answer_slack. All results
/// are points in time.
class RequestDeadlines {
public:
    explicit RequestDeadlines(const Settings &settings)
        : margin_(2 * settings.period), answer_slack_(settings.answer_slack) {}

    /// The latest time at which an answer still reaches the client before its deadline.
    Micros latest_useful_answer(const Request &request) const { return request.client_deadline - margin_; }

    /// When the request is given up, unless an attempt is in flight.
    Micros give_up_at(const Request &request) const {
        if (request.first_possible_run())
            return request.client_deadline - margin_;
        const Micros arrived_at = request.client_deadline - request.arrival.time_left;
        const auto max_queued =
            static_cast<Micros>(kMaxQueuedFraction * static_cast<double>(request.arrival.time_left));
        return arrived_at + max_queued - margin_;
    }

    /// When the request is answered even though an attempt is in flight, in case the time-out of the attempt
    /// is late.
    Micros last_answer_at(const Request &request) const {
        return request.client_deadline + answer_slack_ / 2;
    }

    /// When an attempt that is sent to the node now times out.
    static Micros attempt_expiry(const Request &request, const Node &node, Micros now) {
        if (!node.health.ejected)
            return request.client_deadline;
        const auto objective = static_cast<double>(request.request_class->latency_objective);
        const auto timeout = static_cast<Micros>(OutlierDetector::kProbeRequestTimeout * objective);
        return std::min(request.client_deadline, now + timeout);
    }

private:
    // A request that was never sent is held for at most this fraction of the time that its client allows.
    static constexpr double kMaxQueuedFraction = 0.3;

    Micros margin_; // the answer may come two timer periods after the deadline that causes it
    Micros answer_slack_;
};

} // namespace marblewood::policy
