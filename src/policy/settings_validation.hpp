/// \file
/// The check of a Scheduler's settings before it starts.
#pragma once

#include "marblewood/settings.hpp"

namespace marblewood::policy {

/// Throws std::invalid_argument naming the first setting, in the configuration's spelling, that is missing,
/// out of range or contradicts another.
void validate_settings(const Settings &settings);

} // namespace marblewood::policy
