#include "net/link/link.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net::link {
namespace {

constexpr Micros kDial = 500'000, kWrite = 2'000'000;        // us
constexpr Micros kRestFirst = 50'000, kRestMost = 1'000'000; // us between tries to connect
constexpr Micros kSilence = 10'000'000;                      // us after which a caller is let go
constexpr std::size_t kHead = 4;

} // namespace

Link::Link(asio::io_context &io, core::Deadlines &deadlines, std::string name, tcp::acceptor acceptor,
           std::uint64_t seed, Heard heard)
    : io_(io), deadlines_(deadlines), name_(std::move(name)), acceptor_(std::move(acceptor)), random_(seed),
      heard_(std::move(heard)) {
    asio::co_spawn(io_, accept(), asio::detached);
}

void Link::place(const std::string &peer, const tcp::endpoint &at) {
    auto &known = peers_[peer];
    if (!known) {
        known = std::make_shared<Peer>(io_.get_executor());
        known->at = at;
        asio::co_spawn(io_, talk(known), asio::detached);
    }
    known->at = at;
}

void Link::send(const std::string &to, Body body) {
    const auto at = peers_.find(to);
    if (at == peers_.end())
        return;
    Peer &peer = *at->second;
    const std::string bytes = encode(Frame{name_, std::move(body)});
    if (bytes.size() > kMostFrame)
        return core::log("link: a frame of {} bytes is not sent", bytes.size());
    std::string framed;
    for (int shift = 24; shift >= 0; shift -= 8)
        framed += static_cast<char>(bytes.size() >> shift & 0xff);
    framed += bytes;
    peer.bytes += framed.size();
    peer.queue.push_back(std::move(framed));
    while (peer.queue.size() > 1 && (peer.queue.size() > kMostQueued || peer.bytes > kMostQueuedBytes)) {
        peer.bytes -= peer.queue.front().size();
        peer.queue.pop_front();
        ++lost_;
    }
    if (peer.work.empty())
        peer.work.put(true);
}

// With a random part, so that a keeper that comes back is not met by all brokers at once.
asio::awaitable<void> Link::rest(Micros about) {
    std::uniform_int_distribution<Micros> part(about / 2, about);
    asio::steady_timer timer(io_, std::chrono::microseconds(part(random_)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> Link::talk(std::shared_ptr<Peer> peer) {
    tcp::socket socket(io_);
    tcp::endpoint connected;
    Micros wait = kRestFirst;
    for (;;) {
        while (peer->queue.empty())
            co_await peer->work.take();
        boost::system::error_code error;
        if (socket.is_open() && connected != peer->at)
            socket.close(error);
        if (socket.is_open()) { // a peer never says anything here: what can be read is its end
            char byte;
            const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
                socket.close(error);
        }
        if (!socket.is_open()) {
            connected = peer->at;
            error = co_await dial(socket, connected, deadlines_.clock.now() + kDial, deadlines_);
            if (error) {
                socket.close(error);
                co_await rest(wait);
                wait = std::min(2 * wait, kRestMost);
                continue;
            }
            wait = kRestFirst;
        }
        const std::string frame = std::move(peer->queue.front());
        peer->queue.pop_front();
        peer->bytes -= frame.size();
        const auto limit = deadlines_.in(kWrite, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        co_await write_all(socket, frame, error);
        if (error)
            socket.close(error);
    }
}

asio::awaitable<void> Link::accept() {
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket(io_);
        error = co_await accept_next(acceptor_, socket);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            co_await rest(kRestFirst);
            continue;
        }
        if (callers_.size() >= kMostCallers)
            callers_.front().close(error);
        asio::co_spawn(io_, hear(callers_.emplace(callers_.end(), std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> Link::hear(std::list<tcp::socket>::iterator caller) {
    tcp::socket &socket = *caller;
    std::string in;
    core::Deadlines::Entry limit;
    for (bool good = true; good;) {
        limit = deadlines_.in(kSilence, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        if (co_await read_more(socket, in))
            break;
        std::size_t at = 0;
        while (good && in.size() - at >= kHead) {
            std::size_t length = 0;
            for (std::size_t n = 0; n < kHead; ++n)
                length = length << 8 | static_cast<unsigned char>(in[at + n]);
            good = length <= kMostFrame;
            if (!good || in.size() - at - kHead < length)
                break;
            try {
                heard_(decode(std::string_view(in).substr(at + kHead, length)));
            } catch (const Unreadable &error) {
                core::log("link: {}", error.what());
                good = false;
            }
            at += kHead + length;
        }
        in.erase(0, at);
    }
    boost::system::error_code ignored;
    socket.close(ignored);
    limit.reset();
    callers_.erase(caller);
}

} // namespace marblewood::net::link
