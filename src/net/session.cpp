#include "net/session.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <poll.h>

namespace marblewood::net {
namespace {

constexpr std::size_t kMostOwed = 256;     // requests of one connection worked at once
constexpr std::size_t kFreeRein = 4096;    // bytes of a begun message that are kept even when memory is short
constexpr Micros kWholeWithin = 2'500'000; // us for a begun message to come whole: honest ones take up to 2 s
constexpr Micros kAskWithin = 2'000'000;   // us for a new client to ask for something
constexpr Micros kRest = 50'000;           // us for which one that sent what is of no use is not read
constexpr Micros kReadWithin = 10'000'000; // us for a client to read what it is sent
constexpr Micros kLinger = 200'000;        // us for a client to see the end of a connection
constexpr std::size_t kMostPassed =
    std::size_t{48} * 1024;          // bytes of a begun message that another process goes on with
constexpr int kReadsAtOnce = 8;      // of a connection that is being closed, before others' turn
constexpr int kDropped = 8;          // reads, of what it still sends then, after which there is
constexpr Micros kDropRest = 10'000; // a rest of so many us: whoever floods does not take the time of all
constexpr std::size_t kReadAhead =
    std::size_t{64} * 1024; // bytes that a crowded connection is read ahead, to see its end
constexpr Micros kUnbounded = INT64_MAX;
constexpr Micros kLook = 50'000; // us between looks at one on which more than that has come

} // namespace

asio::awaitable<void> Session::run() {
    client_.notify = [this] {
        arm_closing_timers();
        if (over_)
            wake();
        else if (client_.use().owed == 0)
            interrupt_read();
    };
    heard_ = client_.early.asked; // by the process that had this client before
    arm_closing_timers();
    if (!client_.early.bytes.empty()) { // read by the process that had this client before
        in_ = std::exchange(client_.early.bytes, {});
        since_ = client_.early.since;
        handle_received(false);
    }
    while (!over_) {
        if (client_.use().closing && deadlines_.clock.now() >= client_.closing.end_by)
            closing_due();
        if (unread_ && !crowded()) {
            unread_ = false;
            handle_received(true);
            continue;
        }
        boost::system::error_code error;
        if (client_.pass && hand_over())
            break;
        if (client_.use().closing && end_between_requests())
            break;
        arm_patience();
        if (unread_ && (in_.size() >= kReadAhead || memory_.is_exhausted())) {
            co_await rest(kLook, true);
            if (!hung_up())
                continue;
            client_gone();
            break;
        }
        const bool fresh = !begun();
        error = co_await readable();
        if (error == asio::error::operation_aborted && client_.socket.is_open())
            continue;
        if (!error)
            error = read_available(client_.socket, in_);
        if (error) {
            client_gone();
            break;
        }
        unread_ = crowded();
        if (unread_)
            share_.resize(held() + out_.size());
        else
            handle_received(fresh);
        if (wrong_) {
            wrong_ = false;
            co_await rest(kRest);
            if (hung_up()) {
                client_gone();
                break;
            }
        }
    }
    over_ = true;
    patience_.reset();
    // Nothing is owed to a client that has said nothing: what crosses this is not read, and comes again.
    if (!heard_ && client_.use().closing)
        client_.close(CloseReason::ClientDisconnected);
    co_await end();
    closing_.reset();
    awaited_.reset();
    flush_.reset();
    client_.notify = nullptr;
}

// Told to end, a connection ends between requests, if there is such a moment in time. Takes what has come, a
// bounded part at once, and ends the connection where nothing has; true: it is over.
bool Session::end_between_requests() {
    for (int n = 0; n < kReadsAtOnce && !crowded(); ++n) {
        if (shut_down_if_quiet())
            return true;
        const bool fresh = !begun();
        const std::size_t before = in_.size();
        const auto error = read_available(client_.socket, in_);
        const bool came = in_.size() != before;
        if (came)
            handle_received(fresh);
        if (over_)
            return true;
        if (error || !came)
            return false;
    }
    return false;
}

// The one place where a connection that was told to end does so. It looks for bytes and shuts the sending
// side in two calls without a turn of the loop between them: a request that has come before is read and
// answered, and one that comes later finds the end on its way to its client.
bool Session::shut_down_if_quiet() {
    const ConnectionUse &use = client_.use();
    if (over_ || gone_ || !use.closing || use.owed > 0)
        return false;
    if (parsing_ || unread_ || unwritten_ || !out_.empty() || !may_end())
        return false;
    if (deadlines_.clock.now() < awaits_until())
        return false;
    if (!is_open_and_silent(client_.socket))
        return false;
    boost::system::error_code ignored;
    client_.socket.shutdown(tcp::socket::shutdown_send, ignored);
    client_.mark_ending();
    shut_down_ = over_ = true;
    return true;
}

void Session::arm_closing_timers() {
    if (!client_.use().closing)
        return;
    if (!client_.closing.withdrawn)
        closing_ = deadlines_.at(client_.closing.end_by, [this] { closing_due(); });
    if (const Micros until = awaits_until(); until != kUnbounded)
        awaited_ = deadlines_.at(until, [this] { interrupt_read(); });
}

// Until when bytes may be on their way for which the end waits: the rest of a burst on a new connection, the
// first bytes of a client that has just connected, or the rest of a request, for which there is little time
// once requests are withdrawn.
Micros Session::awaits_until() const {
    const Closing &closing = client_.closing;
    const Micros burst = client_.use().accepted + Closing::kBurstWithin;
    if (!heard_)
        return std::max(burst, closing.first_until);
    if (!client_.use().partial)
        return burst;
    return closing.withdrawn ? std::max(burst, closing.rest_until) : kUnbounded;
}

// The connection's time is over. A request that was taken long before may keep it, but nothing newer: answers
// come in order, so that what stands before the newer has to be answered, too.
void Session::closing_due() {
    Closing &closing = client_.closing;
    const bool newer = newer_ || unread_ || client_.use().partial;
    if (closing.withdrawn || (!newer && !closing.lone_requests))
        return;
    closing.withdrawn = true;
    closing.rest_until = deadlines_.clock.now() + Closing::kRestWithin;
    arm_closing_timers();
    flush_ = deadlines_.in(Closing::kFlushWithin, [this] {
        if (!passing_on())
            client_.close(CloseReason::NotReading);
    });
    if (client_.use().owed > 0)
        core::log("client {}: {} open requests are withdrawn ({})", client_.id, client_.use().owed,
                  name(*client_.reason));
    answer_now();
    interrupt_read();
    wake();
}

bool Session::crowded() const {
    return client_.use().owed >= kMostOwed;
}

// Whoever waits for an answer and goes is seen here: nothing more is done for it.
void Session::client_gone() {
    if (std::exchange(gone_, true))
        return;
    client_.note(CloseReason::ClientDisconnected);
    left();
}

bool Session::hung_up() const {
    pollfd end{client_.socket.native_handle(), POLLRDHUP, 0};
    return !client_.socket.is_open() ||
           (::poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0);
}

asio::awaitable<boost::system::error_code> Session::readable() {
    boost::system::error_code error;
    co_await client_.socket.async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(read_interrupted_.slot(),
                                     asio::redirect_error(asio::use_awaitable, error)));
    co_return error;
}

bool Session::hand_over() {
    if (client_.use().owed > 0 || writing_ || wrong_)
        return false;
    auto bytes = unfinished();
    if (!bytes || bytes->size() > kMostPassed)
        return false;
    boost::system::error_code error;
    Descriptor fd(client_.socket.release(error));
    gone_ = true; // from here
    client_.note(CloseReason::HandedOver);
    if (!error)
        client_.pass({front(), client_.use().asked, since_, std::move(*bytes), std::move(fd)});
    return true;
}

void Session::handle_received(bool fresh) {
    client_.received(deadlines_.clock.now());
    heard_ = true;
    if (client_.refuses(client_.use().used))
        newer_ = true;
    if (fresh)
        since_ = client_.use().used;
    parsing_ = true;
    take_all(); // may answer, and write the answers, before all of it is parsed
    parsing_ = false;
    if (in_.empty())
        std::string().swap(in_); // its room, too
    // Many connections with a part of a message each must not add up to more than the machine has.
    if (begun() && !over_ && memory_.is_exhausted() && held() > kFreeRein)
        stop_reading(CloseReason::Incomplete, "no room for it");
    client_.set_partial(begun() && !over_);
    share_.resize(held() + out_.size());
}

// What the client is given time for now. One that holds a connection and says nothing, or half of something,
// takes descriptors and memory from the others.
void Session::arm_patience() {
    patience_.reset();
    const Micros idle = may_idle();
    if (over_)
        return;
    const ConnectionUse &use = client_.use();
    if (use.partial)
        patience_ = deadlines_.at(since_ + kWholeWithin, [this] {
            stop_reading(CloseReason::Incomplete, "it does not come whole");
        });
    else if (use.idle() && (!use.asked || (idle > 0 && !client_.staying)))
        patience_ = deadlines_.at(use.asked ? use.used + idle : use.accepted + kAskWithin, [this, &use] {
            client_.begin_closing(use.asked ? CloseReason::Idle : CloseReason::SilentClient,
                                  deadlines_.clock.now());
        });
}

void Session::stop_reading(CloseReason reason, const char *why) {
    client_.note(reason);
    spoilt(why);
    over_ = true;
    client_.set_partial(false);
    client_.notify();
}

// A client that sends what is of no use, and again as soon as it is told so, is not let take the time of all.
asio::awaitable<void> Session::rest(Micros length, bool until_room) {
    bool over = false;
    const auto entry = deadlines_.in(length, [&] {
        over = true;
        wake();
    });
    while (!over && !(until_room && !crowded()))
        co_await wake_.take();
}

void Session::send(std::string_view bytes, std::size_t answers) {
    out_ += bytes;
    out_answers_ += answers;
    share_.resize(held() + out_.size());
    if (writing_ || gone_)
        return;
    writing_ = client_.writing = true;
    asio::co_spawn(client_.socket.get_executor(), write(shared_from_this()), asio::detached);
}

asio::awaitable<void> Session::write(std::shared_ptr<Session> self) {
    while (!self->gone_ && !self->out_.empty()) {
        const std::string out = std::exchange(self->out_, {});
        const std::size_t answers = std::exchange(self->out_answers_, 0);
        boost::system::error_code error;
        const auto limit = self->deadlines_.in(
            kReadWithin, [&client = self->client_] { client.close(CloseReason::NotReading); });
        self->unwritten_ = true;
        co_await write_without_yield(self->client_.socket, out, error);
        self->unwritten_ = false;
        self->client_.settle_answers(answers);
        self->client_.received(self->deadlines_.clock.now());
        self->share_.resize(self->held() + self->out_.size());
        // The reader sees it, and tells that the client has gone.
        if (error)
            self->client_.close(CloseReason::ClientDisconnected);
        // At once: a client that goes on sending has its answer now, and its next request soon.
        if (!error && !self->client_.pass)
            self->shut_down_if_quiet();
        co_await asio::post(self->client_.socket.get_executor(), asio::use_awaitable); // others' turn
        self->wake();
    }
    self->writing_ = self->client_.writing = false;
    self->wake();
    if (self->flow_.empty())
        self->flow_.put(true);
    if (!self->client_.notify)
        co_return; // it has ended
    self->arm_patience();
    if (self->client_.use().closing || self->client_.pass)
        self->client_.notify();
}

asio::awaitable<void> Session::flushed() {
    while (writing_ && !gone_)
        co_await flow_.take();
}

// All that was asked is answered, then the client sees the end. What it wrote meanwhile is read and dropped,
// so that its leaving is seen, and a reset does not take the last answer from it. Before the sending side is
// shut that is what stands behind QUIT or a malformed message.
asio::awaitable<void> Session::end() {
    std::string dropped;
    for (int n = 1; !gone_ && !shut_down_ && (writing_ || client_.use().owed > 0); ++n, dropped.clear()) {
        boost::system::error_code error = co_await readable();
        if (error == asio::error::operation_aborted && client_.socket.is_open())
            continue;
        if (!error)
            error = read_available(client_.socket, dropped);
        client_.dropped_before_shutdown += dropped.size();
        if (error || hung_up())
            client_gone();
        else if (n % kDropped == 0)
            co_await rest(kDropRest);
    }
    if (gone_)
        client_.close(CloseReason::ClientDisconnected); // what is still being written has no reader
    while (writing_)
        co_await wake_.take();
    if (gone_)
        co_return;
    boost::system::error_code error;
    if (!client_.use().partial)
        client_.dropped_before_shutdown += in_.size(); // read, and never parsed
    if (!shut_down_) {
        client_.dropped_before_shutdown += client_.unread_bytes();
        client_.socket.shutdown(tcp::socket::shutdown_send, error);
        client_.mark_ending();
    }
    const auto limit = deadlines_.in(kLinger, [this] {
        client_.close(CloseReason::ClientDisconnected);
        wake();
    });
    for (int n = 0; n < kDropped && !error; ++n, dropped.clear()) {
        error = co_await read_more(client_.socket, dropped);
        client_.dropped_after_shutdown += dropped.size();
    }
    while (!error && client_.socket.is_open())
        co_await wake_.take();
}

} // namespace marblewood::net
