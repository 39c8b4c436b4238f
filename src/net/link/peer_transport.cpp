#include "net/link/peer_transport.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net::link {
namespace {

constexpr Micros kConnectTimeout = 500'000;
constexpr Micros kWriteTimeout = 2'000'000;
constexpr Micros kInitialBackoff = 50'000; // between attempts to connect; doubled after each failure
constexpr Micros kMaxBackoff = 1'000'000;
/// Inbound connections on which nothing was received for this time are closed.
constexpr Micros kInboundIdleTimeout = 10'000'000;

void close(tcp::socket &socket) {
    boost::system::error_code ignored;
    socket.close(ignored);
}

/// Whether the peer has closed the connection. Peers never send data on these connections, so received data
/// also counts as the end.
bool ended_by_peer(tcp::socket &socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

PeerTransport::PeerTransport(asio::io_context &io, core::Deadlines &deadlines, std::string name,
                             tcp::acceptor acceptor, std::uint64_t seed, FrameHandler on_frame)
    : io_(io), deadlines_(deadlines), name_(std::move(name)), acceptor_(std::move(acceptor)), random_(seed),
      on_frame_(std::move(on_frame)) {
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

void PeerTransport::set_peer_address(const std::string &peer, const tcp::endpoint &address) {
    std::shared_ptr<Peer> &known = peers_[peer];
    const bool created = !known;
    if (created)
        known = std::make_shared<Peer>(io_.get_executor());
    known->address = address;
    if (created)
        asio::co_spawn(io_, send_loop(known), asio::detached);
}

void PeerTransport::send(const std::string &to, FrameBody body) {
    const auto found = peers_.find(to);
    if (found == peers_.end())
        return;
    Peer &peer = *found->second;
    const std::string frame = encode(Frame{name_, std::move(body)});
    if (frame.size() > kMaxFrameBytes)
        return core::log("link_frame_dropped peer={} bytes={} reason=too_large", to, frame.size());
    peer.queue.push_back(add_length_prefix(frame));
    peer.queued_bytes += peer.queue.back().size();
    while (peer.queue.size() > 1 &&
           (peer.queue.size() > kMaxQueuedFrames || peer.queued_bytes > kMaxQueuedBytes)) {
        peer.queued_bytes -= peer.queue.front().size();
        peer.queue.pop_front();
        ++dropped_frames_;
    }
    if (peer.wakeups.empty())
        peer.wakeups.put(true);
}

/// Waits for a random time between half of `max_delay` and `max_delay`, so that the brokers do not all
/// connect to a restarted coordinator at once.
asio::awaitable<void> PeerTransport::wait_with_jitter(Micros max_delay) {
    std::uniform_int_distribution<Micros> jitter(max_delay / 2, max_delay);
    asio::steady_timer timer(io_, std::chrono::microseconds(jitter(random_)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

core::Deadlines::Entry PeerTransport::close_after(tcp::socket &socket, Micros timeout) {
    return deadlines_.in(timeout, [&socket] { close(socket); });
}

asio::awaitable<void> PeerTransport::send_loop(std::shared_ptr<Peer> peer) {
    Outbound outbound(io_);
    outbound.backoff = kInitialBackoff;
    for (;;) {
        while (peer->queue.empty())
            co_await peer->wakeups.take();
        if (co_await ensure_connected(outbound, *peer))
            co_await send_first(outbound, *peer);
    }
}

/// Connects to the peer's current address unless already connected to it. Waits for the backoff time and
/// returns false if that fails.
asio::awaitable<bool> PeerTransport::ensure_connected(Outbound &outbound, const Peer &peer) {
    tcp::socket &socket = outbound.socket;
    if (socket.is_open() && (outbound.connected_to != peer.address || ended_by_peer(socket)))
        close(socket);
    if (socket.is_open())
        co_return true;
    outbound.connected_to = peer.address;
    const Micros deadline = deadlines_.clock.now() + kConnectTimeout;
    if (co_await dial(socket, outbound.connected_to, deadline, deadlines_)) {
        close(socket);
        co_await wait_with_jitter(outbound.backoff);
        outbound.backoff = std::min(2 * outbound.backoff, kMaxBackoff);
        co_return false;
    }
    outbound.backoff = kInitialBackoff;
    co_return true;
}

asio::awaitable<void> PeerTransport::send_first(Outbound &outbound, Peer &peer) {
    const std::string frame = std::move(peer.queue.front());
    peer.queue.pop_front();
    peer.queued_bytes -= frame.size();
    const auto timeout = close_after(outbound.socket, kWriteTimeout);
    boost::system::error_code error;
    co_await write_all(outbound.socket, frame, error);
    if (error)
        close(outbound.socket);
}

asio::awaitable<void> PeerTransport::accept_loop() {
    for (;;) {
        tcp::socket socket(io_);
        const boost::system::error_code error = co_await accept_next(acceptor_, socket);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            co_await wait_with_jitter(kInitialBackoff);
            continue;
        }
        if (inbound_.size() >= kMaxInboundConnections)
            close(inbound_.front());
        const auto connection = inbound_.emplace(inbound_.end(), std::move(socket));
        asio::co_spawn(io_, receive_loop(connection), asio::detached);
    }
}

asio::awaitable<void> PeerTransport::receive_loop(Inbound::iterator connection) {
    std::string received;
    core::Deadlines::Entry timeout;
    for (bool valid = true; valid;) {
        timeout = close_after(*connection, kInboundIdleTimeout);
        if (co_await read_more(*connection, received))
            break;
        valid = deliver_frames(received);
    }
    close(*connection);
    timeout.reset();
    inbound_.erase(connection);
}

/// Passes all complete frames to on_frame_ and removes them from `received`. Returns false if the peer
/// violated the protocol.
bool PeerTransport::deliver_frames(std::string &received) {
    std::size_t consumed = 0;
    bool valid = true;
    try {
        while (const auto frame = first_frame(std::string_view(received).substr(consumed))) {
            consumed += framed_size(*frame);
            on_frame_(decode_frame(*frame));
        }
    } catch (const FrameTooLarge &) {
        valid = false;
    } catch (const DecodeError &error) {
        core::log("link_frame_rejected error=\"{}\"", error.what());
        valid = false;
    }
    received.erase(0, consumed);
    return valid;
}

} // namespace marblewood::net::link
