/// \file
/// The metrics of a distributor as its admin interface reports them.
#pragma once

#include "discovery/discovery_client.hpp"
#include "list_distribution/list_server.hpp"

#include <string>

namespace marblewood::app {

/// All metrics, one a line, in the form of StatsD.
/// \param parent traffic of the watch on the endpoint list.
/// \param now    Unix time in us.
std::string distributor_stats(const list_distribution::ListServer &server,
                              const discovery::DiscoveryMetrics &parent, Micros now);

} // namespace marblewood::app
