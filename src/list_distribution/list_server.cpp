#include "list_distribution/list_server.hpp"

#include "core/log.hpp"
#include "list_distribution/list_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::list_distribution {
namespace {

constexpr std::size_t kMaxCallBytes = 8192;
constexpr Micros kIdleTimeout = 75'000'000;     ///< until a caller begins its next call
constexpr Micros kCallTimeout = 5'000'000;      ///< until a call that has begun is received completely
constexpr Micros kResponseTimeout = 10'000'000; ///< until a caller has read its response
/// How long a call for the complete list waits for the byte budget before it is rejected.
constexpr Micros kCompleteListWait = 1'000'000;
constexpr Micros kSecond = 1'000'000;
/// The pause after a failed accept.
constexpr auto kAcceptRetryPause = std::chrono::microseconds(10'000);

std::string respond(int status, const char *reason, const std::string &body) {
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n\r\n{}", status, reason, body.size(), body);
}

std::string respond(const distribution::Answer &answer) {
    if (answer.kind == distribution::Answer::Kind::Behind)
        return respond(503, "Service Unavailable", "no list as new as that one\n");
    return respond(200, "OK", encode(answer.delta));
}

} // namespace

void ListServer::Caller::close() {
    boost::system::error_code ignored;
    socket.close(ignored);
}

ListServer::ListServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
                       const ListServerLimits &limits)
    : io_(io), deadlines_(deadlines),
      acceptor_(std::move(acceptor)), channels_{ServedChannel(limits, deadlines.clock.now()),
                                                ServedChannel(limits, deadlines.clock.now())},
      max_callers_(limits.callers) {
    asio::co_spawn(io_, accept(), asio::detached);
}

distribution::UpdateResult ListServer::publish(Channel channel, const distribution::Update &update) {
    ServedChannel &served = channels_[static_cast<std::size_t>(channel)];
    const distribution::UpdateResult result = served.log.apply(update);
    if (result == distribution::UpdateResult::Stale)
        return result;
    if (channel == Channel::Documents)
        reports_.record_published(update.revision, deadlines_.clock.now());
    served.delivery.on_log_changed();
    deliver();
    return result;
}

void ListServer::record_report(const Report &report) {
    const Micros now = deadlines_.clock.now();
    if (report.caller.empty())
        return;
    if (report.subtree)
        reports_.report(report.caller, *report.subtree, now);
    else if (report.applied)
        reports_.report(report.caller, *report.applied, now);
}

// Passes on the responses that are due, and sets the timer for the next ones.
void ListServer::deliver() {
    const Micros now = deadlines_.clock.now();
    std::optional<Micros> next;
    for (std::size_t channel = 0; channel < kChannelCount; ++channel) {
        distribution::Delivery &delivery = channels_[channel].delivery;
        for (const distribution::Answer &answer : delivery.answer_due_calls(now))
            callers_by_id_[channel].at(answer.caller)->responses.put(respond(answer));
        if (const auto due = delivery.next_due_at(now))
            next = std::min(*due, next.value_or(*due));
    }
    next_delivery_.reset();
    if (next)
        next_delivery_ = deadlines_.at(*next, [this] { deliver(); });
}

asio::awaitable<void> ListServer::accept() {
    while (acceptor_.is_open()) {
        tcp::socket socket(io_);
        const boost::system::error_code error = co_await net::accept_next(acceptor_, socket);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            core::log("list_server_accept_failed reason=\"{}\"", error.message());
            co_await pause_after_failed_accept();
        } else if (callers_.size() >= max_callers_) {
            ++metrics_.rejected;
        } else {
            add_caller(std::move(socket));
        }
    }
}

asio::awaitable<void> ListServer::pause_after_failed_accept() {
    asio::steady_timer timer(io_, kAcceptRetryPause);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void ListServer::add_caller(tcp::socket socket) {
    ++metrics_.accepted;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto caller = callers_.emplace(callers_.end(), std::move(socket));
    for (std::size_t channel = 0; channel < kChannelCount; ++channel) {
        caller->ids[channel] = channels_[channel].delivery.connect(deadlines_.clock.now());
        callers_by_id_[channel][caller->ids[channel]] = &*caller;
    }
    asio::co_spawn(io_, serve(caller), asio::detached);
}

void ListServer::remove_caller(CallerIterator caller) {
    for (std::size_t channel = 0; channel < kChannelCount; ++channel) {
        channels_[channel].delivery.disconnect(caller->ids[channel]);
        callers_by_id_[channel].erase(caller->ids[channel]);
    }
    callers_.erase(caller);
    deliver(); // the next complete list may be sent if this caller was receiving one
}

asio::awaitable<void> ListServer::serve(CallerIterator caller) {
    std::string received;
    bool open = true;
    while (open)
        open = co_await serve_call(*caller, received);
    remove_caller(caller);
}

// Returns false if the connection was closed or must be closed.
asio::awaitable<bool> ListServer::serve_call(Caller &caller, std::string &received) {
    std::optional<ListCall> call;
    try {
        const auto request = co_await receive(caller, received);
        if (!request)
            co_return false;
        if (request->method == "GET")
            call = parse_call(request->target);
    } catch (const std::runtime_error &) {
        ++metrics_.malformed;
    }
    if (!call) {
        co_await send(caller, respond(400, "Bad Request", ""));
        co_return false;
    }
    record_report(call->report);
    co_return co_await serve_list(caller, *call);
}

asio::awaitable<bool> ListServer::serve_list(Caller &caller, const ListCall &call) {
    const auto channel = static_cast<std::size_t>(call.channel);
    const distribution::CallerId id = caller.ids[channel];
    distribution::Delivery &delivery = channels_[channel].delivery;
    const Micros wait = call.since ? call.wait : kCompleteListWait;
    delivery.start_call(id, call.since, deadlines_.clock.now() + wait);
    deliver();
    std::string response = co_await caller.responses.take();
    const bool sent = co_await send(caller, std::move(response));
    delivery.complete_list_written(id);
    deliver();
    co_return sent;
}

// Empty if the connection was closed. Throws std::runtime_error if the call is malformed or too long.
asio::awaitable<std::optional<net::http::Request>> ListServer::receive(Caller &caller,
                                                                       std::string &received) {
    const auto close = [&caller] { caller.close(); };
    auto timeout = deadlines_.in(received.empty() ? kIdleTimeout : kCallTimeout, close);
    for (;;) {
        if (auto request = net::http::read_request(received)) {
            metrics_.received_bytes += request->wire_bytes;
            received.erase(0, request->wire_bytes);
            co_return request;
        }
        if (received.size() > kMaxCallBytes)
            throw std::runtime_error("call too long");
        const bool first_bytes = received.empty();
        if (co_await net::read_more(caller.socket, received, kMaxCallBytes))
            co_return std::nullopt;
        if (first_bytes)
            timeout = deadlines_.in(kCallTimeout, close);
    }
}

asio::awaitable<bool> ListServer::send(Caller &caller, std::string response) {
    const auto timeout = deadlines_.in(kResponseTimeout, [&caller] { caller.close(); });
    count_sent(response.size());
    boost::system::error_code error;
    co_await net::write_all(caller.socket, response, error);
    co_return !error;
}

void ListServer::count_sent(std::size_t bytes) {
    metrics_.sent_bytes += bytes;
    const Micros second = deadlines_.clock.now() / kSecond;
    if (second != current_second_)
        current_second_bytes_ = 0;
    current_second_ = second;
    current_second_bytes_ += bytes;
    metrics_.peak_second_bytes = std::max(metrics_.peak_second_bytes, current_second_bytes_);
}

} // namespace marblewood::list_distribution
