// Accepts clients, within the budget of sockets, and lets them go at the end.
#pragma once

#include "core/log.hpp"
#include "core/mailbox.hpp"
#include "net/client_figures.hpp"
#include "net/descriptor.hpp"
#include "net/eviction_order.hpp"
#include "net/sockets.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>

namespace marblewood::net {

struct Passed {        // a client's connection on its way from one process to another, between requests
    std::string front; // which one serves it
    bool asked = false;
    Micros since = 0;  // when the first of these came:
    std::string bytes; // read of its next request
    Descriptor descriptor;
};

/// One client's connection, as its front sees it. How it is used is said through EvictionOrder::Entry.
struct Client : EvictionOrder::Entry {
    Client(tcp::socket s, EvictionOrder &order, Micros accepted, std::uint64_t number)
        : Entry(order, accepted), socket(std::move(s)), id(number) {}
    tcp::socket socket;
    const std::uint64_t id; // unique within the process, for the log
    SocketBudget::Lease lease;
    bool staying = false;             // may be idle: this broker drains, and it could not come again
    std::function<void()> notify;     // set by the front: look at `closing` and `pass`
    std::function<void(Passed)> pass; // set while connections are handed to another process
    Passed early;                     // what came with it from there

    std::optional<CloseReason> reason; // the first cause of its end
    Micros closing_since = 0;          // when it was told to end, Unix time in us
    std::uint64_t asked_since = 0;     // requests read since then
    bool writing = false;              // bytes for it are not written yet

    bool idle() const { return use().idle(); }
    void note(CloseReason why) {
        if (!reason) reason = why;
    }
    bool unread() {
        boost::system::error_code error;
        return socket.available(error) > 0;
    }
    /// Takes no more requests; the front ends the connection once what is owed is paid.
    void begin_closing(CloseReason why, Micros now) {
        note(why);
        if (!use().closing) closing_since = now;
        mark_closing();
        if (notify) notify();
    }
    void close(CloseReason why) {
        note(why);
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }
};

// Listens at an address, or takes over a socket that listens already; throws boost::system::system_error.
tcp::acceptor listen_at(asio::io_context &io, const tcp::endpoint &at);
tcp::acceptor listen_with(asio::io_context &io, Descriptor socket);

class Clients {
public:
    using Front = std::function<asio::awaitable<void>(Client &)>;

    Clients(asio::io_context &io, core::Deadlines &deadlines, SocketBudget &budget, ClientFigures &figures,
            tcp::acceptor acceptor, Front front);
    // At a planned end: serves on until the time given, new connections too, then lets all go between
    // requests. `done` is called once none is left.
    void drain(Micros until, std::function<void()> done);
    // Sends all away between requests once those who direct clients have had time to turn to others, or stops
    // doing so. New ones are still taken, and served.
    void quiesce(bool on);
    // Accepts no more, until resumed.
    void pause();
    void resume();
    // Hands each connection on between requests, as far as its front can; with nothing given, no more.
    void hand_over(std::function<void(Passed)> pass);
    void adopt(Passed passed);
    int listener() { return acceptor_.native_handle(); }
    std::size_t open() const { return clients_.size(); }
    std::size_t closing() const; // told to end, and not ended yet

private:
    asio::awaitable<void> accept();
    void admit(tcp::socket socket, Passed early);
    asio::awaitable<void> serve(std::list<Client>::iterator client);
    bool evict_one();         // to make room; false: all are in use
    void limit_idle_askers(); // closes the longest unused, if too many clients that asked stay
    void drain_turn();
    void send_away();
    void log_ended(const Client &client) const;
    // Says, each second while connections are being closed for the cause given, what keeps them.
    void report_closing(std::string_view cause);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    ClientFigures &figures_;
    tcp::acceptor acceptor_;
    Front front_;
    EvictionOrder order_; // outlives the clients, which are filed in it
    std::list<Client> clients_;
    std::function<void()> done_;
    std::function<void(Passed)> pass_;
    bool paused_ = false;
    core::Mailbox<bool> resumed_;
    Micros drain_until_ = 0, last_new_ = 0;
    core::Deadlines::Entry look_, away_, report_;
};

} // namespace marblewood::net
