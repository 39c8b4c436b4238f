/// \file
/// The priority of a request.
#pragma once

#include "policy/node.hpp"

#include <algorithm>

namespace marblewood::policy {

/// Priority = weight of the class x factor of the plan x factor of the quota that the request is charged to.
/// For a late request the last factor is the surplus factor x the late factor of the class. Dimensionless.
class Priority {
public:
    explicit Priority(const Settings &settings) : surplus_factor_(settings.surplus_priority_factor) {}

    /// Whether the request can still be answered before its objective deadline if it is sent to the node now.
    static bool is_timely(const Request &request, const Node &node, Micros now) {
        const double mean_ratio = std::min(node.limit.latency().mean(), kTargetLatencyRatio);
        const double mean = mean_ratio * static_cast<double>(request.request_class->latency_objective);
        return now + static_cast<Micros>(kMinLatencyFraction * mean) <= request.objective_deadline;
    }

    /// The priority of the request; `timely` is the result of is_timely() for it.
    double weight(const Request &request, bool timely) const {
        const double late_factor = surplus_factor_ * request.request_class->late_priority_factor;
        return request.request_class->priority_weight * request.plan->priority_factor *
               (timely ? request.quota_factor : late_factor);
    }

    /// The logarithmic band of the priority. Within a band the request with the earliest objective deadline
    /// is sent first.
    double band(const Request &request, const Node &node, bool timely) const;

    /// Whether the request is surplus: it was charged neither to the reserve of its volume nor to the
    /// volume's share of the capacity.
    bool is_surplus(const Request &request) const { return request.quota_factor <= surplus_factor_; }

private:
    // The latency of an answer is taken to be at least this fraction of the node's mean latency.
    static constexpr double kMinLatencyFraction = 0.7;

    double surplus_factor_;
};

} // namespace marblewood::policy
