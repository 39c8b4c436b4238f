/// \file
/// The order of requests: the priority of each now.
#pragma once

#include "policy/node.hpp"

#include <algorithm>

namespace marblewood::policy {

/// Priority = weight of the class x factor of the plan x factor of the quota that the request was taken from;
/// late work earns the class's late factor at the surplus priority. Without unit.
class Priority {
public:
    explicit Priority(const Settings &settings) : surplus_factor_(settings.surplus_priority_factor) {}

    /// Whether an answer of this node, sent now, may still come within the latency objective.
    static bool is_timely(const Request &request, const Node &node, Micros now) {
        const double mean_ratio = std::min(node.limit.latency().mean(), kTargetLatencyRatio);
        const double mean = mean_ratio * static_cast<double>(request.request_class->latency_objective);
        return now + static_cast<Micros>(kMinLatencyPart * mean) <= request.objective_deadline;
    }

    double weight(const Request &request, bool timely) const {
        const double late_factor = surplus_factor_ * request.request_class->late_priority_factor;
        return request.request_class->priority_weight * request.plan->priority_factor *
               (timely ? request.quota_factor : late_factor);
    }

    /// The weight in logarithmic bands; within a band the earliest objective deadline goes first.
    double band(const Request &request, const Node &node, bool timely) const;

    /// Whether the request was taken from neither its volume's reserve nor its share.
    bool is_surplus(const Request &request) const { return request.quota_factor <= surplus_factor_; }

private:
    static constexpr double kMinLatencyPart =
        0.7; // of a node's mean latency, that an answer takes at the least

    double surplus_factor_;
};

} // namespace marblewood::policy
