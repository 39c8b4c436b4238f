// Messages between the brokers of an installation and its keeper: frames over TCP, each process with one
// listener and one connection to each peer that it has something to say to. Nothing is promised: what does
// not fit into a peer's queue, or was on a connection that broke, is lost. A frame is its length in 4 bytes,
// the highest first, then protobuf (cells.proto).
#pragma once

#include "core/deadlines.hpp"
#include "core/mailbox.hpp"
#include "net/link/codec.hpp"
#include "net/sockets.hpp"

#include <list>
#include <random>

namespace marblewood::net::link {

class Link {
public:
    static constexpr std::size_t kMostFrame = 8 << 20; // bytes
    static constexpr std::size_t kMostQueued = 512;    // frames for one peer; the oldest goes first
    static constexpr std::size_t kMostQueuedBytes = 4 << 20;
    static constexpr std::size_t kMostCallers = 256;

    using Heard = std::function<void(const Frame &)>;
    // `name` is a broker's, or empty for the keeper.
    Link(asio::io_context &io, core::Deadlines &deadlines, std::string name, tcp::acceptor acceptor,
         std::uint64_t seed, Heard heard);

    // Where a peer is; a frame for one that is not known is lost.
    void place(const std::string &peer, const tcp::endpoint &at);
    void send(const std::string &to, Body body);
    std::uint64_t lost() const { return lost_; } // frames that found no room

private:
    struct Peer {
        explicit Peer(asio::any_io_executor executor) : work(std::move(executor)) {}
        tcp::endpoint at;
        std::deque<std::string> queue;
        std::size_t bytes = 0;
        core::Mailbox<bool> work;
    };
    asio::awaitable<void> talk(std::shared_ptr<Peer> peer);
    asio::awaitable<void> rest(Micros about);
    asio::awaitable<void> accept();
    asio::awaitable<void> hear(std::list<tcp::socket>::iterator caller);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    std::string name_;
    tcp::acceptor acceptor_;
    std::mt19937_64 random_;
    Heard heard_;
    std::map<std::string, std::shared_ptr<Peer>> peers_;
    std::list<tcp::socket> callers_;
    std::uint64_t lost_ = 0;
};

} // namespace marblewood::net::link
