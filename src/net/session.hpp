/// \file
/// The part of a client session that is common to all protocols: reading, writing, timeouts, backpressure and
/// an orderly end of the connection. Each front end derives its session from it and adds the protocol.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory_budget.hpp"
#include "net/answer_delivery.hpp"
#include "net/clients.hpp"
#include "net/input_arrivals.hpp"
#include "net/input_turns.hpp"

#include <boost/asio/cancellation_signal.hpp>

namespace marblewood::net {

/// Serves one client connection. All its coroutines and timers run on the executor of the client's socket.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Client &client, core::Deadlines &deadlines, core::MemoryBudget &memory, InputTurns &turns)
        : client_(client), deadlines_(deadlines), wake_signal_(client.socket.get_executor()),
          flushed_signal_(client.socket.get_executor()), turn_(turns), memory_reservation_(memory),
          memory_(memory) {}
    virtual ~Session() = default;
    /// Serves the client; returns once the connection has ended.
    asio::awaitable<void> run();

protected:
    /// Removes complete messages from `input_` and handles them, until is_output_full().
    virtual void parse_received() = 0;
    /// The client has disconnected; its open requests cannot be answered any more.
    virtual void on_disconnect() = 0;
    /// Whether the client has sent only a part of its next message so far.
    virtual bool has_partial_message() const { return !input_.empty(); }
    /// Bytes that count towards the memory budget, apart from the output queue.
    virtual std::size_t buffered_bytes() const { return partial_message_bytes(); }
    /// Bytes that are kept for messages that the client has not completed.
    virtual std::size_t partial_message_bytes() const { return input_.size(); }
    /// For how long a client that has sent a request before may stay idle; 0 means without limit.
    virtual Micros idle_timeout() const = 0;
    /// Sends a protocol error to the client and discards the input, which cannot be completed or parsed.
    virtual void reject_input(const char *why) = 0;
    /// The bytes received of the next message, with which another process can continue; empty if the
    /// protocol's connections cannot be handed over.
    virtual std::optional<std::string> partial_input() const { return std::nullopt; }
    virtual const char *front_name() const = 0; ///< identifies the front end in a hot restart
    /// Has all open requests answered at once, except one whose value is being streamed to the client.
    virtual void answer_now() = 0;
    /// The number of open requests that wait for more bytes of the client. The request limit does not count
    /// them, as holding input back would hold back what they wait for.
    virtual std::size_t requests_awaiting_input() const { return 0; }
    /// Whether a long value is being streamed from a node to the client.
    virtual bool is_streaming() const { return false; }
    /// Whether the connection can end without ending others that have open requests. If not, the session
    /// waits until `client_.notify` is called.
    virtual bool may_end() const { return true; }

    /// When the last byte before the last `unparsed` bytes of the input arrived: a message's time counts from
    /// there, however long the broker held it back.
    Micros arrival_before(std::size_t unparsed) const { return arrivals_.before(unparsed); }
    /// Queues bytes for the client. Once they are written, `answers` open requests count as completed.
    void send(std::string_view bytes, std::size_t answers);
    /// Whether the client does not read its answers. parse_received() checks it before each message, and
    /// leaves the rest in `input_` while it holds.
    bool is_output_full() const;
    /// Reserves what the connection holds now. To be called after buffered_bytes() has changed, except within
    /// parse_received().
    void update_reservation();
    /// Ends the connection after the bytes that are queued. Nothing more is read, and the `unanswered`
    /// requests that are open get no answer.
    void end_after_output(CloseReason reason, std::size_t unanswered);
    bool is_disconnected() const { return disconnected_; }
    /// Whether input that has arrived is not parsed, because the connection is at its limit. What the
    /// client is waited for may be in it.
    bool holds_input_back() const { return unparsed_input_; }
    /// Waits until all queued bytes are written or the client has disconnected.
    asio::awaitable<void> wait_flushed();

    Client &client_;
    core::Deadlines &deadlines_;
    std::string input_;             // received and not yet parsed
    Micros message_started_at_ = 0; // from when the timeout of the partial message counts
    // When the socket was last read. While reading is suspended: when it last was not read, as bytes may have
    // arrived until then.
    Micros last_read_at_ = 0;
    bool reading_finished_ = false; // no more requests are read; open ones are still answered
    bool pause_reading_ = false; // the client sent an invalid command: reading pauses for kInvalidInputPause

private:
    std::size_t max_read_bytes() const;
    boost::system::error_code read_input();
    void handle_received(bool starts_message);
    void abandon_message_without_room();
    // Handles the input once it is the connection's turn, unless the client has left meanwhile.
    asio::awaitable<void> handle_in_turn(bool starts_message);
    void watch_for_hang_up();
    asio::awaitable<void> suspend_reading();
    bool hand_over();
    void handle_notification();
    void arm_client_timeout();
    bool end_between_requests();
    bool shut_down_if_quiet();
    Micros wait_for_input_until() const;
    void arm_closing_timers();
    void handle_close_deadline();
    void stop_reading(CloseReason reason, const char *why);
    void handle_disconnect();
    bool client_hung_up() const; // also if unread bytes precede the end of the stream
    // Returns operation_aborted if interrupt_read() was called.
    asio::awaitable<boost::system::error_code> wait_readable();
    // Whether nothing more is parsed: the output is full, or the connection has kMaxOpenRequests open
    // requests that do not wait for input.
    bool at_limit() const;
    // Has check_delivery() called soon; a check that is pending is at most brought forward.
    void arm_delivery_check();
    // Asks the system what the client has taken, and ends the connection if that is nothing for too long.
    void check_delivery();
    void update_delivery();
    void handle_flush_timeout();
    // Closes the connection so that the system goes on sending what it holds.
    void close_and_leave_output(CloseReason reason);
    void arm_linger_timer();
    void handle_linger_timeout();
    asio::awaitable<void> linger();
    // Waits for `duration`, or with `until_below_limit` at most until at_limit() is false.
    asio::awaitable<void> pause(Micros duration, bool until_below_limit = false);
    // Ends wait_readable() and nothing else.
    void interrupt_read() { read_interrupted_.emit(asio::cancellation_type::all); }
    // Wakes the coroutine that waits for wake_signal_. Signals that are not consumed yet are merged into one.
    void wake() {
        if (wake_signal_.empty())
            wake_signal_.put(true);
        if (reading_finished_ || unparsed_input_)
            interrupt_read();
    }
    asio::awaitable<void> write(std::shared_ptr<Session> self);
    asio::awaitable<void> finish();

    core::Mailbox<bool> wake_signal_, flushed_signal_;
    AnswerDelivery delivery_;
    bool writing_ = false, disconnected_ = false;
    bool parsing_ = false; // parse_received() is running
    // input_ holds bytes that are not parsed yet, as the connection was at its limit. The client is not timed
    // meanwhile: it may have sent all that is expected of it.
    bool unparsed_input_ = false;
    InputArrivals arrivals_; // of the bytes in input_
    // Since when the socket is not read, until all that arrived meanwhile is read. That time stands for the
    // unknown arrival of each of these bytes, so that no request is given more time than its client has.
    std::optional<Micros> reading_suspended_at_;
    bool received_any_ = false;     // the client has sent at least one byte
    bool received_refused_ = false; // has received bytes that are refused (Client::refuses)
    bool send_shut_down_ = false;   // the sending side is shut down: no more answers can be sent
    asio::cancellation_signal read_interrupted_;
    InputTurns::Account turn_;
    core::MemoryBudget::Reservation memory_reservation_;
    core::MemoryBudget &memory_;
    core::Deadlines::Entry client_timeout_, close_timer_, input_wait_timer_, flush_timer_, hang_up_timer_,
        linger_timer_, delivery_check_;
    Micros delivery_check_at_ = 0; // when delivery_check_ is due; 0: none is pending
};

} // namespace marblewood::net
