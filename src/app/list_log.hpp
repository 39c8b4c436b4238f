/// \file
/// The log lines on the endpoint lists that a broker applies.
#pragma once

#include "discovery/list_response.hpp"

namespace marblewood::app {

/// Where a list came from.
enum class ListOrigin {
    Configuration, ///< the nodes that the configuration file names
    Discovery      ///< discovery, or a distributor
};

/// Logs that a list, or changes of it, have been applied.
void log_applied_list(const discovery::ListResponse &list, ListOrigin origin);

} // namespace marblewood::app
