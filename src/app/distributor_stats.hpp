/// \file
/// The metrics of a distributor as reported by its admin interface.
#pragma once

#include "discovery/discovery_client.hpp"
#include "list_distribution/list_server.hpp"

#include <string>

namespace marblewood::app {

/// All metrics in StatsD format, one per line.
/// \param parent metrics of the endpoint list watch at the distributor's parent.
/// \param now    current Unix time.
std::string distributor_stats(const list_distribution::ListServer &server,
                              const discovery::DiscoveryMetrics &parent, Micros now);

} // namespace marblewood::app
