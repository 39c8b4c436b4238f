#include "policy/settings_validation.hpp"

#include <stdexcept>
#include <string>

namespace marblewood::policy {
namespace {

void require(bool condition, const char *setting) {
    if (!condition)
        throw std::invalid_argument(std::string("setting out of range: ") + setting);
}

void validate_class(const ClassSettings &request_class) {
    require(request_class.latency_objective > 0, "classes.aim");
    require(request_class.deadline > 0, "classes.deadline");
    require(request_class.priority_weight >= 0 && request_class.late_priority_factor >= 0, "classes.worth");
}

void validate_plan(const PlanSettings &plan) {
    require(plan.rate >= 0 && plan.reserve >= 0 && plan.priority_factor >= 0, "plans.rate");
    require(plan.limit >= 0 && plan.limit_burst >= 0, "plans.limit");
}

} // namespace

void validate_settings(const Settings &settings) {
    require(settings.hosts >= 1, "hosts");
    require(settings.position >= 0 && settings.position < settings.hosts, "position");
    require(!settings.classes.empty(), "classes");
    require(!settings.plans.empty(), "plans");
    require(settings.max_attempts >= 1, "max_attempts");
    for (const ClassSettings &request_class : settings.classes)
        validate_class(request_class);
    for (const PlanSettings &plan : settings.plans)
        validate_plan(plan);
    require(settings.slow_start_initial_fraction > 0 && settings.slow_start_initial_fraction <= 1,
            "cold_from");
    require(settings.slow_start_window >= 0 && settings.slow_start_duration >= 0 &&
                settings.slow_start_units >= 0,
            "fall_window");
    require(settings.ordering_settle_time >= 0 && settings.retry_budget_window >= 0, "budget_window");
    require(settings.mean_request_units > 0 && settings.max_request_units > 0, "mean_units");
}

} // namespace marblewood::policy
