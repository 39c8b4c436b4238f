/// \file
/// Reloads the configuration file at SIGHUP.
#pragma once

#include "config/config.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace marblewood::app {

/// Called with the new address of discovery: resolved, and as written in the configuration file.
using DiscoveryChanged =
    std::function<void(const boost::asio::ip::tcp::endpoint &address, const std::string &configured_text)>;

/// Reads the file at `path` again. An error in any part of it is logged, and nothing changes. Only a change
/// of `discovery` takes effect at once, through `on_discovery_changed`. Changes of other fields, except
/// `known` and `seed`, are logged; they take effect at the next start. Returns whether the file was taken.
bool reload_config(const std::string &path, config::Config &config,
                   const DiscoveryChanged &on_discovery_changed);

} // namespace marblewood::app
