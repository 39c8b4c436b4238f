/// \file
/// A broker's watch on the list of nodes while discovery fails: it does not answer, or its answers are late,
/// truncated, endless, outdated or malformed. An invalid answer must change nothing, and the broker must have
/// discovery's list within 6 s after discovery can be called again.
#include "helper.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kObjectKey = "7f3a9c21e0b4d655";
constexpr auto kMaxUpdateDelay = 6s;

std::string list(int revision, const std::string &members, bool complete = true) {
    return fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", revision, complete, members);
}
std::string http_response(const std::string &body) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/// A discovery whose answers are written by a script.
class ScriptedDiscovery {
public:
    struct Call {
        int number = 0; ///< counts from 1
        int since = -1; ///< -1: the complete list is requested
        int wait_ms = 0;
        Clock::time_point at;
        const Socket *connection = nullptr; ///< the connection of the call
    };
    /// Returns false to close the connection.
    using Script = std::function<bool(const Call &, Socket &)>;
    /// `known` is the list in the broker's configuration, at revision 5.
    ScriptedDiscovery(std::string known, Script script)
        : known_(list(5, known)), script_(std::move(script)), server_([this](Socket &s) { serve(s); }) {}

    std::string known() const { return known_; }
    int port() const { return server_.port; }
    /// Waits until `number` calls have arrived. Returns the last of them.
    Call await(int number) {
        std::unique_lock lock(mutex_);
        assert(call_arrived_.wait_for(lock, 15s, [&] { return static_cast<int>(calls_.size()) >= number; }));
        return calls_[static_cast<std::size_t>(number) - 1];
    }

private:
    void serve(Socket &s) {
        while (const auto head = next_head(s)) {
            Call call{0, number_after(*head, "since=", -1), number_after(*head, "timeout_ms=", 0),
                      Clock::now(), &s};
            {
                const std::lock_guard lock(mutex_);
                call.number = static_cast<int>(calls_.size()) + 1;
                calls_.push_back(call);
            }
            call_arrived_.notify_all();
            if (!script_(call, s))
                return;
        }
    }
    const std::string known_;
    Script script_;
    std::mutex mutex_;
    std::condition_variable call_arrived_;
    std::vector<Call> calls_;
    Server server_;
};

std::string broker_settings(bool pushed) {
    if (!pushed)
        return kSettings;
    return replaced(kSettings, R"("membership_mode":"on_request")", R"("membership_mode":"pushed")");
}
std::string read_value(const Program &program, int shard = 0, int wait = 600) {
    Socket client = program.client();
    client.send(get(kObjectKey, shard, wait));
    return client.value()->text;
}
RespNode::Script serve_v() {
    return [](const auto &, int) { return RespNode::served("v"); };
}

// A call on an open connection is never answered. The next call must use a new connection, early enough that
// missed changes are known within 6 s.
void a_silent_watch_is_opened_anew() {
    for (const bool pushed : {false, true}) {
        RespNode node(serve_v());
        const std::string up = member("s-1", node.server.port, 0),
                          draining = member("s-1", node.server.port, 0, "draining");
        ScriptedDiscovery discovery(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
            if (call.number == 2)
                s.send(http_response(list(6, draining, false)));
            return true; // only the second call is answered
        });
        const Program program(discovery, "", broker_settings(pushed));
        const auto silent = discovery.await(1);
        assert(silent.since == 5 && silent.wait_ms > 0);
        assert(read_value(program) == "v"); // the known list stays in use
        const auto again = discovery.await(2);
        assert(again.since == 5 && again.at - silent.at < kMaxUpdateDelay);
        assert(again.connection != silent.connection);
        assert(discovery.await(3).since == 6); // the change was applied
        const auto before = node.taken().size();
        assert(read_value(program).starts_with("BUSY") && node.taken().size() == before);
    }
}

// Successive calls fail with status 503, a reset, or a close without an answer. The next call must follow
// soon after any number of failures, but not immediately each time, since discovery serves all brokers.
void failed_calls_are_repeated_within_bounds() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0);
    constexpr int kFailed = 9;
    ScriptedDiscovery discovery(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
        if (call.number > kFailed) {
            s.send(http_response(list(6, member("s-1", node.server.port, 0, "draining"))));
            return call.number == kFailed + 1;
        }
        if (call.number % 3 == 0)
            s.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        if (call.number % 3 == 1)
            s.reset();
        return call.number % 3 == 0;
    });
    const Program program(discovery);
    Clock::duration longest{}, all{};
    for (int n = 2; n <= kFailed + 1; ++n) {
        const auto gap = discovery.await(n).at - discovery.await(n - 1).at;
        longest = std::max(longest, gap), all += gap;
    }
    assert(longest < kMaxUpdateDelay / 2 && all > 1s);
    discovery.await(kFailed + 2);
    assert(read_value(program).starts_with("BUSY"));
}

// An invalid answer must change nothing, and discovery must be called again in time. The next valid answer is
// applied.
void a_bad_list_changes_nothing() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0),
                      without_node = member("s-2", node.server.port, 3); // a list without s-1
    const std::string good = list(7, without_node);
    const std::map<std::string, std::string> bad{
        {"truncated by a close", http_response(good).substr(0, http_response(good).size() - 7)},
        {"no length, truncated", "HTTP/1.1 200 OK\r\n\r\n" + good.substr(0, good.size() - 7)},
        {"chunks without the last one",
         fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", good.size(),
                     good)},
        {"another status", "HTTP/1.1 206 Partial\r\nContent-Length: 2\r\n\r\n{}"},
        {"not JSON", http_response(good + "x")},
        {"not an object", http_response("[]")},
        {"no revision", http_response(R"({"complete":true,"members":[]})")},
        {"members are not a list", http_response(R"({"revision":7,"complete":true,"members":{}})")},
        {"a member is not an object", http_response(list(7, without_node + ",7"))},
        {"an unknown phase", http_response(list(7, without_node + "," + member("s-3", 1, 0, "resting")))},
        {"a cell that is not a number",
         http_response(
             list(7, without_node + R"(,{"id":"s-3","host_port":"127.0.0.1:1","cell":"x","phase":"up"})"))},
        {"an older list", http_response(list(4, without_node))},
        {"an older change", http_response(list(3, member("s-1", 1, 0, "removed"), false))},
        {"an excessive length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{"},
        {"not HTTP", "\x16\x03\x01nonsense\r\n\r\n"}};
    for (const auto &[name, bytes] : bad) {
        fmt::print("{}\n", name);
        std::atomic<bool> serve = false;
        ScriptedDiscovery discovery(up, [&, &bytes = bytes](const ScriptedDiscovery::Call &call, Socket &s) {
            if (call.number == 1) {
                s.send(bytes);
                return false;
            }
            for (int n = 0; n < 1000 && !serve; ++n)
                std::this_thread::sleep_for(5ms);
            s.send(http_response(list(8, up)));
            return call.number < 4;
        });
        const Program program(discovery);
        const auto first = discovery.await(1), second = discovery.await(2);
        assert(second.at - first.at < kMaxUpdateDelay);
        assert(read_value(program) == "v"); // the node is still listed
        serve = true;
        assert(discovery.await(3).since == 8);
        assert(read_value(program) == "v");
    }
}

// An endless answer, in its head, body or trailers, must neither fill the memory nor delay the watch beyond
// its timeout.
void an_endless_answer_is_given_up() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0);
    for (const auto &[head, more] : std::map<std::string, std::string>{
             {"HTTP/1.1 200 OK\r\nX-A: ", std::string(60'000, 'a')},
             {"HTTP/1.1 200 OK\r\n\r\n[", std::string(60'000, ' ')},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", std::string(6000, 'a') + "\r\n"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"}}) {
        std::atomic<bool> go = false;
        ScriptedDiscovery discovery(
            up, [&, &head = head, &more = more](const ScriptedDiscovery::Call &call, Socket &s) {
                if (call.number > 1) {
                    s.send(http_response(list(8, up)));
                    return call.number < 3;
                }
                for (int n = 0; n < 300 && !go; ++n)
                    std::this_thread::sleep_for(1ms);
                s.send(head);
                std::string piece;
                while (piece.size() < 60'000)
                    piece += more;
                while (s.send(piece))
                    ;
                return false;
            });
        const Program program(discovery);
        const auto first = discovery.await(1);
        const auto before = program.memory_kb();
        go = true;
        const auto second = discovery.await(2);
        assert(second.at - first.at < kMaxUpdateDelay && program.memory_kb() < before + 24 * 1024);
        assert(discovery.await(3).since == 8 && read_value(program) == "v");
    }
}

// Lists may be indented, arrive in small pieces and follow interim responses. A second copy after an answer
// must not be taken for the answer to the next call.
void odd_but_whole_lists_are_taken() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0);
    std::string indented = list(6, "\n    " + member("s-1", node.server.port, 0, "draining") + "\n");
    for (std::size_t at = 0; (at = indented.find(",\"", at)) != std::string::npos; at += 8)
        indented.replace(at, 1, ",\r\n\t   ");
    ScriptedDiscovery discovery(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
        if (call.number == 1) {
            const std::string answer = "HTTP/1.1 103 Early Hints\r\n\r\n" + http_response(indented + "\n");
            for (std::size_t at = 0; at < answer.size(); at += 97)
                s.send(answer.substr(at, 97));
        }
        if (call.number == 2)
            s.send(http_response(list(7, up)) + http_response(list(7, up)));
        if (call.number == 3)
            s.send(http_response(list(8, member("s-1", node.server.port, 0, "draining"))));
        return true;
    });
    const Program program(discovery);
    assert(discovery.await(2).since == 6);
    assert(discovery.await(3).since == 7);
    assert(discovery.await(4).since == 8);
    assert(read_value(program).starts_with("BUSY") && node.taken().empty());
}

// Discovery restarts its revisions. Its complete list must be requested, and the lower revision accepted once
// the complete list confirms it.
void discovery_may_count_anew() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0);
    ScriptedDiscovery discovery(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
        if (call.number == 1)
            s.send(http_response(list(2, "", false)));
        if (call.number == 2)
            s.send(http_response(list(2, member("s-1", node.server.port, 0, "draining"))));
        return true;
    });
    const Program program(discovery);
    const auto first = discovery.await(1), second = discovery.await(2);
    assert(second.since == -1 && second.at - first.at < kMaxUpdateDelay);
    assert(discovery.await(3).since == 2);
    assert(read_value(program).starts_with("BUSY") && node.taken().empty());
}

// Discovery moves to another address while its list changes. Changes from the old address must be applied
// until the new one has sent its complete list, and not afterwards.
void a_move_loses_nothing_on_the_way() {
    RespNode node(serve_v()), other(serve_v());
    const std::string up = member("s-1", node.server.port, 0), more = member("s-2", other.server.port, 1);
    Discovery before(up + "," + more);
    std::atomic<bool> answer = false;
    ScriptedDiscovery after(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
        while (!answer)
            std::this_thread::sleep_for(1ms);
        if (call.number == 1)
            s.send(http_response(list(2, member("s-1", node.server.port, 0, "draining") + "," + more)));
        return true;
    });
    const Program program(before);
    program.configure(after);
    program.signal(SIGHUP);
    assert(after.await(1).since == -1);
    before.change(member("s-1", node.server.port, 0, "draining") + "," + more);
    before.await_taken();
    assert(read_value(program, 0, 300).starts_with("BUSY") && node.taken().empty());
    answer = true;
    assert(after.await(2).since == 2);
    before.change(member("s-2", other.server.port, 1, "draining"));
    assert(read_value(program, 1, 4000) == "v"); // the old address is no longer watched
}

// All brokers move at once, and discovery has too many callers to send the complete list to each. The broker
// must then request only the changes, which are far less work, and the complete list later.
void a_crowded_discovery_is_asked_for_changes_first() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0),
                      draining = member("s-1", node.server.port, 0, "draining");
    const Discovery before(up); // has revision 1
    ScriptedDiscovery after(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
        if (call.number == 1)
            s.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        else if (call.since < 0)
            s.send(http_response(list(9, up)));
        else if (call.number == 2)
            s.send(http_response(list(2, draining, false)));
        else if (call.since < 9) { // no changes
            std::this_thread::sleep_for(call.wait_ms * 1ms);
            s.send(http_response(list(call.since, "", false)));
        }
        return true;
    });
    const Program program(before);
    program.configure(after);
    program.signal(SIGHUP);
    const auto moved = after.await(1);
    assert(moved.since == -1);
    const auto pause = after.await(2).at - moved.at; // an early retry would add to the overload
    assert(after.await(2).since == 1 && pause >= 990ms && pause < kMaxUpdateDelay / 2);
    assert(after.await(3).since == 2);
    assert(read_value(program, 0, 300).starts_with("BUSY") && node.taken().empty());
    int number = 3;
    while (after.await(number).since >= 0)
        ++number; // 5 s to 15 s later
    assert(after.await(number).at - moved.at > 3s && after.await(number).at - moved.at < 20s);
    assert(after.await(number + 1).since == 9 && read_value(program) == "v");
}

// Brokers that watch the same discovery must not renew their polls in lockstep, or a fleet would call all at
// once.
void renewals_are_spread() {
    RespNode node(serve_v());
    const std::string up = member("s-1", node.server.port, 0);
    ScriptedDiscovery discovery(up, [&](const ScriptedDiscovery::Call &call, Socket &s) {
        s.send(http_response(list(call.number == 1 ? 6 : 7, up)));
        return call.number < 8;
    });
    const Program program(discovery);
    std::set<int> waits;
    for (int n = 1; n <= 8; ++n) {
        const auto call = discovery.await(n);
        assert(call.wait_ms > 0 && call.wait_ms <= 3200);
        waits.insert(call.wait_ms);
    }
    assert(waits.size() > 3);
}

} // namespace

int main() {
    a_silent_watch_is_opened_anew();
    failed_calls_are_repeated_within_bounds();
    a_bad_list_changes_nothing();
    an_endless_answer_is_given_up();
    odd_but_whole_lists_are_taken();
    discovery_may_count_anew();
    a_move_loses_nothing_on_the_way();
    a_crowded_discovery_is_asked_for_changes_first();
    renewals_are_spread();
}
