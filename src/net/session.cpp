#include "net/session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net {
namespace {

constexpr std::size_t kMostOwed = 256;      // requests of one connection worked at once
constexpr Micros kWholeWithin = 10'000'000; // us for a begun message to come whole
constexpr Micros kReadWithin = 10'000'000;  // us for a client to read what it is sent
constexpr Micros kLinger = 200'000;         // us for a client to see the end of a connection

} // namespace

asio::awaitable<void> Session::run() {
    client_.nudge = [this] {
        boost::system::error_code ignored;
        if (client_.idle()) client_.socket.cancel(ignored);
    };
    while (!over_) {
        boost::system::error_code error;
        std::size_t got = 0;
        if (client_.closing) { // between requests: only what has come already is still taken
            client_.socket.non_blocking(true, error);
            while (!over_ && (got = client_.socket.read_some(asio::buffer(chunk_), error)) > 0) {
                received(got);
                took();
            }
            if (over_ || client_.idle()) break;
        }
        {
            core::Deadlines::Entry whole; // a silent peer is not waited for
            if (client_.partial) whole = deadlines_.at(since_ + kWholeWithin, [this] { client_.close(); });
            got = co_await client_.socket.async_read_some(asio::buffer(chunk_),
                                                          asio::redirect_error(asio::use_awaitable, error));
        }
        if (error == asio::error::operation_aborted && client_.closing && client_.socket.is_open()) continue;
        if (error) {
            gone_ = true;
            left();
            break;
        }
        received(got);
        took();
        while (client_.owed >= kMostOwed && !over_ && !gone_) co_await wake_.take();
    }
    co_await end();
    client_.nudge = nullptr;
}

void Session::received(std::size_t got) {
    client_.used = deadlines_.clock.now();
    if (in_.empty()) since_ = client_.used;
    in_.append(chunk_, got);
}
void Session::took() {
    take_all();
    client_.partial = !in_.empty() && !over_;
}

void Session::send(std::string bytes, std::size_t answers) {
    out_ += bytes;
    out_answers_ += answers;
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
        if (error) self->client_.close(); // the reader sees it, and tells that the client has gone
        self->wake_.put(true);
    }
    self->writing_ = false;
    self->wake_.put(true);
    if (self->client_.closing && self->client_.nudge) self->client_.nudge();
}

// All that was asked is answered, then the client sees the end. What it wrote meanwhile was not read.
asio::awaitable<void> Session::end() {
    while (writing_ || (!gone_ && client_.owed > 0)) co_await wake_.take();
    if (gone_) co_return;
    boost::system::error_code error;
    client_.socket.shutdown(tcp::socket::shutdown_send, error);
    const auto limit = deadlines_.in(kLinger, [this] { client_.close(); });
    while (!error)
        co_await client_.socket.async_read_some(asio::buffer(chunk_),
                                                asio::redirect_error(asio::use_awaitable, error));
}

} // namespace marblewood::net
