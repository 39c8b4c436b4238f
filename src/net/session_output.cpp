// The output of a session: what is queued and written, and what the client has acknowledged of it.
#include "net/session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::net {
namespace {

constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024; // of answers that a client has not read
constexpr std::size_t kMaxUnsentBytesWhenShort = std::size_t{2} * 1024; // when memory is short
constexpr Micros kDeliveryCheckInterval = 100'000;
constexpr Micros kDeliveryCheckIntervalWhenClosing = 10'000; // the end waits for the answers to be sent

} // namespace

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
    if (delivery_.on_unacknowledged(unacknowledged_bytes(client_.socket, send_shut_down_),
                                    has_untransmitted_bytes(client_.socket), now))
        client_.received(now);
    client_.set_delivery(delivery_.report(now));
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

bool Session::is_output_full() const {
    return delivery_.unsent_bytes() >= (memory_.is_short() ? kMaxUnsentBytesWhenShort : kMaxUnsentBytes);
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

} // namespace marblewood::net
