// The bytes of calls to discovery and of the admin interface's replies, as documented in the protocol.
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

// A process that has handed over answers changes with 503.
void admin_replies_after_a_hot_restart() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program parent(discovery);
    const Program successor(parent);
    assert(raw_call(parent.control, "POST /admin/cordon HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1") ==
           text_reply("503 Service Unavailable", "Service Unavailable\n"));
    assert(raw_call(parent.control, "GET /admin/health HTTP/1.1\r\n\r\n") == text_reply("200 OK", "ok\n"));
}

// Names, order and types of the figures; their values are held by control_test.
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

/// What a program is given as its discovery: an address and the list to start with.
struct ListSourceAddress {
    int number;
    std::string list;
    int port() const { return number; }
    std::string known() const { return list; }
};

/// The first calls of a watch, byte by byte; each is answered at once with a newer, empty list of changes.
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

// The path, its query and the headers of long polls; only the time to wait is drawn at random.
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

// A discovery that has moved is asked for its whole list, without a query.
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
