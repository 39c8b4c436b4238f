// The end of a session's connection: when it is shut down, what is still read and delivered, and when the
// socket is closed.
#include "net/session.hpp"

namespace marblewood::net {
namespace {

// For a client that has gone on sending while its connection is closing, without reading its answers.
constexpr Micros kClosingStallTimeout = 2'000'000;
// For a client to close after the sending side was shut down, if it has acknowledged all its answers then.
constexpr Micros kLingerTimeout = 200'000;
constexpr int kMaxReadsPerTurn = 2;      // of a closing connection, before the event loop serves others
constexpr int kDiscardReadsPerPause = 8; // also the limit after the sending side is shut down
constexpr Micros kDiscardPause = 10'000; // so that a flooding client cannot take all processor time
constexpr Micros kUnbounded = INT64_MAX;

} // namespace

// Ends a closing connection between two requests, if there is such a moment before its deadline. Reads and
// handles what has arrived, at most kMaxReadsPerTurn reads per call, and shuts the connection down once
// nothing is left to read. Returns true if the connection is finished.
bool Session::end_between_requests() {
    for (int n = 0; n < kMaxReadsPerTurn && !at_limit() && !unparsed_input_; ++n) {
        if (shut_down_if_quiet())
            return true;
        const bool starts_message = !has_partial_message();
        const std::size_t before = input_.size();
        const auto error = read_input();
        const bool received = input_.size() != before;
        if (received)
            handle_received(starts_message);
        if (reading_finished_)
            return true;
        if (error || !received)
            return false;
    }
    return false;
}

// The only place that shuts down a closing connection. It checks for unread bytes and shuts down the sending
// side in two consecutive calls, without returning to the event loop in between: a request that arrives
// before the check is read and answered, and the client of one that arrives later is already being sent the
// end of the stream. While the system holds answers back, as the client has not read what came before them,
// the client could not see that end.
bool Session::shut_down_if_quiet() {
    const ConnectionUse &use = client_.use();
    if (reading_finished_ || disconnected_ || !use.closing || use.open_requests > 0)
        return false;
    if (parsing_ || unparsed_input_ || delivery_.unsent_bytes() > 0 || !may_end())
        return false;
    if (has_untransmitted_bytes(client_.socket)) {
        arm_delivery_check();
        return false;
    }
    if (deadlines_.clock.now() < wait_for_input_until())
        return false;
    if (!is_open_and_silent(client_.socket))
        return false;
    boost::system::error_code ignored;
    client_.socket.shutdown(tcp::socket::shutdown_send, ignored);
    client_.mark_lingering();
    send_shut_down_ = reading_finished_ = true;
    return true;
}

void Session::arm_closing_timers() {
    if (!client_.use().closing)
        return;
    if (!client_.closing.withdrawn)
        close_timer_ = deadlines_.at(client_.closing.deadline, [this] { handle_close_deadline(); });
    if (const Micros until = wait_for_input_until(); until != kUnbounded)
        input_wait_timer_ = deadlines_.at(until, [this] { interrupt_read(); });
}

// Until when the shutdown of a closing connection waits for bytes that may be in transit: the rest of a burst
// on a new connection, the first bytes of a client that has just connected, or the rest of a partial request,
// which gets only kRemainderTimeout once open requests have been withdrawn.
Micros Session::wait_for_input_until() const {
    const Closing &closing = client_.closing;
    const Micros burst = client_.use().accepted + Closing::kBurstGrace;
    if (!received_any_)
        return std::max(burst, closing.first_byte_until);
    if (!client_.use().partial)
        return burst;
    return closing.withdrawn ? std::max(burst, closing.remainder_until) : kUnbounded;
}

// Handles the deadline of a closing connection. Requests read before new ones began to be refused may
// keep it open, but newer input may not: answers are sent in order, so if there is newer input, all older
// requests are answered now as well.
void Session::handle_close_deadline() {
    Closing &closing = client_.closing;
    const bool newer_input = received_refused_ || unparsed_input_ || client_.use().partial;
    if (closing.withdrawn || (!newer_input && !closing.withdraw_lone_requests))
        return;
    closing.withdrawn = true;
    closing.remainder_until = deadlines_.clock.now() + Closing::kRemainderTimeout;
    arm_closing_timers();
    flush_timer_ = deadlines_.in(Closing::kFlushTimeout, [this] { handle_flush_timeout(); });
    if (client_.use().open_requests > 0)
        core::log("client {}: {} open requests are withdrawn ({})", client_.id, client_.use().open_requests,
                  name(*client_.close_reason));
    answer_now();
    interrupt_read();
    wake();
}

// The client of a closing connection has had time to take its answers. At the end of the process the system
// sends on what it holds, and a value that is still being streamed goes on. Otherwise nothing more is read,
// and the answers are still delivered. A client that takes nothing ends either.
void Session::handle_flush_timeout() {
    const bool process_ends = client_.closing.withdraw_lone_requests;
    update_delivery();
    const bool stalled = delivery_.is_stalled(deadlines_.clock.now(), kClosingStallTimeout);
    if (process_ends && (stalled || !is_streaming()))
        return close_and_leave_output(CloseReason::NotReading);
    if (stalled) {
        client_.reset(CloseReason::NotReading);
        return wake();
    }
    flush_timer_ = deadlines_.in(Closing::kFlushTimeout, [this] { handle_flush_timeout(); });
    if (is_streaming())
        return;
    if (delivery_.is_delivered() && !send_shut_down_)
        return client_.close(CloseReason::NotReading); // it goes on sending
    if (reading_finished_)
        return;
    reading_finished_ = true;
    client_.set_partial(false);
    client_.notify();
}

void Session::close_and_leave_output(CloseReason reason) {
    boost::system::error_code error;
    for (int n = 0; n < kDiscardReadsPerPause && !error && client_.has_unread_bytes(); ++n)
        client_.dropped_before_shutdown += receive_available(client_.socket, error).size();
    client_.close(reason);
    wake();
}

void Session::end_after_output(CloseReason reason, std::size_t unanswered) {
    client_.note_close_reason(reason);
    reading_finished_ = true;
    client_.set_partial(false);
    client_.complete_requests(unanswered);
    on_disconnect();
    client_.notify();
}

// Waits until all open requests are answered, shuts down the sending side and waits for the client to close.
// Input that arrives meanwhile is read and discarded, so that a disconnect is noticed, and so that closing
// the socket with unread bytes does not cause a reset that destroys the last answer. Until the sending side
// is shut down, this input is what follows QUIT or a malformed message.
asio::awaitable<void> Session::finish() {
    if (!client_.use().partial)
        client_.dropped_before_shutdown += input_.size(); // read and never parsed
    std::string().swap(input_);
    update_reservation();
    for (int n = 1; !disconnected_ && !send_shut_down_ && (writing_ || client_.use().open_requests > 0);
         ++n) {
        boost::system::error_code error = co_await wait_readable();
        if (error == asio::error::operation_aborted && client_.socket.is_open())
            continue;
        if (!error)
            client_.dropped_before_shutdown += receive_available(client_.socket, error).size();
        if (error || client_hung_up())
            handle_disconnect();
        else if (n % kDiscardReadsPerPause == 0)
            co_await pause(kDiscardPause);
    }
    if (disconnected_)
        client_.close(CloseReason::ClientDisconnected); // fails a write in progress, which nobody would read
    while (writing_)
        co_await wake_signal_.take();
    if (disconnected_)
        co_return;
    if (!send_shut_down_) {
        boost::system::error_code ignored;
        client_.dropped_before_shutdown += client_.unread_bytes();
        client_.socket.shutdown(tcp::socket::shutdown_send, ignored);
        send_shut_down_ = true;
        client_.mark_lingering();
    }
    co_await linger();
}

// Waits until the client closes the connection, or has taken all its answers and has had time to close. If
// the socket were closed before, the client's next bytes would reset the connection, and the system would
// drop what it still holds.
asio::awaitable<void> Session::linger() {
    update_delivery();
    if (!delivery_.is_delivered())
        arm_delivery_check();
    arm_linger_timer();
    boost::system::error_code error;
    for (int n = 0; n < kDiscardReadsPerPause && !error; ++n) {
        co_await client_.socket.async_wait(tcp::socket::wait_read,
                                           asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            client_.dropped_after_shutdown += receive_available(client_.socket, error).size();
    }
    while (!error && client_.socket.is_open())
        co_await wake_signal_.take();
}

void Session::arm_linger_timer() {
    linger_timer_ = deadlines_.in(kLingerTimeout, [this] { handle_linger_timeout(); });
}

void Session::handle_linger_timeout() {
    update_delivery();
    if (!delivery_.is_delivered() && !client_hung_up())
        return arm_linger_timer();
    client_.close(CloseReason::ClientDisconnected);
    wake();
}

} // namespace marblewood::net
