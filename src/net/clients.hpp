// Accepts clients, within the budget of sockets, and lets them go at the end.
#pragma once

#include "core/log.hpp"
#include "net/sockets.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>

namespace marblewood::net {

struct Client { // one connection, as its front sees it
    explicit Client(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    SocketBudget::Lease lease;
    Micros accepted = 0;
    Micros used = 0;             // when something last came or went on it
    bool asked = false;          // it has asked for something, or made itself known
    std::size_t owed = 0;        // requests taken on it and not yet answered whole
    bool partial = false;        // part of a request has come
    bool closing = false;        // takes no more
    std::function<void()> nudge; // set by the front: look at `closing`

    bool idle() const { return owed == 0 && !partial; }
    void close() {
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }
};

class Clients {
public:
    using Front = std::function<asio::awaitable<void>(Client &)>;

    Clients(asio::io_context &io, core::Deadlines &deadlines, SocketBudget &budget, const tcp::endpoint &at,
            Front front);
    // At a planned end: serves on for a while, new connections too, then lets all go between requests. `done`
    // is called once none is left.
    void drain(std::function<void()> done);
    // Sends all away between requests once those who direct clients have had time to turn to others, or stops
    // doing so. New ones are still taken, and served.
    void quiesce(bool on);

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::list<Client>::iterator client);
    void drop_idle(); // one that never asked, else one unused the longest
    void drain_turn();
    void send_away();

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    tcp::acceptor acceptor_;
    Front front_;
    std::list<Client> clients_;
    std::function<void()> done_;
    Micros drain_from_ = 0, last_new_ = 0;
    core::Deadlines::Entry look_, away_;
};

} // namespace marblewood::net
