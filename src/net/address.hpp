/// \file
/// Parses "host:port" as in the configuration and endpoint lists.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace marblewood::net {

/// Empty if `text` is malformed. Hosts are IP addresses, as names are not resolved; an IPv6 address may stand
/// in brackets.
template <typename Endpoint> std::optional<Endpoint> endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, port_error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error || port_error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return Endpoint(address, port);
}

} // namespace marblewood::net
