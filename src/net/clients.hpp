/// \file
/// Accepts client connections within the socket budget, and closes them: to make room for others, while the
/// broker is quiesced, and at shutdown.
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
#include <optional>
#include <string_view>

namespace marblewood::net {

/// A client connection that is handed over from one process to another between two requests.
struct HandedOverClient {
    std::string front;  // name of the front end that serves it
    bool asked = false; // its client has already sent a request
    Micros since = 0;   // when the first byte of `bytes` was received
    std::string bytes;  // the part of its next request that has been read
    Descriptor descriptor;
};

/// The state of closing a client connection. Times are Unix time in microseconds.
///
/// A client may keep sending requests, and one that pipelines always has a request open, so the broker does
/// not wait until the connection is idle. Once kCrossingGrace has passed since the start of closing, it
/// refuses new requests at once, except the first one of a connection. At `deadline` it withdraws the open
/// requests (but see withdraw_lone_requests) and refuses all new ones. It shuts the connection down as soon
/// as no request is open and nothing is left to write or to read, and reads from it until then.
struct Closing {
    /// For how long after the start of closing new requests are still served, as the client may have sent
    /// them before the broker began to close the connection.
    static constexpr Micros kCrossingGrace = 100'000;
    /// Time from the start of closing to `deadline`; a shutdown of the process can set an earlier one. It is
    /// long enough for a client that takes 2 s to send a request.
    static constexpr Micros kCloseTimeout = 2'200'000;
    /// Time after `deadline` within which the client must read its answers.
    static constexpr Micros kFlushTimeout = 300'000;
    /// Time after `deadline` for the rest of a partial request or the first request of a new connection to
    /// arrive.
    static constexpr Micros kRemainderTimeout = 50'000;

    /// Time after its accept for which a closing connection is kept open, as the client may send several
    /// requests in a row.
    static constexpr Micros kBurstGrace = 5'000;
    /// Time after a quiesce for which a connection that has received nothing is kept open, as its first
    /// request may be in transit.
    static constexpr Micros kFirstByteTimeout = 20'000;

    Micros started_at = 0; ///< 0: the connection is not closing
    Micros deadline = 0;
    /// Whether open requests are withdrawn at the deadline even if nothing has been received after them. If
    /// not, they keep their own deadlines.
    bool withdraw_lone_requests = false;
    /// The deadline has passed: open requests have been withdrawn, and new ones are refused.
    bool withdrawn = false;

    /// Until when to wait for the first bytes of a client that has sent nothing; 0: do not wait.
    Micros first_byte_until = 0;
    /// Until when to wait for the rest of a partial request once open requests have been withdrawn.
    Micros remainder_until = 0;

    /// Whether the connection began to close at least kCrossingGrace ago.
    bool past_crossing_grace(Micros now) const {
        return started_at > 0 && now - started_at >= kCrossingGrace;
    }
};

/// What the broker knew of a client's input when it stopped waiting for the rest of a message.
struct AbandonedMessage {
    std::string_view reason;
    std::size_t open_requests = 0;
    std::size_t unparsed_bytes = 0; ///< read and not parsed, as the connection was at its limit of requests
    std::size_t unread_bytes = 0;   ///< in the socket's receive buffer
    Micros waited = 0;              ///< since the time from which the message's timeout counts
};

/// One client connection, as its front end sees it. Through the functions of EvictionOrder::Entry the front
/// end reports what the connection receives and which requests are open on it.
struct Client : EvictionOrder::Entry {
    Client(tcp::socket s, EvictionOrder &order, Micros accepted, std::uint64_t number)
        : Entry(order, accepted), socket(std::move(s)), id(number) {}
    tcp::socket socket;
    const std::uint64_t id; // unique within the process, for the log
    SocketBudget::Lease lease;
    bool exempt_from_idle_timeout = false; // while the broker drains, when the client could not reconnect
    std::function<void()> notify; // set by the session; called when `closing` or `transfer` has changed
    std::function<void(HandedOverClient)> transfer; // set during a handover; gives the connection away
    HandedOverClient inherited; // the state with which the connection was handed over to this process

    std::optional<CloseReason> close_reason; // the first reason to close it
    Closing closing;
    std::uint64_t requests_while_closing = 0; // requests received since it began to close
    bool writing = false;                     // a write to the client is in progress
    bool input_waits = false;                 // its session waits for its turn to handle input
    /// Bytes received and discarded after the session stopped parsing: before the sending side was shut down,
    /// and after. The former may hold a request that gets no answer; the latter were sent before the client
    /// saw the end of the stream.
    std::size_t dropped_before_shutdown = 0, dropped_after_shutdown = 0;
    /// Written bytes that the client's side had not acknowledged when the broker closed the socket.
    std::size_t undelivered_at_close = 0;
    /// Requests that were open when the broker closed the socket.
    std::size_t unanswered_at_close = 0;
    std::uint64_t bytes_received = 0; // since the last call of Clients::take_busiest()
    /// Set by Clients. The session calls it when it stops waiting for the rest of a message.
    std::function<void(const AbandonedMessage &)> on_message_abandoned;

    bool idle() const { return use().idle(); }
    /// Whether a request received now is refused. A connection's first request, for which it was opened, is
    /// served until the deadline.
    bool refuses(Micros now) const {
        return closing.withdrawn || (use().has_requested && closing.past_crossing_grace(now));
    }
    void note_close_reason(CloseReason why) {
        if (!close_reason)
            close_reason = why;
    }
    std::size_t unread_bytes() {
        boost::system::error_code error;
        const std::size_t bytes = socket.available(error);
        return error ? 0 : bytes;
    }
    bool has_unread_bytes() { return unread_bytes() > 0; }
    /// Whether the client has sent what the broker has not handled yet.
    bool has_unhandled_input() { return input_waits || has_unread_bytes(); }
    /// Begins to close the connection; the session shuts it down once all open requests are answered.
    void begin_closing(CloseReason why, Micros now) {
        begin_closing_by(why, now, now + Closing::kCloseTimeout, false);
    }
    /// Begins to close the connection because the broker is quiesced. If nothing has been received on it yet,
    /// it stays open for kFirstByteTimeout, in which the client can begin a request.
    void close_for_quiesce(Micros now) {
        if (use().closing)
            return;
        closing.first_byte_until = now + Closing::kFirstByteTimeout;
        begin_closing(CloseReason::Quiesce, now);
    }
    /// Begins to close the connection at shutdown, with the deadline `answer_all_at`. If nothing has been
    /// received on it yet, it stays open until kNewcomerGrace after its accept, but at most until
    /// kRemainderTimeout after the deadline.
    void close_for_shutdown(Micros now, Micros answer_all_at) {
        closing.first_byte_until = std::min(use().accepted + EvictionOrder::kNewcomerGrace,
                                            answer_all_at + Closing::kRemainderTimeout);
        begin_closing_by(CloseReason::Shutdown, now, answer_all_at, true);
    }
    /// Begins to close the connection with the deadline `time`. If it is closing already, the earlier
    /// deadline counts.
    void begin_closing_by(CloseReason why, Micros now, Micros time, bool withdraw_lone_requests);
    /// Closes the socket at once. What the system still holds for the client is sent on, unless the client
    /// has sent what is not read, or sends more.
    void close(CloseReason why) {
        note_close_reason(why);
        if (socket.is_open() && *close_reason != CloseReason::ClientDisconnected) {
            undelivered_at_close = unacknowledged_bytes(socket, use().lingering);
            unanswered_at_close = use().open_requests;
        }
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }
    /// Resets the connection of a client that does not read, so that the system holds nothing for it any
    /// more.
    void reset(CloseReason why) {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close(why);
    }
};

/// Listens on an address, or takes over a listening socket. Both throw boost::system::system_error.
tcp::acceptor listen_at(asio::io_context &io, const tcp::endpoint &at);
tcp::acceptor listen_with(asio::io_context &io, Descriptor socket);

/// The client connections of one listening socket and one front end.
class Clients {
public:
    using Front = std::function<asio::awaitable<void>(Client &)>;

    Clients(asio::io_context &io, core::Deadlines &deadlines, SocketBudget &budget, ClientFigures &figures,
            tcp::acceptor acceptor, Front front);
    /// Shuts down in an orderly way. Serves all connections until `close_connections_at`, then closes them
    /// between requests, but still accepts new ones, as clients resend requests that crossed such a close. At
    /// `answer_all_at` it stops listening, and open requests are answered at once. Calls `on_drained` once no
    /// connection is left.
    void drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> on_drained);
    /// Closes all connections once the load balancers in front have had kQuiesceGrace since the time given to
    /// direct clients to other brokers; with no time, stops doing so. New connections are still accepted and
    /// served. Idempotent.
    void quiesce(std::optional<Micros> since);
    /// Stops accepting connections until resume() is called.
    void pause();
    void resume();
    /// Hands over each connection between two requests, if its front end can; an empty function ends this.
    void hand_over(std::function<void(HandedOverClient)> transfer);
    /// Serves a connection that another process has handed over.
    void adopt(HandedOverClient inherited);
    int listener() { return acceptor_.native_handle(); }
    std::size_t open() const { return clients_.size(); }
    std::size_t closing() const; ///< number of connections that are closing and still open

    /// The connection that has sent the most, and how many bytes.
    struct Busiest {
        std::uint64_t client = 0; ///< its number; 0: none has sent anything
        std::uint64_t bytes = 0;
    };
    /// The busiest connection since the last call.
    Busiest take_busiest();

private:
    asio::awaitable<void> accept();
    void admit(tcp::socket socket, HandedOverClient inherited);
    asio::awaitable<void> serve(std::list<Client>::iterator client);
    void make_room_after(const boost::system::error_code &accept_error);
    bool evict_one(); // closes one to make room; false: all are in use
    void evict(Client &client);
    // Closes the longest idle connection if too many clients stay connected after a request.
    void limit_idle_requesters();
    void advance_drain();
    void begin_closing_all();
    bool finish_backlog(Micros now);
    bool accept_backlog(bool last);
    bool accept_waiting(int most, int beyond_room);
    void stop_listening();
    void close_for_quiesce();
    bool closing_for_quiesce() const; // the broker is quiesced and kQuiesceGrace is over
    void log_ended(const Client &client);
    void log_unanswered(const Client &client);
    void log_evicted(Client &client, std::string_view cause);
    void log_abandoned_message(const Client &client, const AbandonedMessage &message);
    // Logs every kReportInterval, while any connection is open, what keeps the closing ones open.
    void report_closing(std::string_view cause);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    ClientFigures &figures_;
    tcp::acceptor acceptor_;
    Front front_;
    EvictionOrder order_; // has to outlive the clients, which are its entries
    std::list<Client> clients_;
    std::function<void()> on_drained_;
    std::function<void(HandedOverClient)> transfer_;
    bool paused_ = false;
    core::Mailbox<bool> resumed_;
    std::optional<Micros> quiesced_since_;
    Micros close_connections_at_ = 0, answer_all_at_ = 0; // while it drains
    std::size_t ended_sessions_ = 0;                      // of connections that evict() has closed
    std::uint64_t accepted_at_end_ = 0;                   // connections that accept_backlog() has accepted
    std::optional<std::uint64_t> accept_at_end_until_;    // the value of accepted_at_end_ that is enough
    bool closing_all_ = false;                            // close_connections_at_ has passed
    Micros last_change_at_ = 0;                           // when a connection was last accepted or ended
    core::Deadlines::Entry drain_timer_, quiesce_timer_, report_timer_;
    static constexpr int kMaxEndedLinesPerSecond = 50;
    core::LogRateLimiter ended_line_limiter_{kMaxEndedLinesPerSecond};
    static constexpr int kMaxUnansweredLinesPerSecond = 20;
    core::LogRateLimiter unanswered_line_limiter_{kMaxUnansweredLinesPerSecond};
    static constexpr int kMaxEvictedLinesPerSecond = 10;
    core::LogRateLimiter evicted_line_limiter_{kMaxEvictedLinesPerSecond};
    static constexpr int kMaxAbandonedLinesPerSecond = 10;
    core::LogRateLimiter abandoned_line_limiter_{kMaxAbandonedLinesPerSecond};
};

} // namespace marblewood::net
