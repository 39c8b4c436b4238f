#include "policy/admission.hpp"

#include <algorithm>

namespace marblewood::policy {
namespace {

// A request with more time left than this many times the shortest latency objective is not urgent.
constexpr Micros kUrgentWithinObjectives = 2;
// Weight of the latency samples below which their mean says nothing about the node's present load.
constexpr double kMinEvidenceWeight = 0.4;
// The highest mean latency ratios of a node at which it is sent requests within their volume's share, surplus
// requests and late requests.
constexpr double kMaxRatioForShare = 1.5;
constexpr double kMaxRatioForSurplus = 0.4;
constexpr double kMaxRatioForLate = 0.25; // so low that the node is idle for the other hosts too
// Fraction of a rate limit's burst that late requests leave in the bucket.
constexpr double kBurstFractionLeftByLate = 0.9;

} // namespace

Micros shortest_latency_objective(const Settings &settings) {
    return std::ranges::min(settings.classes, {}, &ClassSettings::latency_objective).latency_objective;
}

AdmissionController::AdmissionController(const Settings &settings, const Priority &priority,
                                         const QuotaLedger &quotas)
    : priority_(priority), quotas_(quotas), shortest_objective_(shortest_latency_objective(settings)) {}

Admission AdmissionController::check(const Request &request, const Node &node, bool timely,
                                     Micros now) const {
    if (node.health.ejected)
        return Admission::Admit;
    if (must_leave_slot_to_urgent_requests(request, node, now))
        return Admission::Yield;
    if (timely && request.quota_factor >= 1)
        return Admission::Admit;
    if (!timely && must_leave_rate_limit_to_timely_requests(request, now))
        return Admission::Yield;
    const bool surplus = priority_.is_surplus(request);
    if (node.limit.latency().weight_at(now) < kMinEvidenceWeight) {
        if (timely && !surplus)
            return Admission::Admit;
        const bool may_send_without_evidence =
            node.in_flight.empty() && now >= node.checks.next_send_without_evidence;
        return may_send_without_evidence ? Admission::Admit : Admission::YieldForEvidence;
    }
    const double mean_ratio = node.limit.latency().mean();
    if (timely)
        return mean_ratio > (surplus ? kMaxRatioForSurplus : kMaxRatioForShare) ? Admission::Yield
                                                                                : Admission::Admit;
    return !node.in_flight.empty() || mean_ratio > kMaxRatioForLate ? Admission::Yield : Admission::Admit;
}

bool AdmissionController::must_leave_slot_to_urgent_requests(const Request &request, const Node &node,
                                                             Micros now) const {
    const bool has_spare_time =
        request.objective_deadline - now > kUrgentWithinObjectives * shortest_objective_;
    return has_spare_time && node.in_flight_count() + 2 > std::max(2.0, node.limit.value());
}

bool AdmissionController::must_leave_rate_limit_to_timely_requests(const Request &request, Micros now) const {
    const double kept_units =
        kBurstFractionLeftByLate * request.plan->limit_burst / std::max(1, request.arrival.hosts);
    return !quotas_.allows(request, now, kept_units - request.arrival.units);
}

} // namespace marblewood::policy
