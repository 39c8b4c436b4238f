/// \file
/// Where the broker's listening sockets come from.
#pragma once

#include "net/descriptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace marblewood::app {

/// The client listener that the platform holds for all processes of this broker, from
/// $BALANCER_PASSED_SOCKET; empty where that is not set. Throws config::Error for a value that is not a
/// descriptor.
net::Descriptor platform_listener();

/// Listens with the platform's socket, else with the predecessor's (hot restart), else with a new one at
/// `address`. Throws boost::system::system_error.
boost::asio::ip::tcp::acceptor open_listener(boost::asio::io_context &io, net::Descriptor platform,
                                             net::Descriptor predecessor,
                                             const boost::asio::ip::tcp::endpoint &address);

} // namespace marblewood::app
