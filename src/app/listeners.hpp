/// \file
/// Opens the broker's listening sockets, or takes over existing ones.
#pragma once

#include "net/descriptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace marblewood::app {

/// The client listener that the platform keeps open for all processes of this broker and passes as a
/// descriptor number in $BALANCER_PASSED_SOCKET. Empty if that is not set. Throws config::Error for an
/// invalid value.
net::Descriptor platform_listener();

/// Listens on the platform's socket if there is one, else on the predecessor's (hot restart), else on a new
/// socket at `address`. Throws boost::system::system_error.
boost::asio::ip::tcp::acceptor open_listener(boost::asio::io_context &io, net::Descriptor platform,
                                             net::Descriptor predecessor,
                                             const boost::asio::ip::tcp::endpoint &address);

} // namespace marblewood::app
