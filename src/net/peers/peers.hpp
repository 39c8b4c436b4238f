// Datagrams between brokers of a tier.
#pragma once

#include "core/log.hpp"
#include "net/sockets.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace marblewood::net::peers {

using udp = asio::ip::udp;

class Peers {
public:
    static constexpr std::size_t kMost = 256; // bytes of a message; a longer one breaks the rules

    // `socket` is bound to this broker's own address.
    Peers(udp::socket socket, std::vector<udp::endpoint> peers, std::optional<udp::endpoint> all,
          std::function<void(PeerMessage)> told)
        : socket_(std::move(socket)), peers_(std::move(peers)), all_(all), told_(std::move(told)) {
        socket_.non_blocking(true);
        listen(true);
    }
    // Another process that holds the socket, too, listens meanwhile.
    void listen(bool on) {
        boost::system::error_code ignored;
        if (on)
            asio::co_spawn(socket_.get_executor(), listening(), asio::detached);
        else
            socket_.cancel(ignored);
    }
    int descriptor() { return socket_.native_handle(); }

    void tell(std::optional<int> peer, const std::string &data) {
        if (data.size() > kMost) return core::log("peers: a message of {} bytes is not sent", data.size());
        const auto number = static_cast<std::size_t>(peer.value_or(0));
        if (peer ? number >= peers_.size() : !all_) return;
        boost::system::error_code lost; // datagrams may be lost anywhere
        socket_.send_to(asio::buffer(data), peer ? peers_[number] : *all_, 0, lost);
    }

private:
    asio::awaitable<void> listening() {
        char data[512];
        for (;;) {
            udp::endpoint from;
            boost::system::error_code error;
            const std::size_t got = co_await socket_.async_receive_from(
                asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted) co_return;
            if (error || got > kMost) continue; // an earlier datagram's refusal, or none of ours
            for (std::size_t n = 0; n < peers_.size(); ++n)
                if (peers_[n] == from) told_({static_cast<int>(n), std::string(data, got)});
        }
    }

    udp::socket socket_;
    std::vector<udp::endpoint> peers_;
    std::optional<udp::endpoint> all_;
    std::function<void(PeerMessage)> told_;
};

} // namespace marblewood::net::peers
