/// \file
/// Transports frames over TCP between the brokers of an installation and their coordinator. Each process has
/// one listener, and one connection to each peer that it sends to. Delivery is not guaranteed: frames are
/// lost when a peer's queue is full or a connection fails.
#pragma once

#include "core/deadlines.hpp"
#include "core/mailbox.hpp"
#include "net/link/codec.hpp"
#include "net/link/framing.hpp"
#include "net/sockets.hpp"

#include <deque>
#include <list>
#include <random>

namespace marblewood::net::link {

/// Runs on the I/O context's thread; not thread-safe. Must exist as long as the context runs.
class PeerTransport {
public:
    static constexpr std::size_t kMaxQueuedFrames = 512; ///< Per peer. Above this, the oldest is dropped.
    static constexpr std::size_t kMaxQueuedBytes = 4 << 20;
    static constexpr std::size_t kMaxInboundConnections = 256; ///< Above this, the oldest is closed.

    using FrameHandler = std::function<void(const Frame &)>;

    /// \param name this process's name: a broker's name, or cells::kCoordinator.
    /// \param on_frame called for each frame received.
    PeerTransport(asio::io_context &io, core::Deadlines &deadlines, std::string name, tcp::acceptor acceptor,
                  std::uint64_t seed, FrameHandler on_frame);

    /// Sets the address at which a peer listens. Frames for a peer without an address are dropped.
    void set_peer_address(const std::string &peer, const tcp::endpoint &address);
    void send(const std::string &peer, FrameBody body);
    /// Frames dropped because a queue was full.
    std::uint64_t dropped_frames() const { return dropped_frames_; }

private:
    struct Peer {
        explicit Peer(asio::any_io_executor executor) : wakeups(std::move(executor)) {}
        tcp::endpoint address;
        std::deque<std::string> queue;
        std::size_t queued_bytes = 0;
        core::Mailbox<bool> wakeups;
    };
    struct Outbound {
        explicit Outbound(asio::io_context &io) : socket(io) {}
        tcp::socket socket;
        tcp::endpoint connected_to;
        Micros backoff = 0;
    };
    using Inbound = std::list<tcp::socket>;

    asio::awaitable<void> send_loop(std::shared_ptr<Peer> peer);
    asio::awaitable<bool> ensure_connected(Outbound &outbound, const Peer &peer);
    asio::awaitable<void> send_first(Outbound &outbound, Peer &peer);
    asio::awaitable<void> wait_with_jitter(Micros max_delay);
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> receive_loop(Inbound::iterator connection);
    bool deliver_frames(std::string &received);
    core::Deadlines::Entry close_after(tcp::socket &socket, Micros timeout);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    std::string name_;
    tcp::acceptor acceptor_;
    std::mt19937_64 random_;
    FrameHandler on_frame_;
    std::map<std::string, std::shared_ptr<Peer>> peers_;
    Inbound inbound_;
    std::uint64_t dropped_frames_ = 0;
};

} // namespace marblewood::net::link
