#include "net/session.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <poll.h>

namespace marblewood::net {
namespace {

constexpr std::size_t kMaxOpenRequests = 256;                    // of one connection
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024; // of answers that a client has not read
constexpr std::size_t kMaxUnsentBytesWhenShort = std::size_t{2} * 1024; // when memory is short
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;              // of one connection at a time
constexpr std::size_t kMaxSpareInputBytes = 1024;                       // allocated for input and not used
constexpr std::size_t kReadBytesWhenShort = std::size_t{2} * 1024;
constexpr std::size_t kAlwaysKeptBytes = 8192; // of a partial message, even when memory is short
constexpr Micros kMessageTimeout = 2'500'000;  // from first to last byte; well-behaved clients take up to 2 s
constexpr Micros kFirstRequestTimeout = 2'000'000; // from the accept
constexpr Micros kInvalidInputPause = 50'000;      // before the client of an invalid command is read again
constexpr Micros kDeliveryCheckInterval = 100'000;
constexpr Micros kDeliveryCheckIntervalWhenClosing = 10'000; // the end waits for the answers to be sent
// For a client that has gone on sending while its connection is closing, without taking its answers.
constexpr Micros kClosingStallTimeout = 2'000'000;
// For a client to close after the sending side was shut down, if it has taken all its answers then.
constexpr Micros kLingerTimeout = 200'000;
constexpr std::size_t kMaxTransferredBytes =
    std::size_t{48} * 1024;              // of a partial message handed over to another process
constexpr int kMaxReadsPerTurn = 2;      // of a closing connection, before the event loop serves others
constexpr int kDiscardReadsPerPause = 8; // also the limit after the sending side is shut down
constexpr Micros kDiscardPause = 10'000; // so that a flooding client cannot take all processor time
constexpr std::size_t kMaxReadAheadBytes =
    std::size_t{16} * 1024; // of a connection at its limit, so that its end is noticed
constexpr Micros kUnbounded = INT64_MAX;
constexpr Micros kHangUpCheckInterval = 50'000; // for a connection with more than kMaxReadAheadBytes unparsed

} // namespace

asio::awaitable<void> Session::run() {
    client_.notify = [this] { handle_notification(); };
    received_any_ = client_.inherited.asked; // whether it sent a request before the handover
    arm_closing_timers();
    if (received_any_)
        arm_delivery_check();
    if (!client_.inherited.bytes.empty()) { // read before the handover
        input_ = std::exchange(client_.inherited.bytes, {});
        message_started_at_ = last_read_at_ = client_.inherited.since;
        arrivals_.add(input_.size(), last_read_at_);
        handle_received(false);
    }
    while (!reading_finished_) {
        if (client_.use().closing && deadlines_.clock.now() >= client_.closing.deadline)
            handle_close_deadline();
        if (unparsed_input_ && !at_limit()) {
            co_await handle_in_turn(true);
            continue;
        }
        boost::system::error_code error;
        if (client_.transfer && hand_over())
            break;
        const bool waits_for_turn = client_.has_unread_bytes() && turn_.needs_turn(0);
        if (client_.use().closing && !waits_for_turn && end_between_requests())
            break;
        arm_client_timeout();
        if (unparsed_input_ && (input_.size() >= kMaxReadAheadBytes || memory_.is_short())) {
            co_await suspend_reading();
            if (disconnected_)
                break;
            continue;
        }
        const bool starts_message = !has_partial_message();
        error = co_await wait_readable();
        if (error == asio::error::operation_aborted && client_.socket.is_open())
            continue;
        if (!error)
            error = read_input();
        if (error) {
            handle_disconnect();
            break;
        }
        unparsed_input_ = at_limit();
        if (unparsed_input_)
            update_reservation();
        else
            co_await handle_in_turn(starts_message);
        if (pause_reading_) {
            pause_reading_ = false;
            co_await pause(kInvalidInputPause);
            if (client_hung_up()) {
                handle_disconnect();
                break;
            }
        }
    }
    reading_finished_ = true;
    client_timeout_.reset();
    // A client that has sent nothing is owed no answer, so its connection is closed at once. It sends a
    // request that crosses this close again.
    if (!received_any_ && client_.use().closing)
        client_.close(CloseReason::ClientDisconnected);
    co_await finish();
    close_timer_.reset();
    input_wait_timer_.reset();
    flush_timer_.reset();
    linger_timer_.reset();
    delivery_check_.reset();
    client_.notify = nullptr;
}

// The connection has begun to close or is to be handed over, or what its end waited for may have come.
void Session::handle_notification() {
    arm_closing_timers();
    if (client_.use().closing && delivery_check_at_ != 0)
        arm_delivery_check();
    if (reading_finished_)
        wake();
    else if (client_.use().open_requests == 0)
        interrupt_read();
}

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

void Session::arm_delivery_check() {
    const Micros interval =
        client_.use().closing ? kDeliveryCheckIntervalWhenClosing : kDeliveryCheckInterval;
    const Micros due = deadlines_.clock.now() + interval;
    if (delivery_check_at_ != 0 && delivery_check_at_ <= due)
        return;
    delivery_check_at_ = due;
    delivery_check_ = deadlines_.at(due, [this] { check_delivery(); });
}

void Session::update_delivery() {
    const Micros now = deadlines_.clock.now();
    if (delivery_.on_held_by_system(unacknowledged_bytes(client_.socket, send_shut_down_), now))
        client_.received(now);
    client_.set_delivery(delivery_.state(now), delivery_.last_progress());
}

void Session::check_delivery() {
    delivery_check_at_ = 0;
    if (!client_.socket.is_open())
        return;
    update_delivery();
    if (delivery_.is_stalled(deadlines_.clock.now(), AnswerDelivery::kStallTimeout)) {
        client_.reset(CloseReason::NotReading);
        return wake();
    }
    if (!delivery_.is_delivered())
        arm_delivery_check();
    arm_client_timeout();
    if (client_.use().closing && !has_untransmitted_bytes(client_.socket))
        client_.notify();
}

bool Session::at_limit() const {
    const std::size_t open = client_.use().open_requests;
    return is_output_full() ||
           (open >= kMaxOpenRequests && open - requests_awaiting_input() >= kMaxOpenRequests);
}

bool Session::is_output_full() const {
    return delivery_.unsent_bytes() >= (memory_.is_short() ? kMaxUnsentBytesWhenShort : kMaxUnsentBytes);
}

void Session::update_reservation() {
    memory_reservation_.resize(buffered_bytes() + delivery_.unsent_bytes());
}

// Records that the client has disconnected, also while it waits for answers, and abandons its open requests.
void Session::handle_disconnect() {
    if (std::exchange(disconnected_, true))
        return;
    client_.note_close_reason(CloseReason::ClientDisconnected);
    on_disconnect();
}

bool Session::client_hung_up() const {
    pollfd end{client_.socket.native_handle(), POLLRDHUP, 0};
    return !client_.socket.is_open() ||
           (::poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0);
}

asio::awaitable<boost::system::error_code> Session::wait_readable() {
    boost::system::error_code error;
    co_await client_.socket.async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(read_interrupted_.slot(),
                                     asio::redirect_error(asio::use_awaitable, error)));
    co_return error;
}

bool Session::hand_over() {
    if (client_.use().open_requests > 0 || writing_ || pause_reading_)
        return false;
    auto bytes = partial_input();
    if (!bytes || bytes->size() > kMaxTransferredBytes)
        return false;
    boost::system::error_code error;
    Descriptor fd(client_.socket.release(error));
    disconnected_ = true; // as far as this process is concerned
    client_.note_close_reason(CloseReason::HandedOver);
    if (!error)
        client_.transfer({front_name(), client_.use().has_requested, message_started_at_, std::move(*bytes),
                          std::move(fd)});
    return true;
}

// Appends the bytes that have arrived to `input_`.
boost::system::error_code Session::read_input() {
    const std::size_t before = input_.size();
    const boost::system::error_code error =
        read_available(client_.socket, input_, memory_.is_short() ? kReadBytesWhenShort : kReadBytes);
    last_read_at_ = deadlines_.clock.now();
    client_.bytes_received += input_.size() - before;
    arrivals_.add(input_.size() - before, reading_suspended_at_.value_or(last_read_at_));
    if (reading_suspended_at_ && !client_.has_unread_bytes())
        reading_suspended_at_.reset();
    return error;
}

// Reads nothing for a while, as input is held back. Notices if the client leaves meanwhile.
asio::awaitable<void> Session::suspend_reading() {
    if (!reading_suspended_at_)
        reading_suspended_at_ = last_read_at_;
    co_await pause(kHangUpCheckInterval, true);
    last_read_at_ = deadlines_.clock.now();
    if (client_hung_up())
        handle_disconnect();
}

// What is left of input that was held back is part of a message, whose client is timed from the last read:
// until then the client may have been sending, and in between the broker did not wait for it.
asio::awaitable<void> Session::handle_in_turn(bool starts_message) {
    if (turn_.needs_turn(input_.size())) {
        const Micros waiting_since = deadlines_.clock.now();
        unparsed_input_ = true;
        client_timeout_.reset();
        update_reservation();
        client_.input_waits = true;
        watch_for_hang_up();
        co_await turn_.take_turn(input_.size());
        hang_up_timer_.reset();
        client_.input_waits = false;
        message_started_at_ += deadlines_.clock.now() - waiting_since;
        if (client_hung_up())
            handle_disconnect();
    }
    unparsed_input_ = false;
    const Micros started_at = deadlines_.clock.now();
    if (disconnected_)
        reading_finished_ = true;
    else
        handle_received(starts_message);
    turn_.charge(started_at);
    turn_.end_turn();
}

// While its input waits, the client's end is not read. The requests that it has open must not be sent on once
// it has left.
void Session::watch_for_hang_up() {
    hang_up_timer_ = deadlines_.in(kHangUpCheckInterval, [this] {
        if (!client_hung_up())
            return watch_for_hang_up();
        handle_disconnect();
        turn_.skip();
    });
}

void Session::handle_received(bool starts_message) {
    client_.received(deadlines_.clock.now());
    received_any_ = true;
    if (client_.refuses(client_.use().last_used))
        received_refused_ = true;
    if (starts_message)
        message_started_at_ = last_read_at_;
    parsing_ = true;
    parse_received(); // may send answers before all of the input is parsed
    parsing_ = false;
    unparsed_input_ = is_output_full() && !input_.empty() && !reading_finished_;
    arrivals_.keep(input_.size());
    if (input_.capacity() > kMaxSpareInputBytes + input_.size())
        std::string(input_).swap(input_); // frees the memory that the parsed messages took
    // Bounds the memory that many connections with a partial message each take together.
    if (has_partial_message() && !unparsed_input_ && !reading_finished_ && memory_.is_exhausted() &&
        partial_message_bytes() > kAlwaysKeptBytes)
        stop_reading(CloseReason::Incomplete, "no room for it");
    client_.set_partial(has_partial_message() && !reading_finished_);
    update_reservation();
}

// Sets the timeout for what the client has to do next: complete a message, send its first request, or send
// another one. Idle connections and partial messages take descriptors and memory from other clients. While
// the broker holds input back, the client owes nothing, so that no timeout runs.
void Session::arm_client_timeout() {
    client_timeout_.reset();
    const Micros idle = idle_timeout();
    if (reading_finished_ || unparsed_input_)
        return;
    const ConnectionUse &use = client_.use();
    if (use.partial)
        client_timeout_ = deadlines_.at(message_started_at_ + kMessageTimeout, [this] {
            stop_reading(CloseReason::Incomplete, "it does not come whole");
        });
    else if (use.idle() && (!use.has_requested || (idle > 0 && !client_.exempt_from_idle_timeout)))
        client_timeout_ = deadlines_.at(
            use.has_requested ? use.last_used + idle : use.accepted + kFirstRequestTimeout, [this, &use] {
                client_.begin_closing(use.has_requested ? CloseReason::Idle : CloseReason::SilentClient,
                                      deadlines_.clock.now());
            });
}

void Session::stop_reading(CloseReason reason, const char *why) {
    client_.note_close_reason(reason);
    client_.on_message_abandoned({.reason = why,
                                  .open_requests = client_.use().open_requests,
                                  .unparsed_bytes = unparsed_input_ ? input_.size() : 0,
                                  .unread_bytes = client_.unread_bytes(),
                                  .waited = deadlines_.clock.now() - message_started_at_});
    reject_input(why);
    reading_finished_ = true;
    client_.set_partial(false);
    client_.notify();
}

void Session::end_after_output(CloseReason reason, std::size_t unanswered) {
    client_.note_close_reason(reason);
    reading_finished_ = true;
    client_.set_partial(false);
    client_.complete_requests(unanswered);
    on_disconnect();
    client_.notify();
}

// Suspends reading, so that a client that floods its connection or sends invalid commands in a loop does not
// take the processor time of all others.
asio::awaitable<void> Session::pause(Micros duration, bool until_below_limit) {
    bool elapsed = false;
    const auto entry = deadlines_.in(duration, [&] {
        elapsed = true;
        wake();
    });
    while (!elapsed && !(until_below_limit && !at_limit()))
        co_await wake_signal_.take();
}

void Session::send(std::string_view bytes, std::size_t answers) {
    delivery_.queue(bytes, answers, deadlines_.clock.now());
    update_reservation();
    if (writing_ || disconnected_)
        return;
    if (delivery_check_at_ == 0)
        arm_delivery_check();
    writing_ = client_.writing = true;
    asio::co_spawn(client_.socket.get_executor(), write(shared_from_this()), asio::detached);
}

asio::awaitable<void> Session::write(std::shared_ptr<Session> self) {
    while (!self->disconnected_ && self->delivery_.has_queued()) {
        AnswerDelivery::Batch batch = self->delivery_.begin_batch();
        boost::system::error_code error;
        co_await write_without_yield(
            self->client_.socket, batch.bytes, error,
            [&delivery = self->delivery_](std::size_t bytes) { delivery.on_accepted(bytes); });
        std::string().swap(batch.bytes);
        self->delivery_.end_batch();
        self->client_.complete_requests(batch.answers);
        self->client_.received(self->deadlines_.clock.now());
        self->update_reservation();
        // The closed socket fails the read in run() or finish(), which then handles the disconnect.
        if (error)
            self->client_.close(CloseReason::ClientDisconnected);
        // Right after the write: a client that keeps sending has its answer now and may send its next request
        // soon.
        if (!error && !self->client_.transfer)
            self->shut_down_if_quiet();
        // Lets other connections run.
        co_await asio::post(self->client_.socket.get_executor(), asio::use_awaitable);
        self->wake();
    }
    self->writing_ = self->client_.writing = false;
    self->wake();
    if (self->flushed_signal_.empty())
        self->flushed_signal_.put(true);
    if (!self->client_.notify)
        co_return; // run() has returned
    self->arm_client_timeout();
    if (self->client_.use().closing || self->client_.transfer)
        self->client_.notify();
}

asio::awaitable<void> Session::wait_flushed() {
    while (writing_ && !disconnected_)
        co_await flushed_signal_.take();
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
