// Accepts clients, within the budget of sockets, and lets them go at the end.
#pragma once

#include "core/log.hpp"
#include "core/log_rate_limiter.hpp"
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

/// How a connection ends that has been told to. Times are Unix time in us.
///
/// A client may go on sending, and one that pipelines is never between requests. So nothing waits for that:
/// from kCrossing on new requests are refused at once, and at `end_by` what is open is withdrawn and all that
/// is new refused. The connection is over at the first instant at which nothing is owed, unwritten or unread;
/// it is read until that very instant.
struct Closing {
    /// us for which requests that cross the beginning are still served.
    static constexpr Micros kCrossing = 100'000;
    /// us until the end, unless the process ends earlier: a request that takes 2 s to write comes whole.
    static constexpr Micros kWithin = 2'200'000;
    /// us beyond that for a client to read its answers.
    static constexpr Micros kFlushWithin = 300'000;
    /// us beyond that for the rest of a request that has begun, and for the first of a new connection.
    static constexpr Micros kRestWithin = 50'000;

    /// us from its accept for which a new connection stands: its client may send several requests at once.
    static constexpr Micros kBurstWithin = 5'000;
    /// us for a client that has said nothing yet to begin: its first request may be on its way.
    static constexpr Micros kFirstWithin = 20'000;

    Micros since = 0; ///< 0: it has not been told to end
    Micros end_by = 0;
    /// Whether a request is withdrawn, too, after which nothing has come. If not, it keeps its own time.
    bool lone_requests = false;
    /// `end_by` is over: what was open has been withdrawn, and whatever comes is refused.
    bool withdrawn = false;

    /// Until when the first bytes of a client are awaited that has said nothing; 0: not at all.
    Micros first_until = 0;
    /// Until when the rest of a request is awaited once requests have been withdrawn.
    Micros rest_until = 0;

    bool crossed(Micros now) const { return since > 0 && now - since >= kCrossing; }
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
    Closing closing;
    std::uint64_t asked_since = 0; // requests read since it was told to end
    bool writing = false;          // bytes for it are not written yet
    /// Bytes that came after its reading had ended and were dropped: until the sending side was shut down,
    /// and after that. The former may be a request without an answer; the latter crossed the end.
    std::size_t dropped_before_shutdown = 0, dropped_after_shutdown = 0;

    bool idle() const { return use().idle(); }
    /// Whether a request that has come now is refused: not the first, which the connection was made for,
    /// while there is time.
    bool refuses(Micros now) const { return closing.withdrawn || (use().asked && closing.crossed(now)); }
    void note(CloseReason why) {
        if (!reason)
            reason = why;
    }
    std::size_t unread_bytes() {
        boost::system::error_code error;
        const std::size_t bytes = socket.available(error);
        return error ? 0 : bytes;
    }
    bool unread() { return unread_bytes() > 0; }
    /// Takes no more requests; the front ends the connection once what is owed is paid.
    void begin_closing(CloseReason why, Micros now) { end_by(why, now, now + Closing::kWithin, false); }
    /// The same while operators send clients away: one that has just come is given the time to ask.
    void send_away(Micros now) {
        if (use().closing)
            return;
        closing.first_until = now + Closing::kFirstWithin;
        begin_closing(CloseReason::Quiesce, now);
    }
    /// The same at the end of the process, where one that has come lately may wait until requests are
    /// withdrawn.
    void shut_down(Micros now, Micros answer_all_at) {
        closing.first_until =
            std::min(use().accepted + EvictionOrder::kNewcomerGrace, answer_all_at + Closing::kRestWithin);
        end_by(CloseReason::Shutdown, now, answer_all_at, true);
    }
    /// The same, with the time by which it has to be over. Told again, the earlier time counts.
    void end_by(CloseReason why, Micros now, Micros time, bool lone_requests);
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
    // At a planned end: serves on until `close_connections_at`, then ends connections between requests, and
    // still takes new ones, for requests that have crossed such an end; at `answer_all_at` it stops
    // listening, and what is open is answered. `done` is called once no connection is left.
    void drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> done);
    // Sends all away once those who direct clients have had time to turn to others since the time given, or
    // stops doing so. New ones are still taken, and served. Called again, it changes nothing.
    void quiesce(std::optional<Micros> since);
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
    void begin_closing_all();
    bool accept_queue(bool last);
    void stop_listening();
    void send_away();
    bool sending_away() const; // operators want it, and the front has had its time to move
    void log_ended(const Client &client);
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
    std::optional<Micros> quiesced_;                      // since when
    Micros close_connections_at_ = 0, answer_all_at_ = 0; // while it drains
    int last_accepts_ = 0;                                // once connections are withdrawn
    bool closing_all_ = false;                            // close_connections_at_ is over
    Micros last_change_ = 0;                              // when a connection last came or ended
    core::Deadlines::Entry drain_timer_, quiesce_timer_, report_;
    static constexpr int kEndedLines = 50; // a second
    core::LogRateLimiter ended_lines_{kEndedLines};
};

} // namespace marblewood::net
