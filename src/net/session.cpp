#include "net/session.hpp"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <poll.h>

namespace marblewood::net {
namespace {

constexpr std::size_t kMaxOpenRequests = 256;              // of one connection
constexpr std::size_t kReadBytes = std::size_t{16} * 1024; // of one connection at a time
constexpr std::size_t kMaxSpareInputBytes = 1024;          // allocated for input and not used
constexpr std::size_t kReadBytesWhenShort = std::size_t{2} * 1024;
constexpr std::size_t kAlwaysKeptBytes = 8192; // of a partial message, even when memory is short
constexpr Micros kMessageTimeout = 2'500'000;  // from first to last byte; well-behaved clients take up to 2 s
constexpr Micros kFirstRequestTimeout = 2'000'000; // from the accept
constexpr Micros kInvalidInputPause = 50'000;      // before the client of an invalid command is read again
constexpr std::size_t kMaxTransferredBytes =
    std::size_t{48} * 1024; // of a partial message handed over to another process
constexpr std::size_t kMaxReadAheadBytes =
    std::size_t{16} * 1024;                     // of a connection at its limit, so that its end is noticed
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
        abandon_message_without_room();
        if (reading_finished_)
            break;
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

bool Session::at_limit() const {
    const std::size_t open = client_.use().open_requests;
    return is_output_full() ||
           (open >= kMaxOpenRequests && open - requests_awaiting_input() >= kMaxOpenRequests);
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

// What is kept of a message even when memory is short may be read at once, so that a small request takes one
// turn.
std::size_t Session::max_read_bytes() const {
    if (!memory_.is_short())
        return kReadBytes;
    const std::size_t kept = std::min(partial_message_bytes(), kAlwaysKeptBytes);
    return std::max(kReadBytesWhenShort, kAlwaysKeptBytes - kept);
}

// Appends the bytes that have arrived to `input_`.
boost::system::error_code Session::read_input() {
    const std::size_t before = input_.size();
    const boost::system::error_code error = read_available(client_.socket, input_, max_read_bytes());
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
    abandon_message_without_room();
    client_.set_partial(has_partial_message() && !reading_finished_);
    update_reservation();
}

// Bounds the memory that many connections with a partial message each take together.
void Session::abandon_message_without_room() {
    const bool may_be_large = has_partial_message() && !unparsed_input_ && !reading_finished_;
    if (may_be_large && memory_.is_exhausted() && partial_message_bytes() > kAlwaysKeptBytes)
        stop_reading(CloseReason::Incomplete, "no room for it");
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

} // namespace marblewood::net
