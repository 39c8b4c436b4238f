/// \file
/// Rereads the configuration file at SIGHUP.
#pragma once

#include "config/config.hpp"
#include "core/metrics.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace marblewood::app {

/// Called with the new address of discovery, resolved and as it is spelled.
using DiscoveryMoved =
    std::function<void(const boost::asio::ip::tcp::endpoint &address, const std::string &spelling)>;

/// Reads the file at `path` again. An error in any part of it is logged and leaves everything as it is. Only
/// a change of `discovery` takes effect at once, by way of `on_discovery_moved`; changes of other fields are
/// logged and take effect at the next start.
void reload_config(const std::string &path, config::Config &config, core::Metrics &metrics,
                   const DiscoveryMoved &on_discovery_moved);

} // namespace marblewood::app
