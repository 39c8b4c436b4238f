#include "net/control/control.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net::control {
namespace {

constexpr std::size_t kMostCallers = 12; // descriptors kept for them
constexpr std::size_t kMostCall = 8192;  // bytes
constexpr Micros kCallWithin = 2'000'000, kLinger = 200'000, kRest = 10'000;

std::string spell(int status, const char *reason, const std::string &body, const char *more = "") {
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{}"
                       "Connection: close\r\n\r\n{}",
                       status, reason, body.size(), more, body);
}
std::string no(int status, const char *reason) {
    return spell(status, reason, fmt::format("{}\n", reason));
}
std::string yes() {
    return spell(200, "OK", "ok\n");
}

std::string bare(std::string text) {
    const char *const blank = " \t\r\n";
    text.erase(text.find_last_not_of(blank) + 1);
    text.erase(0, text.find_first_not_of(blank));
    return text;
}

} // namespace

std::string spell(const core::Metrics &figures, const Settings &settings, const State &state) {
    std::string out;
    const auto count = [&out](std::string_view name, std::uint64_t n) {
        out += fmt::format("balancer.{}:{}|c\n", name, n);
    };
    constexpr const char *kKinds[] = {"answered", "deferred", "errored"};
    for (std::size_t cls = 0; cls < figures.completed.size(); ++cls)
        for (std::size_t kind = 0; kind < 3; ++kind)
            count(fmt::format("{}.{}", kKinds[kind], settings.classes[cls].name),
                  figures.completed[cls][kind]);
    count("sends", figures.attempts_written);
    count("conf_loaded", figures.reloads);
    count("conf_invalid", figures.reloads_failed);
    const Costs &c = state.costs;
    for (const auto &[name, n] :
         std::initializer_list<std::pair<const char *, std::uint64_t>>{{"probes", c.probes},
                                                                       {"connections", c.connections},
                                                                       {"list_calls", c.list_calls},
                                                                       {"broken", c.broken},
                                                                       {"turned_away", c.turned_away},
                                                                       {"unsent", c.unsent},
                                                                       {"datagrams", c.datagrams},
                                                                       {"datagram_bytes", c.datagram_bytes}})
        count(name, n);
    for (const auto &[name, n] : c.overload)
        count(name, n);
    for (std::size_t n = 0; n < figures.retries.size(); ++n)
        count(fmt::format("repeats_{}", core::kStatusNames[n]), figures.retries[n]);
    count("hedges", figures.hedges);
    count("refused_closing", figures.refused_closing);
    count("withdrawn", figures.answered_early);
    count("clients_accepted", state.clients.accepted);
    for (std::size_t n = 0; n < state.clients.closed.size(); ++n)
        count(fmt::format("clients_closed_{}", kCloseReasonNames[n]), state.clients.closed[n]);
    count("clients_closed_unread", state.clients.closed_unread);
    out += fmt::format("balancer.clients_open:{}|g\nbalancer.clients_closing:{}|g\n", state.clients_open,
                       state.clients_closing);
    out += fmt::format("balancer.current:{}|g\nbalancer.cluster_size:{}|g\nbalancer.cluster_unhealthy:{}|g\n",
                       state.current, state.nodes, state.avoided);
    return out;
}

Control::Control(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
                 Operations operations)
    : io_(io), deadlines_(deadlines), acceptor_(std::move(acceptor)), do_(std::move(operations)) {
    asio::co_spawn(io_, accept(), asio::detached);
}

asio::awaitable<void> Control::accept() {
    asio::steady_timer rest(io_);
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket(io_);
        error = co_await accept_next(acceptor_, socket);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            core::log("control: {}", error.message());
            rest.expires_after(std::chrono::microseconds(kRest));
            co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        // A call is answered as soon as it is there, so who has waited longest says nothing.
        if (callers_.size() >= kMostCallers)
            callers_.front().socket.close(error);
        asio::co_spawn(io_, hear(callers_.emplace(callers_.end(), std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> Control::hear(std::list<Caller>::iterator caller) {
    tcp::socket &socket = caller->socket;
    const auto close = [&socket] {
        boost::system::error_code ignored;
        socket.close(ignored);
    };
    auto limit = deadlines_.in(kCallWithin, close);
    std::string in, out;
    boost::system::error_code error;
    while (out.empty() && !error) {
        error = co_await read_more(socket, in);
        try {
            if (auto request = http::read_request(in))
                out = co_await answer(std::move(*request));
            else if (in.size() > kMostCall)
                out = no(413, "Content Too Large");
        } catch (const std::runtime_error &) {
            out = no(400, "Bad Request");
        }
    }
    if (!out.empty()) {
        co_await write_all(socket, out, error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        limit = deadlines_.in(kLinger, close); // closed at once, what it still sends would cost it the answer
        for (in.clear(); !error && in.size() < kMostCall;)
            error = co_await read_more(socket, in);
    }
    close();
    callers_.erase(caller);
}

// Calls about cells may have to wait for the keeper; all others are done at once.
asio::awaitable<std::string> Control::answer(http::Request request) {
    static constexpr std::string_view kCells = "/admin/cells";
    const std::string &target = request.target;
    const bool cells = do_.cells && target.starts_with(kCells) &&
                       (target.size() == kCells.size() || target[kCells.size()] == '/');
    if (!cells)
        co_return answer_now(request);
    std::string what = target.size() > kCells.size() ? target.substr(kCells.size() + 1) : "list";
    const bool reads = what == "list" || what == "here" || what.starts_with("where/");
    const bool changes = what == "move" || what == "pin" || what == "unpin" || what == "freeze" ||
                         what == "unfreeze" || what == "evacuate" || what == "restore";
    if (!reads && !changes)
        co_return no(404, "Not Found");
    if (request.method != (reads ? "GET" : "POST"))
        co_return spell(405, "Method Not Allowed", "", reads ? "Allow: GET\r\n" : "Allow: POST\r\n");
    std::string body = bare(request.body);
    if (what.starts_with("where/")) {
        body = what.substr(6);
        what = "where";
    }
    if (changes)
        core::log("control: cells {} {}", what, body);
    const auto [status, text] = co_await do_.cells(what, body, changes);
    co_return spell(status, status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Conflict", text);
}

std::string Control::answer_now(const http::Request &request) {
    static constexpr std::string_view kAdmin = "/admin/";
    const std::string_view target = request.target;
    if (!target.starts_with(kAdmin))
        return no(404, "Not Found");
    const std::string_view call = target.substr(kAdmin.size());
    const bool reads = call == "health" || call == "stats";
    const bool changes = call == "cordon" || call == "uncordon" || call == "quiesce" || call == "resume";
    if (!reads && !changes)
        return no(404, "Not Found");
    if (request.method != (reads ? "GET" : "POST"))
        return spell(405, "Method Not Allowed", "", reads ? "Allow: GET\r\n" : "Allow: POST\r\n");
    if (call == "health")
        return yes();
    if (call == "stats")
        return spell(200, "OK", do_.stats());
    if (!do_.cordon)
        return no(404, "Not Found");
    if (!do_.acts())
        return no(503, "Service Unavailable");
    core::log("control: {} {}", call, bare(request.body));
    if (call == "quiesce" || call == "resume") {
        do_.quiesce(call == "quiesce");
        return yes();
    }
    const bool known = (call == "cordon" ? do_.cordon : do_.uncordon)(bare(request.body));
    return known ? yes() : no(404, "Not Found");
}

} // namespace marblewood::net::control
