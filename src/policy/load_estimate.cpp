#include "policy/load_estimate.hpp"

#include <algorithm>

namespace marblewood::policy {
namespace {

// Bound on plausible service times, and on plausible numbers of requests queued ahead.
constexpr Micros kMaxPlausible = 1'000'000'000;
// Utilisations above this bound are replaced by it, because the estimated queue length, u / (1 - u), grows
// without bound as the utilisation u approaches 1.
constexpr double kMaxUtilisation = 0.95;

bool is_plausible(const LoadReport &report) {
    if (!report.service || *report.service <= 0 || *report.service > kMaxPlausible)
        return false;
    if (!report.queue && !report.inflight && !report.busy)
        return false;
    const double ahead = LoadEstimate::queued_ahead(report);
    return ahead >= 0 && ahead < kMaxPlausible; // also false if `ahead` is NaN
}

} // namespace

bool LoadReportFilter::accept(const std::optional<LoadReport> &report, Micros now) {
    if (!report || !is_plausible(*report))
        return false;
    if (last_ != report) {
        last_ = report;
        unchanged_since_ = now;
    }
    return now - unchanged_since_ < kFrozenAfter;
}

double LoadEstimate::queued_ahead(const LoadReport &report) {
    if (report.queue)
        return *report.queue;
    if (report.inflight)
        return *report.inflight;
    const double utilisation = std::min(report.busy.value_or(0), kMaxUtilisation);
    return utilisation / (1 - utilisation);
}

double LoadEstimate::expected_latency(const LoadReport &report) const {
    const auto service = static_cast<double>(*report.service);
    const double cost = std::max(0.0, queueing_delay_micros_ / queued_service_micros_);
    return service + cost * queued_ahead(report) * service;
}

void LoadEstimate::learn(const LoadReport &report, Micros latency, Micros now) {
    constexpr double kInitialQueueingDelay = kInitialCost * kInitialWeightMicros;
    const double keep = decay(learned_at_, now, kLearningTimeConstantMicros);
    const auto service = static_cast<double>(*report.service);
    queued_service_micros_ = kInitialWeightMicros + (queued_service_micros_ - kInitialWeightMicros) * keep +
                             queued_ahead(report) * service;
    queueing_delay_micros_ = kInitialQueueingDelay + (queueing_delay_micros_ - kInitialQueueingDelay) * keep +
                             static_cast<double>(latency) - service;
    learned_at_ = now;
}

} // namespace marblewood::policy
