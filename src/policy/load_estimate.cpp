#include "policy/load_estimate.hpp"

#include <algorithm>

namespace marblewood::policy {
namespace {

constexpr Micros kImplausible = 1'000'000'000; // us of service time, or requests queued
constexpr double kMaxUtilisation = 0.95;       // a busier node's utilisation says no more than this

bool is_plausible(const LoadReport &report) {
    if (!report.service || *report.service <= 0 || *report.service > kImplausible)
        return false;
    if (!report.queue && !report.inflight && !report.busy)
        return false;
    const double ahead = LoadEstimate::queued_ahead(report);
    return ahead >= 0 && ahead < kImplausible; // false for a NaN
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
    const double cost = std::max(0.0, waited_ / queued_service_);
    return service + cost * queued_ahead(report) * service;
}

void LoadEstimate::learn(const LoadReport &report, Micros latency, Micros now) {
    constexpr double kInitialWaited = kInitialCost * kInitialWeight;
    const double keep = decay(learned_at_, now, kLearningTime);
    const auto service = static_cast<double>(*report.service);
    queued_service_ =
        kInitialWeight + (queued_service_ - kInitialWeight) * keep + queued_ahead(report) * service;
    waited_ = kInitialWaited + (waited_ - kInitialWaited) * keep + static_cast<double>(latency) - service;
    learned_at_ = now;
}

} // namespace marblewood::policy
