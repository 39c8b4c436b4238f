// Plays one fleet: discovery in this process, distributors and (hollow) brokers as processes, through phases
// and events; then counts when each broker held each change, and what it cost.
#pragma once

#include "lab/scale/plan.hpp"

#include <filesystem>

namespace marblewood::lab::scale {

using Figures = std::map<std::string, double>;

/// Takes the plan's time and some seconds more. Throws std::runtime_error where the fleet does not come up.
Figures play(const FleetPlan &plan, std::uint64_t seed, const std::filesystem::path &folder);

} // namespace marblewood::lab::scale
