// Closing connections that their clients keep using, at quiesce, handover and shutdown. A pipelining client
// always has a request open, so closing must not wait for a moment without one.
// Usage: closing_test quiesce|handover|shutdown [scenario]
#include "faults/fault_proxy.hpp"
#include "helper.hpp"

#include <algorithm>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

// The specified time from the quiesce call until no client connection may be open that is idle or has only
// recent requests.
constexpr auto kCloseLimit = 4s;
constexpr auto kPollInterval = 10ms;
const std::string kPiece = "7f3a9c21e0b4d655", kHangingPiece = "00000000000000aa";
const std::string kPing = "*1\r\n$4\r\nPING\r\n";
// With the longest deadline above 3 s, the process may be killed 3.7 s after SIGTERM.
const std::string kLongDeadlines = settings_with_read_limit(7500);

// Answers each request after `time` with the request's id as the value, but one for kHangingPiece after 10 s.
RespNode::Script echo_after(std::chrono::milliseconds time) {
    return [time](const auto &words, int) {
        std::this_thread::sleep_for(words[1] == kHangingPiece ? 10s : time);
        return RespNode::served(words[2]);
    };
}

// Sends requests without waiting for the answers, which another thread reads, until the broker ends the
// connection.
class PipeliningClient {
public:
    PipeliningClient(int port, std::chrono::milliseconds interval, int wait_ms,
                     const std::string &first = kPiece)
        : socket_(Socket::to(port)), interval_(interval), wait_ms_(wait_ms) {
        write(first);
        writer_ = std::thread([this] {
            while (!stop_writing_ && write(kPiece))
                std::this_thread::sleep_for(interval_);
        });
        reader_ = std::thread([this] { read(); });
    }
    ~PipeliningClient() {
        stop_writing_ = true;
        socket_.shut();
        writer_.join();
        reader_.join();
    }
    void stop_writing() { stop_writing_ = true; }
    bool ended() const { return ended_; }
    // Waits until the broker has ended the connection; returns when that was.
    Clock::time_point await_end(std::chrono::milliseconds timeout = 15s) const {
        for (const auto until = Clock::now() + timeout; !ended_; std::this_thread::sleep_for(kPollInterval))
            assert(Clock::now() < until);
        return ended_at_;
    }
    // Checks that the answers match the requests in order, and that all requests a node received were
    // answered.
    void check(const RespNode &node) const {
        const std::lock_guard lock(mutex_);
        assert(answers_.size() <= ids_.size());
        for (std::size_t n = 0; n < answers_.size(); ++n)
            assert(answers_[n] == ids_[n] || answers_[n].starts_with("BUSY") || answers_[n] == "ERR failed");
        std::set<std::string> unanswered(ids_.begin() + static_cast<long>(answers_.size()), ids_.end());
        for (const auto &words : node.taken())
            if (words.size() > 2)
                assert(!unanswered.contains(words[2]));
    }
    std::size_t served() const {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(std::ranges::count_if(
            answers_, [](const std::string &a) { return !a.starts_with("BUSY") && !a.starts_with("ERR"); }));
    }
    std::size_t answered() const {
        const std::lock_guard lock(mutex_);
        return answers_.size();
    }

private:
    bool write(const std::string &piece) {
        const std::string id = fresh_id();
        {
            const std::lock_guard lock(mutex_);
            ids_.push_back(id);
        }
        return socket_.send(get(piece, 0, wait_ms_, id));
    }
    void read() {
        while (const auto value = socket_.value()) {
            const std::lock_guard lock(mutex_);
            answers_.push_back(value->text.empty() && !value->elements.empty() ? value->elements[0].text
                                                                               : value->text);
        }
        ended_at_ = Clock::now();
        ended_ = true;
    }

    Socket socket_;
    const std::chrono::milliseconds interval_;
    const int wait_ms_;
    mutable std::mutex mutex_;
    std::vector<std::string> ids_, answers_;
    std::atomic<bool> stop_writing_ = false, ended_ = false;
    Clock::time_point ended_at_;
    std::thread writer_, reader_;
};

void await_answers(const PipeliningClient &client, std::size_t count) {
    for (const auto until = Clock::now() + 15s; client.answered() < count;
         std::this_thread::sleep_for(kPollInterval))
        assert(Clock::now() < until);
}

Clock::time_point quiesce(const Program &program) {
    const auto called = Clock::now();
    assert(program.call("POST", "quiesce").first == 200);
    return called;
}

// ---- Quiesce ----

// Guards against an incident: the connection never closed, as new requests kept arriving before the open ones
// were answered.
void a_pipelining_client_is_sent_away() {
    RespNode node(echo_after(400ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    // A slow network that splits the data into small pieces.
    FaultProxy proxy(program.port, {.delay = 20ms, .max_chunk_bytes = 50});
    const PipeliningClient client(proxy.port(), 30ms, 4000);
    await_answers(client, 5);
    const auto called = quiesce(program);
    assert(client.await_end() - called < kCloseLimit);
    client.check(node);
    assert(client.served() >= 5);
}

// A request that takes longer than the allowed time precedes newer ones on its connection, whose answers have
// to wait for its answer.
void newer_requests_behind_a_hanging_one_hold_no_connection() {
    RespNode node(echo_after(50ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery, "", kLongDeadlines);
    const PipeliningClient client(program.port, 50ms, 7000, kHangingPiece);
    std::this_thread::sleep_for(300ms);
    const auto called = quiesce(program);
    assert(client.await_end() - called < kCloseLimit);
    client.check(node);
}

// A request received before the quiesce is still answered, however long that takes, if no newer request
// follows it.
void an_old_request_alone_keeps_its_connection() {
    RespNode node([](const auto &words, int) {
        std::this_thread::sleep_for(5s);
        return RespNode::served(words[2]);
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery, "", kLongDeadlines);
    Socket client = program.client();
    const std::string id = fresh_id();
    client.send(get(kPiece, 0, 7000, id));
    while (node.taken().empty())
        std::this_thread::sleep_for(kPollInterval);
    quiesce(program);
    assert(client.value()->text == id && client.ended());
}

// The median, so that a single delay caused by a busy machine does not matter.
std::chrono::nanoseconds median(std::vector<std::chrono::nanoseconds> spans) {
    std::ranges::sort(spans);
    return spans[spans.size() / 2];
}
constexpr int kNewcomers = 15;
constexpr auto kQuiesceGraceOver = 1500ms;

// Connections that are opened after the quiesce and send no request are closed at once.
void an_idle_newcomer_is_sent_away_at_once() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    std::this_thread::sleep_until(quiesce(program) + kQuiesceGraceOver);
    std::vector<std::chrono::nanoseconds> held;
    for (int n = 0; n < kNewcomers; ++n) {
        const auto connected = Clock::now();
        program.client().ended();
        held.push_back(Clock::now() - connected);
    }
    assert(median(held) < 150ms);
}

// A connection opened after the quiesce that sends a request, at once or a little later, is served and closed
// after the answer.
void a_newcomer_that_asks_is_served_and_sent_away() {
    RespNode node(echo_after(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    std::this_thread::sleep_until(quiesce(program) + kQuiesceGraceOver);
    std::vector<std::chrono::nanoseconds> held;
    for (int n = 0; n < kNewcomers; ++n) {
        Socket client = program.client();
        std::this_thread::sleep_for((n % 3) * 2ms);
        client.send(get(kPiece));
        const auto answer = client.value();
        assert(answer && !answer->text.starts_with("ERR"));
        const auto answered = Clock::now();
        client.ended();
        held.push_back(Clock::now() - answered);
    }
    assert(median(held) < 25ms);
    assert(program.figures().at("answered.read") > 0);
}

// Also on a connection opened after the quiesce, the first request may take 2 s to write.
void a_newcomer_that_writes_slowly_is_served() {
    RespNode node(echo_after(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    std::this_thread::sleep_until(quiesce(program) + kQuiesceGraceOver);
    Socket client = program.client();
    const std::string request = get(kPiece);
    for (std::size_t at = 0; at < request.size(); at += request.size() / 8) {
        client.send(request.substr(at, request.size() / 8));
        std::this_thread::sleep_for(200ms);
    }
    const auto answer = client.value();
    assert(answer && !answer->text.starts_with("ERR") && !answer->text.starts_with("BUSY"));
    client.ended();
}

// A partial request arrives while another one is open.
void part_of_a_request_holds_no_connection() {
    RespNode node(echo_after(2600ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery, "", kLongDeadlines);
    Socket client = program.client();
    client.send(get(kPiece, 0, 7000));
    const auto called = quiesce(program);
    std::this_thread::sleep_until(called + 2s); // the request is still open
    client.send(kPing.substr(0, 6));
    client.ended();
    assert(Clock::now() - called < kCloseLimit);
}

// Repeated quiesce calls must not extend the time until connections are closed.
void calling_again_puts_nothing_off() {
    RespNode node(echo_after(10ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket idle = program.client();
    idle.send(get(kPiece));
    assert(idle.value().has_value());
    PipeliningClient client(program.port, 30ms, 1500);
    const auto called = quiesce(program);
    std::atomic<bool> stop = false;
    std::thread again([&] {
        for (; !stop; std::this_thread::sleep_for(300ms))
            quiesce(program);
    });
    idle.ended();
    const auto idle_ended = Clock::now();
    const auto client_ended = client.await_end(6s);
    stop = true;
    again.join();
    assert(idle_ended - called < kCloseLimit && client_ended - called < kCloseLimit);
}

// A client that floods the connection with commands, all of which are answered at once.
void a_flood_of_commands_holds_no_connection() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    Socket client = program.client();
    std::string many;
    for (int n = 0; n < 100; ++n)
        many += kPing;
    const auto called = quiesce(program);
    std::thread reader([&] { client.ended(); });
    while (Clock::now() - called < 6s && client.send(many)) {}
    reader.join();
    assert(Clock::now() - called < kCloseLimit);
}

// A client that writes and never reads.
void a_client_that_reads_nothing_holds_no_connection() {
    RespNode node([](const auto &, int) { return RespNode::served(std::string(60'000, 'v')); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    std::atomic<bool> stop = false;
    std::thread writer([&] { // until the socket buffers are full of answers, and beyond
        while (!stop && client.send(get(kPiece, 0, 600)))
            std::this_thread::sleep_for(2ms);
    });
    for (long before = -1; program.figures().at("answered.read") !=
                           std::exchange(before, program.figures().at("answered.read"));)
        std::this_thread::sleep_for(1s);
    const auto called = quiesce(program);
    std::this_thread::sleep_until(called + kCloseLimit);
    const long open = program.figures().at("clients_open");
    stop = true;
    client.shut();
    writer.join();
    assert(open == 0);
}

// The wall clock is stepped, by up to an hour forward and back, while connections are being closed.
void a_stepped_wall_clock_changes_nothing() {
    for (const int seconds : {-3600, -7, 7, 3600}) {
        RespNode node(echo_after(200ms));
        const Discovery discovery(member("s-1", node.server.port, 0));
        ClockSteps steps;
        const Program program(discovery);
        Socket idle = program.client();
        const PipeliningClient client(program.port, 30ms, 1500);
        idle.send(get(kPiece));
        assert(idle.value().has_value());
        const auto called = quiesce(program);
        steps.step(std::chrono::seconds(seconds));
        idle.ended();
        assert(Clock::now() - called < kCloseLimit);
        assert(client.await_end() - called < kCloseLimit);
        client.check(node);
    }
}

// ---- Handover ----

// A quiesce of the successor also applies to connections that its predecessor still holds.
void a_predecessor_sends_its_clients_away_too() {
    RespNode node(echo_after(400ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program old(discovery);
    const PipeliningClient client(old.port, 30ms, 4000);
    await_answers(client, 5);
    const Program fresh(old);
    const auto called = quiesce(fresh);
    assert(client.await_end() - called < kCloseLimit);
    client.check(node);
}

// The time since the quiesce call carries over to the successor.
void a_handover_puts_nothing_off() {
    RespNode node(echo_after(400ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program old(discovery);
    Socket idle = old.client();
    idle.send(get(kPiece));
    assert(idle.value().has_value());
    const PipeliningClient client(old.port, 30ms, 4000);
    const auto called = quiesce(old);
    Clock::time_point idle_ended;
    std::thread reader([&] {
        idle.ended();
        idle_ended = Clock::now();
    });
    std::list<Program> successors; // each but the last hands over again within a second
    for (int n = 1; n <= 4; ++n) {
        std::this_thread::sleep_until(called + n * 800ms);
        successors.emplace_back(successors.empty() ? old : successors.back());
    }
    reader.join();
    assert(idle_ended - called < kCloseLimit);
    assert(client.await_end() - called < kCloseLimit);
    client.check(node);
}

// The wall clock is stepped between the starts of the two processes; the times in the handover must keep
// their meaning. Of two partial requests that are handed over, one is completed and one never is.
void a_stepped_wall_clock_changes_no_handover() {
    for (const int seconds : {-3600, 3600}) {
        RespNode node(echo_after(1ms));
        const Discovery discovery(member("s-1", node.server.port, 0));
        const ClockSteps steps;
        const Program old(discovery);
        Socket finished = old.client(), stopped = old.client();
        const std::string id = fresh_id(), request = get(kPiece, 0, 1500, id);
        finished.send(request.substr(0, request.size() - 10));
        stopped.send(request.substr(0, request.size() - 10));
        const auto began = Clock::now();
        std::this_thread::sleep_for(100ms);
        steps.step(std::chrono::seconds(seconds));
        const Program fresh(old);
        std::this_thread::sleep_for(200ms);
        finished.send(request.substr(request.size() - 10));
        const auto answer = finished.value();
        assert(answer && answer->text == id);
        stopped.ended(); // after a protocol error, as for any incomplete request
        assert(Clock::now() - began < 3s);
    }
}

// ---- Shutdown ----

// After SIGTERM the broker answers every request it has received and exits within 3.7 s, the earliest time at
// which the platform may kill it.
void a_pipelining_client_is_answered_before_the_end(const std::string &first) {
    RespNode node(echo_after(100ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", kLongDeadlines);
    const PipeliningClient client(program.port, 30ms, 7000, first);
    std::this_thread::sleep_for(300ms);
    const auto signalled = Clock::now();
    program.signal(SIGTERM);
    assert(client.await_end() - signalled < 3700ms);
    client.check(node);
    assert(program.exit_code() == 0);
    assert(Clock::now() - signalled < 3700ms);
}

struct Scenario {
    const char *group, *name;
    std::function<void()> run;
};
const std::vector<Scenario> kScenarios{
    {"quiesce", "pipelining", a_pipelining_client_is_sent_away},
    {"quiesce", "behind_hanging", newer_requests_behind_a_hanging_one_hold_no_connection},
    {"quiesce", "old_request", an_old_request_alone_keeps_its_connection},
    {"quiesce", "idle_newcomer", an_idle_newcomer_is_sent_away_at_once},
    {"quiesce", "asking_newcomer", a_newcomer_that_asks_is_served_and_sent_away},
    {"quiesce", "slow_newcomer", a_newcomer_that_writes_slowly_is_served},
    {"quiesce", "partial", part_of_a_request_holds_no_connection},
    {"quiesce", "called_again", calling_again_puts_nothing_off},
    {"quiesce", "flood", a_flood_of_commands_holds_no_connection},
    {"quiesce", "unread", a_client_that_reads_nothing_holds_no_connection},
    {"quiesce", "wall_clock", a_stepped_wall_clock_changes_nothing},
    {"handover", "elapsed", a_handover_puts_nothing_off},
    {"handover", "predecessor", a_predecessor_sends_its_clients_away_too},
    {"handover", "wall_clock", a_stepped_wall_clock_changes_no_handover},
    {"shutdown", "pipelining", [] { a_pipelining_client_is_answered_before_the_end(kPiece); }},
    {"shutdown", "behind_hanging", [] { a_pipelining_client_is_answered_before_the_end(kHangingPiece); }},
};

} // namespace

// Runs the scenarios of a group, or only the named one.
int main(int argc, char **argv) {
    const std::string group = argc > 1 ? argv[1] : "", only = argc > 2 ? argv[2] : "";
    int ran = 0;
    for (const Scenario &scenario : kScenarios) {
        if (scenario.group != group || (!only.empty() && scenario.name != only))
            continue;
        fmt::print("{} {}\n", scenario.group, scenario.name);
        std::fflush(stdout);
        scenario.run();
        ++ran;
    }
    if (ran > 0)
        return 0;
    fmt::print(stderr, "usage: closing_test quiesce|handover|shutdown [scenario]\n");
    return 2;
}
