#include "net/lists/list_server.hpp"

#include "core/log.hpp"
#include "net/lists/codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net::lists {

namespace dist = marblewood::distribution;

namespace {

constexpr std::size_t kMostCall = 8192;        // bytes
constexpr Micros kIdle = 75'000'000;           // us for a caller to begin its next call
constexpr Micros kWholeCallWithin = 5'000'000; // us for a call that has begun to come whole
constexpr Micros kReadWithin = 10'000'000;     // us for a caller to read its answer
constexpr Micros kRetryAccept = 10'000;        // us before the next accept after a failed one
// us for which a call for the whole list is kept waiting for the byte budget before it is turned away.
constexpr Micros kWholeWait = 1'000'000;
constexpr Micros kSecond = 1'000'000;

std::string respond(int status, const char *reason, const std::string &body) {
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n\r\n{}", status, reason, body.size(), body);
}

std::string respond(const dist::Answer &answer) {
    if (answer.kind == dist::Answer::Kind::Behind)
        return respond(503, "Service Unavailable", "no list as new as that one\n");
    return respond(200, "OK", spell(answer.delta));
}

} // namespace

ListServer::ListServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
                       dist::DeliveryLimits limits, std::size_t most_removed, std::size_t most_callers)
    : io_(io), deadlines_(deadlines),
      acceptor_(std::move(acceptor)), served_{Served(limits, most_removed, deadlines.clock.now()),
                                              Served(limits, most_removed, deadlines.clock.now())},
      most_callers_(most_callers) {
    asio::co_spawn(io_, accept(), asio::detached);
}

dist::Taken ListServer::take(Channel channel, const dist::Update &update) {
    Served &served = served_[static_cast<std::size_t>(channel)];
    const dist::Taken taken = served.log.take(update);
    if (taken == dist::Taken::Older)
        return taken;
    if (channel == Channel::Documents)
        reports_.published(update.revision, deadlines_.clock.now());
    served.delivery.published();
    deliver();
    return taken;
}

void ListServer::take_report(const Report &report) {
    const Micros now = deadlines_.clock.now();
    if (report.caller.empty())
        return;
    if (report.subtree)
        reports_.report(report.caller, *report.subtree, now);
    else if (report.applied)
        reports_.report(report.caller, *report.applied, now);
}

void ListServer::deliver() {
    const Micros now = deadlines_.clock.now();
    std::optional<Micros> next;
    for (std::size_t channel = 0; channel < kChannels; ++channel) {
        dist::Delivery &delivery = served_[channel].delivery;
        for (const dist::Answer &answer : delivery.due(now))
            by_id_[channel].at(answer.caller)->answers.put(respond(answer));
        if (const auto own = delivery.next(now))
            next = std::min(*own, next.value_or(*own));
    }
    next_.reset();
    if (next)
        next_ = deadlines_.at(*next, [this] { deliver(); });
}

asio::awaitable<void> ListServer::accept() {
    asio::steady_timer rest(io_);
    while (acceptor_.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(io_);
        error = co_await accept_next(acceptor_, socket);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            core::log("list server: {}", error.message());
            rest.expires_after(std::chrono::microseconds(kRetryAccept));
            co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (callers_.size() >= most_callers_) {
            ++figures_.turned_away;
            continue;
        }
        ++figures_.accepted;
        socket.set_option(tcp::no_delay(true), error);
        const auto caller = callers_.emplace(callers_.end(), std::move(socket));
        for (std::size_t channel = 0; channel < kChannels; ++channel) {
            caller->ids[channel] = served_[channel].delivery.connect(deadlines_.clock.now());
            by_id_[channel][caller->ids[channel]] = &*caller;
        }
        asio::co_spawn(io_, serve(caller), asio::detached);
    }
}

asio::awaitable<void> ListServer::serve(CallerAt caller) {
    std::string in;
    while (co_await serve_call(*caller, in)) {}
    for (std::size_t channel = 0; channel < kChannels; ++channel) {
        served_[channel].delivery.disconnect(caller->ids[channel]);
        by_id_[channel].erase(caller->ids[channel]);
    }
    callers_.erase(caller);
    deliver(); // a whole list that did not arrive gives way to the next one
}

// False: the connection has ended or is of no more use.
asio::awaitable<bool> ListServer::serve_call(Caller &caller, std::string &in) {
    std::optional<Call> call;
    try {
        const auto request = co_await receive(caller, in);
        if (!request)
            co_return false;
        if (request->method == "GET")
            call = read_call(request->target);
    } catch (const std::runtime_error &) {
        ++figures_.malformed;
    }
    if (!call) {
        co_await send(caller, respond(400, "Bad Request", ""));
        co_return false;
    }
    take_report(call->report);
    const auto channel = static_cast<std::size_t>(call->channel);
    dist::Delivery &delivery = served_[channel].delivery;
    const Micros wait = call->since ? call->wait : kWholeWait;
    delivery.ask(caller.ids[channel], call->since, deadlines_.clock.now() + wait);
    deliver();
    std::string answer = co_await caller.answers.take();
    const bool sent = co_await send(caller, std::move(answer));
    delivery.whole_written(caller.ids[channel]);
    deliver();
    co_return sent;
}

asio::awaitable<std::optional<http::Request>> ListServer::receive(Caller &caller, std::string &in) {
    const auto close = [&caller] {
        boost::system::error_code ignored;
        caller.socket.close(ignored);
    };
    auto limit = deadlines_.in(in.empty() ? kIdle : kWholeCallWithin, close);
    for (;;) {
        if (auto request = http::read_request(in)) {
            figures_.received_bytes += request->wire_bytes;
            in.erase(0, request->wire_bytes);
            co_return request;
        }
        if (in.size() > kMostCall)
            throw std::runtime_error("call too long");
        const bool first = in.empty();
        if (co_await read_more(caller.socket, in, kMostCall))
            co_return std::nullopt;
        if (first)
            limit = deadlines_.in(kWholeCallWithin, close);
    }
}

asio::awaitable<bool> ListServer::send(Caller &caller, std::string text) {
    boost::system::error_code error;
    const auto limit = deadlines_.in(kReadWithin, [&caller] {
        boost::system::error_code ignored;
        caller.socket.close(ignored);
    });
    count_sent(text.size());
    co_await write_all(caller.socket, text, error);
    co_return !error;
}

void ListServer::count_sent(std::size_t bytes) {
    figures_.sent_bytes += bytes;
    const Micros second = deadlines_.clock.now() / kSecond;
    if (second != std::exchange(second_, second))
        second_bytes_ = 0;
    second_bytes_ += bytes;
    figures_.peak_second_bytes = std::max(figures_.peak_second_bytes, second_bytes_);
}

} // namespace marblewood::net::lists
