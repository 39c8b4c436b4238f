// The budget of descriptors: node connections get a bounded part, clients the rest, and a few stay spare.
// Also the dial that all ports share.
#pragma once

#include "core/deadlines.hpp"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <string_view>

namespace marblewood::net {

namespace asio = boost::asio;
using asio::ip::tcp;

class SocketBudget {
public:
    explicit SocketBudget(int limit)
        : most_nodes_(std::max(4, limit / 4)), most_clients_(std::max(4, limit - most_nodes_ - kSpare)),
          most_kept_(std::max(4, limit / 4)) {}

    class Lease { // one descriptor's place in the budget
    public:
        Lease() = default;
        explicit Lease(int &held) : held_(&held) { ++held; }
        Lease(Lease &&other) noexcept : held_(std::exchange(other.held_, nullptr)) {}
        Lease &operator=(Lease &&other) noexcept {
            std::swap(held_, other.held_);
            return *this;
        }
        ~Lease() {
            if (held_)
                --*held_;
        }

    private:
        int *held_ = nullptr;
    };
    bool nodes_full() const { return nodes_ >= (shared_ ? most_nodes_ / 2 : most_nodes_); }
    bool clients_full() const { return clients_ + elsewhere_ >= most_clients_; }
    // Another process, which hands over to this one or takes over from it, has half of what nodes get, and so
    // many clients.
    void share(bool shared, int clients_elsewhere = 0) {
        shared_ = shared;
        elsewhere_ = clients_elsewhere;
    }
    void came_over() { elsewhere_ = std::max(0, elsewhere_ - 1); }
    bool shared() const { return shared_; }
    int clients() const { return clients_; }
    // Connections that have asked. For requests, clients hold a third of the descriptors at the most: they
    // must have some left for what comes next.
    int most_kept() const { return most_kept_; }
    Lease node() {
        ++opened_;
        return Lease(nodes_);
    }
    std::uint64_t opened() const { return opened_; } // connections begun to nodes since the start
    Lease client() { return Lease(clients_); }

private:
    static constexpr int kSpare =
        40; // listeners, control's callers, discovery, peers, telemetry, timers, the log
    int most_nodes_, most_clients_, most_kept_, nodes_ = 0, clients_ = 0, elsewhere_ = 0;
    std::uint64_t opened_ = 0;
    bool shared_ = false;
};

// Connects within the time; an error otherwise. `on_stop` is where the caller may break it off.
inline asio::awaitable<boost::system::error_code> dial(tcp::socket &socket, tcp::endpoint to, Micros until,
                                                       core::Deadlines &deadlines) {
    boost::system::error_code error;
    const auto limit = deadlines.at(until, [&socket] {
        boost::system::error_code ignored;
        socket.close(ignored);
    });
    co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    if (!error && !socket.is_open())
        error = asio::error::timed_out;
    if (!error)
        socket.set_option(tcp::no_delay(true), error);
    co_return error;
}

// Reading, writing and accepting below wait for the socket anew after every call that did less than it might
// have. Asio's own operations wait for an edge then, which follows only where the system's buffer was really
// empty or full: not after an interrupted, shortened or refused call.

// Whether a call on a socket that does not block is to be tried again once the socket is ready.
inline bool to_be_tried_again(const boost::system::error_code &error) {
    return error == asio::error::would_block || error == asio::error::try_again ||
           error == asio::error::interrupted;
}

// Whether the other side has neither ended the connection nor sent anything that is not read yet.
inline bool quiet(tcp::socket &socket) {
    constexpr int kTries = 8; // an interrupted call says nothing
    char byte;
    for (int n = 0; n < kTries; ++n) {
        const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got >= 0)
            return false;
        if (errno != EINTR)
            return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    return false;
}

// Appends what has come. One buffer serves all connections: those that wait need none.
inline constexpr std::size_t kChunk = 64 * 1024;
inline boost::system::error_code read_now(tcp::socket &socket, std::string &in, std::size_t most = kChunk) {
    static char chunk[kChunk];
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (!error)
        in.append(chunk, socket.read_some(asio::buffer(chunk, most), error));
    if (to_be_tried_again(error))
        error.clear();
    return error;
}
inline asio::awaitable<boost::system::error_code> read_more(tcp::socket &socket, std::string &in,
                                                            std::size_t most = kChunk) {
    boost::system::error_code error;
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    co_return error ? error : read_now(socket, in, most);
}

// Writes all bytes, the first of them at once; how many went out. Fewer than all come with an error. What
// stands behind the call runs in the same turn as the last bytes.
inline asio::awaitable<std::size_t> write_whole(tcp::socket &socket, std::string_view bytes,
                                                boost::system::error_code &error) {
    std::size_t written = 0;
    socket.non_blocking(true, error);
    while (!error && written < bytes.size()) {
        written += socket.write_some(asio::buffer(bytes.substr(written)), error);
        if (!to_be_tried_again(error))
            continue;
        co_await socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return written;
}

// The same, and gives other work a turn before it returns.
inline asio::awaitable<std::size_t> write_all(tcp::socket &socket, std::string_view bytes,
                                              boost::system::error_code &error) {
    const std::size_t written = co_await write_whole(socket, bytes, error);
    co_await asio::post(socket.get_executor(), asio::use_awaitable);
    co_return written;
}

// Accepts the next connection, of a socket that listen_at() or listen_with() has made.
inline asio::awaitable<boost::system::error_code> accept_next(tcp::acceptor &acceptor, tcp::socket &socket) {
    boost::system::error_code error;
    do {
        co_await acceptor.async_wait(tcp::acceptor::wait_read,
                                     asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            acceptor.accept(socket, error);
    } while (to_be_tried_again(error));
    co_return error;
}

} // namespace marblewood::net
