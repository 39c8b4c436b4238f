// End-to-end tests of the admin interface: its calls, the metrics it reports, and their effect on the broker.
#include "helper.hpp"
#include "net/costs.hpp"

using namespace test;

namespace {

constexpr int kSmallBufferBytes = 1024; // less than the statistics
const std::string kDataKey = "7f3a9c21e0b4d655";

void health_and_unknown_calls() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    assert(program.call("GET", "health") == std::pair(200, std::string("ok\n")));
    assert(program.call("GET", "nothing").first == 404 && program.call("GET", "cordon").first == 405);
    assert(program.call("POST", "cordon", "s-9").first == 404); // no node has the id
    for (const char *const bad :
         {"nonsense\r\n\r\n", "POST /admin/cordon HTTP/1.1\r\nContent-Length: x\r\n\r\n"}) {
        Socket caller = Socket::to(program.control);
        caller.send(bad);
        assert(caller.ended() && caller.in.starts_with("HTTP/1.1 400 "));
    }
}

// Callers that send nothing, or only part of a call, must not use up the connections to the admin interface.
void silent_callers_keep_nobody_out() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    std::list<Socket> silent;
    for (int n = 0; n < 40; ++n) {
        silent.push_back(Socket::to(program.control));
        if (n % 2)
            silent.back().send("POST /admin/quiesce HT");
    }
    assert(program.call("GET", "health").first == 200);
    for (Socket &caller : silent)
        assert(caller.ended());
}

// Guards against a reset 0.2 s after the reply was written, while the caller still reads it and sends more.
void a_slow_caller_gets_its_whole_reply() {
    constexpr std::size_t kBytesPerRead = 300; // each 100 ms
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    const Socket caller = Socket::to(program.control, kSmallBufferBytes);
    caller.send("GET /admin/stats HTTP/1.1\r\n\r\n");
    std::string reply;
    char chunk[kBytesPerRead];
    for (;;) {
        const auto got = ::recv(caller.descriptor(), chunk, sizeof chunk, 0);
        if (got <= 0)
            break;
        reply.append(chunk, static_cast<std::size_t>(got));
        std::this_thread::sleep_for(100ms);
        caller.send("x");
    }
    const std::size_t body = reply.find("\r\n\r\n");
    assert(body != std::string::npos);
    const auto wanted = static_cast<std::size_t>(number_after(reply, "Content-Length: ", 0));
    fmt::print(stderr, "{} bytes of {}\n", reply.size() - body - 4, wanted);
    assert(wanted > kSmallBufferBytes && reply.size() - body - 4 == wanted);
}

// Guards against ending a caller that reads its reply to make room, while others send nothing.
void a_slow_caller_outlasts_silent_ones() {
    constexpr int kSilent = 30; // more than the server keeps
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    Socket caller = Socket::to(program.control, kSmallBufferBytes);
    caller.send("GET /admin/stats HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    std::list<Socket> silent;
    for (int n = 0; n < kSilent; ++n)
        silent.push_back(Socket::to(program.control));
    std::this_thread::sleep_for(200ms);
    caller.send("x"); // resets a connection that is closed
    std::this_thread::sleep_for(100ms);
    caller.ended();
    const auto wanted = static_cast<std::size_t>(number_after(caller.in, "Content-Length: ", 0));
    assert(wanted > kSmallBufferBytes);
    assert(caller.in.size() - caller.in.find("\r\n\r\n") - 4 == wanted);
}

// A caller that reads nothing of its reply is let go.
void a_caller_that_never_reads_is_let_go() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    const Socket caller = Socket::to(program.control, kSmallBufferBytes);
    caller.send("GET /admin/stats HTTP/1.1\r\n\r\n");
    const auto called = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(3s); // the time of 2 s, and some
    while (caller.send("x") && std::chrono::steady_clock::now() - called < 10s)
        std::this_thread::sleep_for(10ms);
    assert(std::chrono::steady_clock::now() - called < 4s);
}

// A call that arrives one byte at a time is executed.
void a_call_may_come_in_pieces() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    Socket caller = Socket::to(program.control);
    for (const char c : std::string("POST /admin/cordon HTTP/1.1\r\ncontent-length: 4\r\n\r\ns-1\n")) {
        caller.send(std::string(1, c));
        std::this_thread::sleep_for(1ms);
    }
    assert(caller.ended() && caller.in.starts_with("HTTP/1.1 200 "));
}

void figures_are_what_happened() {
    RespNode node([](const auto &words, int) {
        return words[0] == "OBJ.PUT" ? "-ERR failed\r\n" : RespNode::served("v");
    });
    const Discovery discovery(member("s-1", node.server.port, 0) + "," +
                              member("s-2", free_port(), 1, "draining"));
    const Program program(discovery);
    Socket client = program.client();
    for (int n = 0; n < 5; ++n) {
        client.send(get(kDataKey));
        assert(client.value()->text == "v");
    }
    client.send(get(kDataKey, 7, 300)); // no node holds the shard
    assert(client.value()->text.starts_with("BUSY"));
    client.send(put(kDataKey, "body"));
    assert(client.value()->text == "ERR failed");
    const auto metrics = program.figures();
    assert(metrics.at("answered.read") == 5 && metrics.at("deferred.read") == 1);
    assert(metrics.at("unsent") == 1); // the refusal came before any attempt
    assert(metrics.at("errored.new-write") == 1 && metrics.at("answered.new-write") == 0);
    assert(metrics.at("sends") == 9 && static_cast<int>(node.taken().size()) == 9);
    assert(metrics.at("current") == 0);
    assert(metrics.at("cluster_size") == 2 && metrics.at("cluster_unhealthy") == 1);
}

// Load that the broker puts on other hosts besides requests (connections, probes, list calls) is counted when
// it is started, and logged.
void costs_are_counted() {
    const auto formatted = marblewood::net::format_costs({2000, 10, 3, 1, 0, 0, 0, 0, 0});
    assert(formatted.find("probes_per_k=5.0 connections_per_k=1.5 list_calls_per_k=0.5") !=
           std::string::npos);
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    for (int n = 0; n < 5; ++n) {
        client.send(get(kDataKey));
        assert(client.value()->text == "v");
    }
    const auto metrics = program.figures();
    assert(metrics.at("connections") == 1 &&
           node.server.accepted == 1); // sequential requests share a connection
    assert(metrics.at("probes") == 0); // the settings disable probes
    assert(metrics.at("list_calls") >= 1 && discovery.calls >= 1);
    program.await_log("costs: requests=5 probes=0 connections=1 ");
    client.send(resp::command({"OBJ.GET", kDataKey, fresh_id(), "t=standard,d=300"})); // no class
    assert(client.value()->text == "ERR c, t and d are needed");
    assert(program.figures().at("turned_away") == 1 && program.figures().at("broken") == 0);
    program.await_log("a request turned away (1 so far): c, t and d are needed");
    program.await_log("failed=0 broken=0 turned_away=1");
}

// Closed client connections are counted by the reason for closing, and retries by the status of the previous
// attempt.
void ends_and_repeats_are_counted_by_cause() {
    RespNode node([](const auto &, int nth) {
        return nth == 1 ? "-ERR failed\r\n" : nth == 2 ? RespNode::served("v") : "";
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    const auto await_metric = [&](const char *name, long value) {
        for (int n = 0; n < 500 && program.figures().at(name) != value; ++n)
            std::this_thread::sleep_for(10ms);
        assert(program.figures().at(name) == value);
    };
    Socket client = program.client();
    client.send(get(kDataKey));
    assert(client.value()->text == "v" && program.figures().at("repeats_error") == 1);
    const std::string id = fresh_id();
    client.send(get(kDataKey, 0, 1500, id)); // the node closes the connection each time
    assert(!client.value()->text.empty() && program.figures().at("repeats_reset") >= 1);
    program.await_log(fmt::format(" request_id={} connection=", id));
    const auto before = program.figures();
    assert(before.at("clients_open") >= 1 && before.at("clients_closing") == 0);
    client.send("nonsense\r\n");
    assert(client.ended());
    await_metric("clients_closed_malformed", 1);
    Socket silent = program.client();
    assert(silent.ended());
    await_metric("clients_closed_silent", 1);
    const long disconnected = program.figures().at("clients_closed_client_left");
    { const Socket disconnecting = program.client(); }
    await_metric("clients_closed_client_left", disconnected + 1);
}

void a_request_under_way_is_current() {
    std::atomic<bool> node_may_answer = false;
    RespNode node([&](const auto &, int) {
        while (!node_may_answer)
            std::this_thread::sleep_for(5ms);
        return RespNode::served("v");
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kDataKey));
    while (node.taken().empty())
        std::this_thread::sleep_for(5ms);
    assert(program.figures().at("current") == 1 && program.figures().at("sends") == 1);
    node_may_answer = true;
    assert(client.value()->text == "v" && program.figures().at("current") == 0);
}

// A cordoned node gets no new requests, even if it leaves the endpoint list and returns, and even if it was
// cordoned twice. A single uncordon puts it back into use, with a slow start.
void a_cordoned_node_stays_out() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kDataKey));
    assert(client.value()->text == "v");
    for (int n = 0; n < 2; ++n)
        assert(program.call("POST", "cordon", "s-1").first == 200);
    client.send(get(kDataKey, 0, 600));
    assert(client.value()->text.starts_with("BUSY"));
    for (const std::string &members :
         {std::string(), member("s-1", node.server.port, 0)}) { // the node leaves the list and returns
        discovery.change(members);
        discovery.await_taken();
    }
    client.send(get(kDataKey, 0, 600));
    assert(client.value()->text.starts_with("BUSY") && node.taken().size() == 1);
    assert(program.figures().at("cluster_unhealthy") == 1);
    assert(program.call("POST", "uncordon", "s-1").first == 200);
    const auto back = std::chrono::steady_clock::now();
    do
        client.send(get(kDataKey)); // a process that has just started sends nothing to a cold node at first
    while (client.value()->text != "v");
    assert(std::chrono::steady_clock::now() - back < 5s);
    assert(program.figures().at("cluster_unhealthy") == 0);
    program.await_log("slow_start_began node=");
}

// A quiesced broker answers PING with an error, still serves requests, and closes each connection between
// requests. A resume before the connections are closed cancels this.
void clients_are_sent_away_and_taken_again() {
    RespNode node([](const auto &, int) {
        std::this_thread::sleep_for(1500ms);
        return RespNode::served("v");
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    const auto ping = [&] {
        Socket client = program.client();
        client.send("*1\r\n$4\r\nPING\r\n");
        return client.value()->text;
    };
    Socket idle = program.client(), busy = program.client();
    idle.send("*1\r\n$4\r\nPING\r\n");
    assert(idle.value()->text == "PONG");
    busy.send(get(kDataKey, 0, 4000));
    assert(program.call("POST", "quiesce").first == 200 && ping() != "PONG");
    assert(idle.silent_for(300)); // connections are not closed at once
    assert(idle.ended());
    assert(busy.value()->text == "v"); // new connections are served as well
    assert(busy.ended());
    assert(program.call("POST", "resume").first == 200 && ping() == "PONG");
    assert(program.call("POST", "quiesce").first == 200 && program.call("POST", "resume").first == 200);
    Socket kept = program.client();
    kept.send("*1\r\n$4\r\nPING\r\n");
    assert(kept.value()->text == "PONG" && kept.silent_for(1500));
}

} // namespace

int main() {
    health_and_unknown_calls();
    silent_callers_keep_nobody_out();
    a_slow_caller_gets_its_whole_reply();
    a_slow_caller_outlasts_silent_ones();
    a_caller_that_never_reads_is_let_go();
    a_call_may_come_in_pieces();
    figures_are_what_happened();
    costs_are_counted();
    ends_and_repeats_are_counted_by_cause();
    a_request_under_way_is_current();
    a_cordoned_node_stays_out();
    clients_are_sent_away_and_taken_again();
}
