/// \file
/// The budget of file descriptors, and connecting, reading, writing and accepting on sockets.
#pragma once

#include "core/deadlines.hpp"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>

namespace marblewood::net {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Divides the process's file descriptors: node connections get a bounded part, clients the rest, and a few
/// are reserved for everything else.
class SocketBudget {
public:
    explicit SocketBudget(int limit)
        : max_node_sockets_(std::max(4, limit / 4)),
          max_client_sockets_(std::max(4, limit - max_node_sockets_ - kReservedSockets)),
          max_idle_clients_(std::max(4, limit / 4)) {}

    /// Counts one descriptor against the budget for as long as it exists.
    class Lease {
    public:
        Lease() = default;
        explicit Lease(int &count) : count_(&count) { ++count; }
        Lease(Lease &&other) noexcept : count_(std::exchange(other.count_, nullptr)) {}
        Lease &operator=(Lease &&other) noexcept {
            std::swap(count_, other.count_);
            return *this;
        }
        ~Lease() {
            if (count_)
                --*count_;
        }

    private:
        int *count_ = nullptr;
    };
    bool nodes_full() const { return node_sockets_ >= (shared_ ? max_node_sockets_ / 2 : max_node_sockets_); }
    bool clients_full() const { return client_sockets_ + clients_elsewhere_ >= max_client_sockets_; }
    /// While two processes run during a hot restart (`shared`), each uses half of the budget for node
    /// connections. `clients_elsewhere` client connections are still held by the other process and count here
    /// too.
    void share(bool shared, int clients_elsewhere = 0) {
        shared_ = shared;
        clients_elsewhere_ = clients_elsewhere;
    }
    /// The other process has handed one of its client connections to this one.
    void client_handed_over() { clients_elsewhere_ = std::max(0, clients_elsewhere_ - 1); }
    bool shared() const { return shared_; }
    int clients() const { return client_sockets_; }
    /// The limit on idle client connections that have sent a request before: a quarter of all descriptors, so
    /// that some stay free for new clients.
    int max_idle_clients() const { return max_idle_clients_; }
    Lease node() {
        ++node_sockets_opened_;
        return Lease(node_sockets_);
    }
    /// The number of connections to nodes that were started since the process began.
    std::uint64_t node_sockets_opened() const { return node_sockets_opened_; }
    Lease client() { return Lease(client_sockets_); }

private:
    // For listeners, callers of the control address, discovery, peers, telemetry, timers and the log.
    static constexpr int kReservedSockets = 40;
    int max_node_sockets_, max_client_sockets_, max_idle_clients_, node_sockets_ = 0, client_sockets_ = 0,
                                                                   clients_elsewhere_ = 0;
    std::uint64_t node_sockets_opened_ = 0;
    bool shared_ = false;
};

/// Connects until `until` (Unix time) and disables Nagle's algorithm; otherwise an error. The caller may
/// cancel the call by closing the socket.
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

// The functions below wait for the socket to be ready again after every system call that transferred less
// than possible. Asio's own operations wait for an edge of edge-triggered readiness in that case. That edge
// comes only if the kernel's buffer was really empty or full, not after an interrupted, shortened or refused
// call.

/// Whether a call on a non-blocking socket has to be retried once the socket is ready.
inline bool is_retryable(const boost::system::error_code &error) {
    return error == asio::error::would_block || error == asio::error::try_again ||
           error == asio::error::interrupted;
}

/// Whether the peer has neither closed the connection nor sent bytes that are not read yet.
inline bool is_open_and_silent(tcp::socket &socket) {
    constexpr int kTries = 8; // an interrupted call has no result and is repeated
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

/// Bytes written to the socket that the peer's system has not acknowledged. They are lost if the connection
/// is reset. `send_shut_down`: the sending side is shut down, which counts as one more byte until it is
/// acknowledged. 0 if the socket is closed.
inline std::size_t unacknowledged_bytes(tcp::socket &socket, bool send_shut_down = false) {
    int bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes <= 0)
        return 0;
    return static_cast<std::size_t>(bytes) - (send_shut_down ? 1 : 0);
}
/// Whether the system holds written bytes back, as the peer's receive buffer or the network takes no more.
inline bool has_untransmitted_bytes(tcp::socket &socket) {
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQNSD, &bytes) == 0 && bytes > 0;
}

/// The number of connections that wait to be accepted from a listening socket; 0 if that is not known.
inline std::size_t backlog_length(int listener) {
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_unacked : 0;
}

inline constexpr std::size_t kReadChunkBytes = 64 * 1024;

/// Reads the bytes that have arrived, without waiting. They are valid until the next call: all connections
/// share one static buffer, so that connections that wait for bytes need none.
inline std::string_view receive_available(tcp::socket &socket, boost::system::error_code &error,
                                          std::size_t max_bytes = kReadChunkBytes) {
    static char chunk[kReadChunkBytes];
    std::size_t received = 0;
    socket.non_blocking(true, error);
    if (!error)
        received = socket.read_some(asio::buffer(chunk, max_bytes), error);
    if (is_retryable(error))
        error.clear();
    return {chunk, received};
}
/// Appends the bytes that have arrived to `in`, without waiting.
inline boost::system::error_code read_available(tcp::socket &socket, std::string &in,
                                                std::size_t max_bytes = kReadChunkBytes) {
    boost::system::error_code error;
    in += receive_available(socket, error, max_bytes);
    return error;
}
/// Waits until the socket is readable, then appends the bytes that have arrived to `in`.
inline asio::awaitable<boost::system::error_code> read_more(tcp::socket &socket, std::string &in,
                                                            std::size_t max_bytes = kReadChunkBytes) {
    boost::system::error_code error;
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    co_return error ? error : read_available(socket, in, max_bytes);
}

/// Writes all bytes, the first of them at once, and returns how many were written; if fewer than all, `error`
/// is set. Calls `on_accepted` with the number of bytes that each write has taken. Resumes the caller without
/// yielding after the last byte, so that no other handler runs in between.
inline asio::awaitable<std::size_t> write_without_yield(tcp::socket &socket, std::string_view bytes,
                                                        boost::system::error_code &error,
                                                        std::function<void(std::size_t)> on_accepted = {}) {
    std::size_t written = 0;
    socket.non_blocking(true, error);
    while (!error && written < bytes.size()) {
        const std::size_t accepted = socket.write_some(asio::buffer(bytes.substr(written)), error);
        written += accepted;
        if (on_accepted)
            on_accepted(accepted);
        if (!is_retryable(error))
            continue;
        co_await socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return written;
}

/// Like write_without_yield(), but lets other handlers of the event loop run before it returns.
inline asio::awaitable<std::size_t> write_all(tcp::socket &socket, std::string_view bytes,
                                              boost::system::error_code &error) {
    const std::size_t written = co_await write_without_yield(socket, bytes, error);
    co_await asio::post(socket.get_executor(), asio::use_awaitable);
    co_return written;
}

/// Accepts the next connection. `acceptor` is a non-blocking one, as listen_at() and listen_with() make them.
inline asio::awaitable<boost::system::error_code> accept_next(tcp::acceptor &acceptor, tcp::socket &socket) {
    boost::system::error_code error;
    do {
        co_await acceptor.async_wait(tcp::acceptor::wait_read,
                                     asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            acceptor.accept(socket, error);
    } while (is_retryable(error));
    co_return error;
}

} // namespace marblewood::net
