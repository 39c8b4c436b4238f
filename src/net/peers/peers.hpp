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
    std::uint64_t sent() const { return sent_; }   // datagrams
    std::uint64_t bytes() const { return bytes_; } // in them
    int descriptor() { return socket_.native_handle(); }

    void tell(std::optional<int> peer, const std::string &data) {
        if (data.size() > kMost)
            return core::log("peers: a message of {} bytes is not sent", data.size());
        boost::system::error_code lost; // datagrams may be lost anywhere
        const auto send = [&](const udp::endpoint &to) {
            socket_.send_to(asio::buffer(data), to, 0, lost);
            ++sent_, bytes_ += data.size();
        };
        if (peer && static_cast<std::size_t>(*peer) < peers_.size())
            send(peers_[static_cast<std::size_t>(*peer)]);
        if (!peer && all_)
            send(*all_);
        if (!peer && !all_) // each by itself
            for (const udp::endpoint &to : peers_)
                if (to != socket_.local_endpoint(lost))
                    send(to);
    }

private:
    asio::awaitable<void> listening() {
        char data[512];
        for (;;) {
            udp::endpoint from;
            boost::system::error_code error;
            const std::size_t got = co_await socket_.async_receive_from(
                asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error || got > kMost)
                continue; // an earlier datagram's refusal, or none of ours
            for (std::size_t n = 0; n < peers_.size(); ++n)
                if (peers_[n] == from)
                    told_({static_cast<int>(n), std::string(data, got)});
        }
    }

    udp::socket socket_;
    std::vector<udp::endpoint> peers_;
    std::optional<udp::endpoint> all_;
    std::function<void(PeerMessage)> told_;
    std::uint64_t sent_ = 0, bytes_ = 0;
};

} // namespace marblewood::net::peers
