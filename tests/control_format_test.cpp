// Checks the exact bytes of requests to discovery and of replies from the admin interface against the
// documented protocols.
#include "helper.hpp"

using namespace test;

namespace {

std::string raw_call(int port, const std::string &request) {
    Socket caller = Socket::to(port);
    caller.send(request);
    caller.ended();
    return caller.in;
}

std::string text_reply(const std::string &status, const std::string &body, const std::string &header = "") {
    return fmt::format("HTTP/1.1 {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{}"
                       "Connection: close\r\n\r\n{}",
                       status, body.size(), header, body);
}

void admin_replies() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    const auto reply = [&](const std::string &method, const std::string &target,
                           const std::string &body = "") {
        return raw_call(program.control, fmt::format("{} {} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", method,
                                                     target, body.size(), body));
    };
    assert(reply("GET", "/admin/health") == text_reply("200 OK", "ok\n"));
    assert(reply("POST", "/admin/cordon", " s-1\r\n") == text_reply("200 OK", "ok\n"));
    assert(reply("POST", "/admin/uncordon", "s-1") == text_reply("200 OK", "ok\n"));
    assert(reply("POST", "/admin/quiesce") == text_reply("200 OK", "ok\n"));
    assert(reply("POST", "/admin/resume") == text_reply("200 OK", "ok\n"));
    const std::string not_found = text_reply("404 Not Found", "Not Found\n");
    assert(reply("POST", "/admin/cordon", "s-9") == not_found);
    assert(reply("GET", "/admin/nothing") == not_found);
    assert(reply("GET", "/health") == not_found);
    assert(reply("GET", "/admin/cells") == not_found); // no cells are configured
    assert(reply("POST", "/admin/health") == text_reply("405 Method Not Allowed", "", "Allow: GET\r\n"));
    assert(reply("GET", "/admin/cordon") == text_reply("405 Method Not Allowed", "", "Allow: POST\r\n"));
    assert(raw_call(program.control, "nonsense\r\n\r\n") == text_reply("400 Bad Request", "Bad Request\n"));
    assert(raw_call(program.control, "GET /" + std::string(8300, 'x')) ==
           text_reply("413 Content Too Large", "Content Too Large\n"));
}

// A process that has handed over to a successor answers calls that change something with 503.
void admin_replies_after_a_hot_restart() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program parent(discovery);
    const Program successor(parent);
    assert(raw_call(parent.control, "POST /admin/cordon HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1") ==
           text_reply("503 Service Unavailable", "Service Unavailable\n"));
    assert(raw_call(parent.control, "GET /admin/health HTTP/1.1\r\n\r\n") == text_reply("200 OK", "ok\n"));
}

// Checks the names, order and types of the metrics; control_test checks their values.
void names_of_the_statistics() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    const std::string body = program.call("GET", "stats").second;
    std::string names;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);)
        names += line.substr(0, line.find(':')) + line.substr(line.find('|')) + "\n";
    std::ostringstream expected;
    expected << std::ifstream(std::filesystem::path(MARBLEWOOD_FIXTURES) / "admin" / "stats.txt").rdbuf();
    if (names != expected.str())
        std::fputs(names.c_str(), stderr);
    assert(names == expected.str());
}

/// A discovery service as the test program's configuration refers to it: a port and the known endpoint list.
struct ListSourceAddress {
    int port_number;
    std::string known_list;
    int port() const { return port_number; }
    std::string known() const { return known_list; }
};

/// Returns the first requests of a watch, as received. Each is answered at once with an empty list of changes
/// at a newer revision.
std::vector<std::string> calls_of_a_watch(std::size_t count) {
    std::mutex mutex;
    std::vector<std::string> calls;
    std::condition_variable received;
    Server server([&](Socket &socket) {
        while (const auto head = next_head(socket)) {
            const std::lock_guard lock(mutex);
            calls.push_back(*head + "\r\n\r\n");
            received.notify_all();
            if (calls.size() > count)
                return;
            const std::string body =
                fmt::format(R"({{"revision":{},"complete":false,"members":[]}})", 40 + calls.size());
            socket.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
        }
    });
    const ListSourceAddress source{
        server.port,
        fmt::format(R"({{"revision":40,"complete":true,"members":[{}]}})", member("s-1", free_port(), 0))};
    const Program program(source);
    std::unique_lock lock(mutex);
    assert(received.wait_for(lock, 15s, [&] { return calls.size() >= count; }));
    std::vector<std::string> first(calls.begin(), calls.begin() + static_cast<std::ptrdiff_t>(count));
    for (std::string &call : first) { // the port differs from run to run
        const std::string host = fmt::format("127.0.0.1:{}", server.port);
        assert(call.find(host) != std::string::npos);
        call.replace(call.find(host), host.size(), "HOST");
    }
    return first;
}

// Checks the path, query and headers of long polls. Only the timeout in the query is random.
void discovery_requests() {
    const auto calls = calls_of_a_watch(2);
    for (std::size_t n = 0; n < calls.size(); ++n) {
        std::string call = calls[n];
        const int wait_ms = number_after(call, "timeout_ms=", -1);
        assert(wait_ms >= 2200 && wait_ms <= 3200);
        const std::string wait = std::to_string(wait_ms);
        call.replace(call.find(wait, call.find("timeout_ms=")), wait.size(), "WAIT");
        assert(call == fmt::format("GET /v1/servers?since={}&timeout_ms=WAIT HTTP/1.1\r\nHost: HOST\r\n"
                                   "Accept: application/json\r\n\r\n",
                                   40 + n));
    }
}

// After a change of its address, discovery is asked for the complete list, without a query.
void request_for_the_complete_list() {
    std::mutex mutex;
    std::string call;
    std::condition_variable received;
    Server moved([&](Socket &socket) {
        if (const auto head = next_head(socket)) {
            const std::lock_guard lock(mutex);
            call = *head + "\r\n\r\n";
            received.notify_all();
        }
    });
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    program.configure(moved.port, discovery.known(), kSettings);
    program.signal(SIGHUP);
    std::unique_lock lock(mutex);
    assert(received.wait_for(lock, 15s, [&] { return !call.empty(); }));
    assert(call == fmt::format("GET /v1/servers HTTP/1.1\r\nHost: 127.0.0.1:{}\r\n"
                               "Accept: application/json\r\n\r\n",
                               moved.port));
}

} // namespace

int main() {
    admin_replies();
    admin_replies_after_a_hot_restart();
    names_of_the_statistics();
    discovery_requests();
    request_for_the_complete_list();
}
