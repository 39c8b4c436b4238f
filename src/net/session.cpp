#include "net/session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net {
namespace {

constexpr std::size_t kMostOwed = 256;     // requests of one connection worked at once
constexpr std::size_t kFreeRein = 4096;    // bytes of a begun message that are kept even when memory is short
constexpr Micros kWholeWithin = 2'500'000; // us for a begun message to come whole: honest ones take up to 2 s
constexpr Micros kAskWithin = 2'000'000;   // us for a new client to ask for something
constexpr Micros kRest = 50'000;           // us for which one that sent what is of no use is not read
constexpr Micros kReadWithin = 10'000'000; // us for a client to read what it is sent
constexpr Micros kLinger = 200'000;        // us for a client to see the end of a connection
constexpr std::size_t kMostPassed = 48 * 1024; // bytes of a begun message that another process goes on with
constexpr int kDiscarded = 8;                  // reads of what it still sends then

} // namespace

asio::awaitable<void> Session::run() {
    client_.nudge = [this] {
        boost::system::error_code ignored;
        if (client_.owed == 0 || over_) client_.socket.cancel(ignored);
    };
    if (!client_.early.bytes.empty()) { // read by the process that had this client before
        in_ = std::exchange(client_.early.bytes, {});
        since_ = client_.early.since;
        took(false);
    }
    while (!over_) {
        boost::system::error_code error;
        if (client_.pass && hand_over()) break;
        if (client_.closing) { // between requests: only what has come already is still taken
            for (std::size_t before = ~0ul; !over_ && !error && in_.size() != before;) {
                const bool fresh = !begun();
                before = in_.size();
                error = read_now(client_.socket, in_);
                if (in_.size() != before) took(fresh), before = ~0ul;
            }
            if (over_ || client_.idle()) break;
        }
        mind();
        const bool fresh = !begun();
        error = co_await read_more(client_.socket, in_);
        if (error == asio::error::operation_aborted && client_.socket.is_open()) continue; // nudged
        if (error) {
            gone_ = true;
            left();
            break;
        }
        took(fresh);
        if (wrong_) co_await rest();
        while (client_.owed >= kMostOwed && !over_ && !gone_) co_await wake_.take();
    }
    over_ = true;
    patience_.reset();
    co_await end();
    client_.nudge = nullptr;
}

bool Session::hand_over() {
    if (client_.owed > 0 || writing_ || wrong_) return false;
    auto bytes = unfinished();
    if (!bytes || bytes->size() > kMostPassed) return false;
    boost::system::error_code error;
    Descriptor fd(client_.socket.release(error));
    gone_ = true; // from here
    if (!error) client_.pass({front(), client_.asked, since_, std::move(*bytes), std::move(fd)});
    return true;
}

void Session::took(bool fresh) {
    client_.used = deadlines_.clock.now();
    if (fresh) since_ = client_.used;
    take_all();
    if (in_.empty()) std::string().swap(in_); // its room, too
    // Many connections with a part of a message each must not add up to more than the machine has.
    if (begun() && !over_ && memory_.full() && held() > kFreeRein) stop_reading("no room for it");
    client_.partial = begun() && !over_;
    share_.set(held() + out_.size());
}

// What the client is given time for now. One that holds a connection and says nothing, or half of something,
// takes descriptors and memory from the others.
void Session::mind() {
    patience_.reset();
    const Micros idle = may_idle();
    if (over_) return;
    if (client_.partial)
        patience_ = deadlines_.at(since_ + kWholeWithin, [this] { stop_reading("it does not come whole"); });
    else if (client_.idle() && (!client_.asked || (idle > 0 && !client_.staying)))
        patience_ =
            deadlines_.at(client_.asked ? client_.used + idle : client_.accepted + kAskWithin, [this] {
                client_.closing = true;
                client_.nudge();
            });
}

void Session::stop_reading(const char *why) {
    spoilt(why);
    over_ = true;
    client_.partial = false;
    client_.nudge();
}

// A client that sends what is of no use, and again as soon as it is told so, is not let take the time of all.
asio::awaitable<void> Session::rest() {
    wrong_ = false;
    bool over = false;
    const auto entry = deadlines_.in(kRest, [&] {
        over = true;
        wake();
    });
    while (!over) co_await wake_.take();
}

void Session::send(std::string bytes, std::size_t answers) {
    out_ += bytes;
    out_answers_ += answers;
    share_.set(held() + out_.size());
    if (writing_ || gone_) return;
    writing_ = true;
    asio::co_spawn(client_.socket.get_executor(), write(shared_from_this()), asio::detached);
}

asio::awaitable<void> Session::write(std::shared_ptr<Session> self) {
    while (!self->gone_ && !self->out_.empty()) {
        const std::string out = std::exchange(self->out_, {});
        const std::size_t answers = std::exchange(self->out_answers_, 0);
        boost::system::error_code error;
        const auto limit = self->deadlines_.in(kReadWithin, [&client = self->client_] { client.close(); });
        co_await asio::async_write(self->client_.socket, asio::buffer(out),
                                   asio::redirect_error(asio::use_awaitable, error));
        self->client_.owed -= answers;
        self->client_.used = self->deadlines_.clock.now();
        self->share_.set(self->held() + self->out_.size());
        if (error) self->client_.close(); // the reader sees it, and tells that the client has gone
        self->wake();
    }
    self->writing_ = false;
    self->wake();
    if (self->flow_.empty()) self->flow_.put(true);
    if (!self->client_.nudge) co_return; // it has ended
    self->mind();
    if (self->client_.closing || self->client_.pass) self->client_.nudge();
}

asio::awaitable<void> Session::flushed() {
    while (writing_ && !gone_) co_await flow_.take();
}

// All that was asked is answered, then the client sees the end. What it wrote meanwhile was not read; a
// little of it is now, so that a reset does not take the last answer from it.
asio::awaitable<void> Session::end() {
    while (writing_ || (!gone_ && client_.owed > 0)) co_await wake_.take();
    if (gone_) co_return;
    boost::system::error_code error;
    client_.socket.shutdown(tcp::socket::shutdown_send, error);
    const auto limit = deadlines_.in(kLinger, [this] {
        client_.close();
        wake();
    });
    std::string discarded;
    for (int n = 0; n < kDiscarded && !error; ++n, discarded.clear())
        error = co_await read_more(client_.socket, discarded);
    while (!error && client_.socket.is_open()) co_await wake_.take();
}

} // namespace marblewood::net
