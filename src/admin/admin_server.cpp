#include "admin/admin_server.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::admin {
namespace {

/// Limit on connections; the socket budget keeps descriptors in reserve for them.
constexpr std::size_t kMaxCallers = 12;
constexpr std::size_t kMaxCallBytes = 8192;
/// Time limit for receiving a call. Executing it takes the caller no time.
constexpr Micros kCallTimeout = 2'000'000;
/// For how long a caller may take nothing of its reply.
constexpr Micros kReplyStallTimeout = 2'000'000;
constexpr Micros kDeliveryCheckInterval = 100'000;
/// Time for a caller to close the connection after its reply. If it were closed at once, data that the caller
/// still sends would cause a reset, and the caller could lose the reply.
constexpr Micros kLingerTimeout = 200'000;
/// Delay before the next accept after a failed one.
constexpr auto kAcceptRetryDelay = std::chrono::microseconds(10'000);

constexpr std::string_view kAdminPrefix = "/admin/";
constexpr std::string_view kCellsPath = "/admin/cells";
constexpr std::string_view kWherePrefix = "where/";

std::string respond(int status, const char *reason, const std::string &body, const char *header = "") {
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{}"
                       "Connection: close\r\n\r\n{}",
                       status, reason, body.size(), header, body);
}
std::string respond_error(int status, const char *reason) {
    return respond(status, reason, fmt::format("{}\n", reason));
}
std::string respond_ok() {
    return respond(200, "OK", "ok\n");
}
std::string respond_not_found() {
    return respond_error(404, "Not Found");
}

std::string trim(std::string text) {
    const char *const whitespace = " \t\r\n";
    text.erase(text.find_last_not_of(whitespace) + 1);
    text.erase(0, text.find_first_not_of(whitespace));
    return text;
}

enum class CallKind { Unknown, Read, Change };

template <std::size_t N> bool contains(const std::array<std::string_view, N> &names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

CallKind kind_of_call(std::string_view call) {
    static constexpr std::array<std::string_view, 2> kReads{"health", "stats"};
    static constexpr std::array<std::string_view, 4> kChanges{"cordon", "uncordon", "quiesce", "resume"};
    if (contains(kReads, call))
        return CallKind::Read;
    return contains(kChanges, call) ? CallKind::Change : CallKind::Unknown;
}

CallKind kind_of_cells_call(std::string_view call) {
    static constexpr std::array<std::string_view, 2> kReads{"list", "here"};
    static constexpr std::array<std::string_view, 7> kChanges{"move",     "pin",      "unpin",  "freeze",
                                                              "unfreeze", "evacuate", "restore"};
    if (contains(kReads, call) || call.starts_with(kWherePrefix))
        return CallKind::Read;
    return contains(kChanges, call) ? CallKind::Change : CallKind::Unknown;
}

/// The error response for an unknown call or a wrong method; empty if the call can be executed.
std::string reject(CallKind kind, const std::string &method) {
    if (kind == CallKind::Unknown)
        return respond_not_found();
    const bool read_only = kind == CallKind::Read;
    if (method == (read_only ? "GET" : "POST"))
        return "";
    return respond(405, "Method Not Allowed", "", read_only ? "Allow: GET\r\n" : "Allow: POST\r\n");
}

const char *reason_phrase(int status) {
    if (status == 200)
        return "OK";
    return status == 503 ? "Service Unavailable" : "Conflict";
}

} // namespace

void AdminServer::Caller::close() {
    boost::system::error_code ignored;
    socket.close(ignored);
}

AdminServer::AdminServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
                         Operations operations)
    : io_(io), deadlines_(deadlines), acceptor_(std::move(acceptor)), operations_(std::move(operations)) {
    asio::co_spawn(io_, accept(), asio::detached);
}

asio::awaitable<void> AdminServer::accept() {
    for (;;) {
        tcp::socket socket(io_);
        const boost::system::error_code error = co_await net::accept_next(acceptor_, socket);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            core::log("admin_accept_failed reason=\"{}\"", error.message());
            co_await wait_after_failed_accept();
            continue;
        }
        if (callers_.size() >= kMaxCallers)
            make_room();
        asio::co_spawn(io_, serve(callers_.emplace(callers_.end(), std::move(socket))), asio::detached);
    }
}

void AdminServer::make_room() {
    const auto waits_for_call = [](const Caller &caller) {
        return !caller.has_called && caller.socket.is_open();
    };
    const auto oldest_waiting = std::ranges::find_if(callers_, waits_for_call);
    (oldest_waiting != callers_.end() ? *oldest_waiting : callers_.front()).close();
}

asio::awaitable<void> AdminServer::wait_after_failed_accept() {
    asio::steady_timer timer(io_, kAcceptRetryDelay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> AdminServer::serve(CallerIterator caller) {
    close_after(*caller, kCallTimeout);
    const std::string response = co_await receive_and_execute(*caller);
    if (!response.empty()) {
        co_await write_reply(*caller, response);
        co_await drain(*caller);
    }
    caller->close();
    callers_.erase(caller);
}

asio::awaitable<void> AdminServer::write_reply(Caller &caller, const std::string &response) {
    caller.delivery.queue(response, 1, deadlines_.clock.now());
    watch_delivery(caller);
    const net::AnswerDelivery::Batch batch = caller.delivery.begin_batch();
    boost::system::error_code error;
    co_await net::write_without_yield(
        caller.socket, batch.bytes, error,
        [&delivery = caller.delivery](std::size_t bytes) { delivery.on_accepted(bytes); });
    caller.delivery.end_batch();
    caller.socket.shutdown(tcp::socket::shutdown_send, error);
    caller.shut_down_at = deadlines_.clock.now();
}

void AdminServer::watch_delivery(Caller &caller) {
    caller.timeout = deadlines_.in(kDeliveryCheckInterval, [this, &caller] {
        if (!caller.socket.is_open())
            return;
        const Micros now = deadlines_.clock.now();
        const bool shut_down = caller.shut_down_at != 0;
        caller.delivery.on_unacknowledged(net::unacknowledged_bytes(caller.socket, shut_down),
                                          net::has_untransmitted_bytes(caller.socket), now);
        const bool has_had_time = shut_down && now - caller.shut_down_at >= kLingerTimeout;
        const bool taken = caller.delivery.is_delivered() && has_had_time;
        if (taken || caller.delivery.is_stalled(now, kReplyStallTimeout))
            return caller.close();
        watch_delivery(caller);
    });
}

void AdminServer::close_after(Caller &caller, Micros timeout) {
    caller.timeout = deadlines_.in(timeout, [&caller] { caller.close(); });
}

// Returns the response, or an empty string if the caller closed the connection before its call was complete.
asio::awaitable<std::string> AdminServer::receive_and_execute(Caller &caller) {
    std::string received;
    std::string response;
    boost::system::error_code error;
    while (response.empty() && !error) {
        error = co_await net::read_more(caller.socket, received);
        try {
            if (auto request = net::http::read_request(received)) {
                caller.timeout.reset();
                caller.has_called = true;
                response = co_await execute(std::move(*request));
            } else if (received.size() > kMaxCallBytes)
                response = respond_error(413, "Content Too Large");
        } catch (const std::runtime_error &) {
            response = respond_error(400, "Bad Request");
        }
    }
    co_return response;
}

asio::awaitable<void> AdminServer::drain(Caller &caller) {
    std::string ignored;
    boost::system::error_code error;
    while (!error && ignored.size() < kMaxCallBytes)
        error = co_await net::read_more(caller.socket, ignored);
    if (!error)
        co_await caller.socket.async_wait(tcp::socket::wait_error,
                                          asio::redirect_error(asio::use_awaitable, error));
}

// Calls about cells may have to wait for the cell coordinator; all others are executed immediately.
asio::awaitable<std::string> AdminServer::execute(net::http::Request request) {
    const std::string &target = request.target;
    const bool is_cells_call = target.starts_with(kCellsPath) &&
                               (target.size() == kCellsPath.size() || target[kCellsPath.size()] == '/');
    if (is_cells_call && operations_.cells)
        co_return co_await execute_cells(std::move(request));
    co_return execute_local_call(request);
}

asio::awaitable<std::string> AdminServer::execute_cells(net::http::Request request) {
    const bool has_call_name = request.target.size() > kCellsPath.size();
    std::string call = has_call_name ? request.target.substr(kCellsPath.size() + 1) : "list";
    const CallKind kind = kind_of_cells_call(call);
    if (std::string rejection = reject(kind, request.method); !rejection.empty())
        co_return rejection;
    std::string argument = trim(request.body);
    if (call.starts_with(kWherePrefix)) {
        argument = call.substr(kWherePrefix.size());
        call = "where";
    }
    if (kind == CallKind::Change)
        core::log("admin_call call=cells/{} argument=\"{}\"", call, argument);
    const Reply reply = co_await operations_.cells(call, argument);
    co_return respond(reply.status, reason_phrase(reply.status), reply.text);
}

std::string AdminServer::execute_local_call(const net::http::Request &request) {
    if (!request.target.starts_with(kAdminPrefix))
        return respond_not_found();
    const std::string call = request.target.substr(kAdminPrefix.size());
    const CallKind kind = kind_of_call(call);
    if (std::string rejection = reject(kind, request.method); !rejection.empty())
        return rejection;
    if (kind == CallKind::Change)
        return execute_change(call, trim(request.body));
    return call == "health" ? respond_ok() : respond(200, "OK", operations_.stats());
}

std::string AdminServer::execute_change(const std::string &call, const std::string &argument) {
    if (!operations_.cordon)
        return respond_not_found();
    if (!operations_.accepts_changes())
        return respond_error(503, "Service Unavailable");
    core::log("admin_call call={} argument=\"{}\"", call, argument);
    if (call == "quiesce" || call == "resume") {
        operations_.quiesce(call == "quiesce");
        return respond_ok();
    }
    const bool known = call == "cordon" ? operations_.cordon(argument) : operations_.uncordon(argument);
    return known ? respond_ok() : respond_not_found();
}

} // namespace marblewood::admin
