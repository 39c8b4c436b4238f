#include "app/listeners.hpp"

#include "config/config.hpp"
#include "net/clients.hpp"

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fmt/format.h>
#include <unistd.h>

namespace marblewood::app {

net::Descriptor platform_listener() {
    const char *const text = std::getenv("BALANCER_PASSED_SOCKET");
    if (!text || !*text)
        return net::Descriptor();
    int descriptor = -1;
    const auto [end, error] = std::from_chars(text, text + std::strlen(text), descriptor);
    if (error != std::errc() || *end || descriptor <= STDERR_FILENO)
        throw config::Error(fmt::format("$BALANCER_PASSED_SOCKET: '{}' is not a descriptor", text));
    return net::Descriptor(descriptor);
}

boost::asio::ip::tcp::acceptor open_listener(boost::asio::io_context &io, net::Descriptor platform,
                                             net::Descriptor predecessor,
                                             const boost::asio::ip::tcp::endpoint &address) {
    if (platform.get() >= 0)
        return net::listen_with(io, std::move(platform));
    if (predecessor.get() >= 0)
        return net::listen_with(io, std::move(predecessor));
    return net::listen_at(io, address);
}

} // namespace marblewood::app
