/// \file
/// How long a request is held, and how long an attempt may take.
#pragma once

#include "policy/node.hpp"

namespace marblewood::policy {

/// Rules. A request that was never sent is refused while its client still has time to go elsewhere; one that
/// may have run is answered just before its client gives up. An attempt in flight is left to its own
/// time-out, which falls due within the slack that a final answer has. All results are points in time, us.
class RequestDeadlines {
public:
    explicit RequestDeadlines(const Settings &settings)
        : margin_(2 * settings.period), answer_slack_(settings.answer_slack) {}

    /// The latest objective deadline that is of use to the client.
    Micros latest_useful_answer(const Request &request) const { return request.client_deadline - margin_; }

    /// Until when the request is held without an attempt in flight.
    Micros give_up_at(const Request &request) const {
        if (request.first_possible_run())
            return request.client_deadline - margin_;
        const Micros arrived_at = request.client_deadline - request.arrival.time_left;
        const auto held = static_cast<Micros>(kMaxHeldPart * static_cast<double>(request.arrival.time_left));
        return arrived_at + held - margin_;
    }

    /// When the request is answered in spite of an attempt in flight, should that one's time-out be late.
    Micros last_answer_at(const Request &request) const {
        return request.client_deadline + answer_slack_ / 2;
    }

    /// When an attempt sent to the node now is given up.
    static Micros attempt_expiry(const Request &request, const Node &node, Micros now) {
        if (!node.health.ejected)
            return request.client_deadline;
        const auto objective = static_cast<double>(request.request_class->latency_objective);
        const auto timeout = static_cast<Micros>(OutlierDetector::kProbeRequestTimeout * objective);
        return std::min(request.client_deadline, now + timeout);
    }

private:
    static constexpr double kMaxHeldPart = 0.3; // of a client's time, for a request that was never sent

    Micros margin_;       // us; two calls of handle() may lie between a deadline and its answer
    Micros answer_slack_; // us
};

} // namespace marblewood::policy
