#include "policy/admission.hpp"

#include <algorithm>

namespace marblewood::policy {
namespace {

constexpr Micros kPatientObjectives = 2;    // shortest objectives left: a request with more is patient
constexpr double kMinEvidence = 0.4;        // weight of samples under which the mean says nothing of now
constexpr double kMaxRatioForShare = 1.5;   // mean latency ratio up to which work within its share goes
constexpr double kMaxRatioForSurplus = 0.4; // the same for surplus work
constexpr double kMaxRatioForLate = 0.25;   // the same for late work: the node is idle for other hosts too
constexpr double kBucketPartLeft = 0.9;     // of a rate limit's burst, left by late work

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
    if (leaves_place_to_tighter_work(request, node, now))
        return Admission::Yield;
    if (timely && request.quota_factor >= 1)
        return Admission::Admit;
    if (!timely && leaves_rate_limit_to_timely_work(request, now))
        return Admission::Yield;
    const bool surplus = priority_.is_surplus(request);
    if (node.limit.latency().weight_at(now) < kMinEvidence) {
        if (timely && !surplus)
            return Admission::Admit;
        const bool may_go_blind = node.in_flight.empty() && now >= node.checks.next_blind_send;
        return may_go_blind ? Admission::Admit : Admission::YieldForEvidence;
    }
    const double mean_ratio = node.limit.latency().mean();
    if (timely)
        return mean_ratio > (surplus ? kMaxRatioForSurplus : kMaxRatioForShare) ? Admission::Yield
                                                                                : Admission::Admit;
    return !node.in_flight.empty() || mean_ratio > kMaxRatioForLate ? Admission::Yield : Admission::Admit;
}

bool AdmissionController::leaves_place_to_tighter_work(const Request &request, const Node &node,
                                                       Micros now) const {
    const bool patient = request.objective_deadline - now > kPatientObjectives * shortest_objective_;
    return patient && node.in_flight_count() + 2 > std::max(2.0, node.limit.value());
}

bool AdmissionController::leaves_rate_limit_to_timely_work(const Request &request, Micros now) const {
    const double kept = kBucketPartLeft * request.plan->limit_burst / std::max(1, request.arrival.hosts);
    return !quotas_.allows(request, now, kept - request.arrival.units);
}

} // namespace marblewood::policy
