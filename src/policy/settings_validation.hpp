/// \file
/// Validation of the settings that a Scheduler is constructed with.
#pragma once

#include "marblewood/settings.hpp"

namespace marblewood::policy {

/// Throws std::invalid_argument if a setting is missing, out of range or contradicts another. The message
/// names the first such setting, as it is spelled in the configuration.
void validate_settings(const Settings &settings);

} // namespace marblewood::policy
