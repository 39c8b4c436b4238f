// Clients that read what they are owed slowly, with pauses or not at all, while their connection ends.
// Usage: slow_client_test SCENARIO
#include "crowd.hpp"
#include "helper.hpp"
#include "scenarios.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655", kNextPiece = "00000000000000bb";
constexpr std::size_t kLongBytes = 3'000'000; // what the system takes at once
constexpr int kReceiveBufferBytes = 65'536;
constexpr Limits kAmple{.memory_mb = 128, .sockets = 512};

// Serves kPiece with a value of `bytes`, and each other piece with "next".
RespNode::Script node_of_long_values(std::size_t bytes = kLongBytes) {
    return [bytes](const std::vector<std::string> &words, int) {
        return RespNode::served(words[1] == kPiece ? std::string(bytes, 'v') : "next");
    };
}
struct Setup {
    explicit Setup(RespNode::Script script = node_of_long_values(), Limits limits = kAmple,
                   const std::string &settings = kSettings)
        : node(std::move(script)), discovery(member("s-1", node.server.port, 0)),
          program(discovery, "", settings, {}, 0, "n0", limits) {}
    RespNode node;
    Discovery discovery;
    Program program;
};

// A client whose system buffers little, so that what it does not read stays at the broker.
class SlowClient {
public:
    explicit SlowClient(int port) : socket_(Socket::to(port, kReceiveBufferBytes)), started_(Clock::now()) {}
    bool send(const std::string &bytes) const { return socket_.send(bytes); }
    // Reads `bytes_per_turn` every 10 ms until `until` after the start, or the end of the connection.
    void read_slowly(std::chrono::milliseconds until, std::size_t bytes_per_turn) {
        while (open_ && Clock::now() - started_ < until) {
            read(bytes_per_turn);
            std::this_thread::sleep_for(10ms);
        }
    }
    // Reads slowly until `bytes` have come, or the end of the connection.
    void read_slowly_up_to(std::size_t bytes, std::size_t bytes_per_turn) {
        while (open_ && received_.size() < bytes) {
            read(bytes_per_turn);
            std::this_thread::sleep_for(10ms);
        }
    }
    void read_to_the_end() {
        while (open_)
            read(65'536);
    }
    std::size_t received() const { return received_.size(); }
    // Removes the next whole answer; empty if there is none.
    std::optional<resp::Value> answer() {
        std::string_view bytes = received_;
        auto value = reader_.take(bytes);
        received_.erase(0, received_.size() - bytes.size());
        return value;
    }
    // Reads as fast as possible until there is an answer; empty at the end of the connection.
    std::optional<resp::Value> next_answer() {
        for (;;) {
            if (auto value = answer(); value || !open_)
                return value;
            read(65'536);
        }
    }
    void expect_value(std::size_t bytes) {
        const auto value = next_answer();
        if (!value)
            fmt::print(stderr, "{} bytes of {}, then: {}\n", received(), bytes, end_);
        else if (value->text.size() != bytes)
            fmt::print(stderr, "an answer of {} bytes: {:.40}\n", value->text.size(), value->text);
        assert(value && value->text == std::string(bytes, 'v'));
    }
    bool ended_in_order() const { return !open_ && end_ == "end"; }
    std::chrono::milliseconds age() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started_);
    }

private:
    void read(std::size_t most) {
        pollfd waiting{socket_.descriptor(), POLLIN, 0};
        assert(::poll(&waiting, 1, 15'000) > 0);
        std::string chunk(most, '\0');
        const auto got = ::recv(socket_.descriptor(), chunk.data(), chunk.size(), 0);
        if (got > 0)
            received_.append(chunk, 0, static_cast<std::size_t>(got));
        open_ = got > 0;
        if (!open_)
            end_ = got == 0 ? "end" : std::strerror(errno);
    }
    Socket socket_;
    const Clock::time_point started_;
    std::string received_;
    resp::Reader reader_{resp::kMaxNodeBulkBytes};
    bool open_ = true;
    std::string end_;
};

constexpr std::size_t kSlowly = 6'000; // a turn: 0.6 MB/s, so that a long value takes 5 s

// Guards against an idle end, 2 s after the system took a value that its client still reads.
void a_value_read_slowly_is_no_idle_connection() {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(3500ms, kSlowly);
    assert(client.send(get(kNextPiece)));
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    assert(client.next_answer()->text == "next");
    assert(setup.program.figures().at("clients_closed_idle") == 0);
}

// The same for many short answers, whose commands came at once.
void answers_to_a_pipeline_read_slowly_come_whole() {
    constexpr int kCommands = 60;
    constexpr std::size_t kBytes = 60'000;
    const std::string value(kBytes, 'v');
    Setup setup(node_of_long_values(kBytes));
    SlowClient client(setup.program.port);
    std::string commands;
    for (int n = 0; n < kCommands; ++n)
        commands += get(kPiece, 0, 5000);
    client.send(commands);
    client.read_slowly(3500ms, kSlowly);
    assert(client.send(get(kNextPiece)));
    client.read_slowly(4500ms, kSlowly);
    int served = 0;
    for (int n = 0; n < kCommands; ++n) {
        const auto answer = client.next_answer();
        assert(answer && (answer->text == value || answer->text.starts_with("BUSY")));
        served += answer->text == value;
    }
    fmt::print(stderr, "{} of {} commands served\n", served, kCommands);
    assert(served > kCommands / 2);
    assert(client.next_answer()->text == "next");
}

// Guards against a time for writing that counts from the begin of a write, however large, and not from when
// the client last took something.
void answers_that_take_long_to_write_come_whole() {
    constexpr std::size_t kBytesPerTurn = 1'000; // 0.1 MB/s: a full send buffer has room again after 13 s
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece) + get(kPiece));
    client.read_slowly(14'500ms, kBytesPerTurn);
    client.expect_value(kLongBytes);
    client.expect_value(kLongBytes);
}

// Guards against counting the seconds in which a client reads nothing as idle ones.
void a_client_that_pauses_gets_the_rest() {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(300ms, kSlowly);
    std::this_thread::sleep_for(3s);
    assert(client.send(get(kNextPiece)));
    client.expect_value(kLongBytes);
    assert(client.next_answer()->text == "next");
}

// A connection may rest for 2 s after its client has taken the value, and is ended then.
void a_connection_is_idle_once_its_answers_are_taken() {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    const auto taken = client.age();
    client.read_to_the_end();
    const auto rested = client.age() - taken;
    fmt::print(stderr, "ended {} ms after the value\n", rested.count());
    assert(client.ended_in_order() && rested > 1500ms && rested < 2700ms);
    assert(setup.program.figures().at("clients_closed_undelivered") == 0);
}

// Guards against an end by an operator that a late command turns into a reset.
void a_value_read_slowly_outlasts_a_quiesce() {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(200ms, kSlowly);
    assert(setup.program.call("POST", "quiesce").first == 200);
    client.read_slowly(4000ms, kSlowly);
    assert(client.send(get(kNextPiece)));
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    assert(client.next_answer()->text.starts_with("BUSY"));
    client.read_to_the_end();
    assert(client.ended_in_order());
}

// The same for a client that goes on sending, so that there is no moment between two requests.
void a_value_read_slowly_outlasts_a_quiesce_with_commands_behind_it() {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(200ms, kSlowly);
    assert(setup.program.call("POST", "quiesce").first == 200);
    for (auto at = 300ms; at < 4500ms; at += 100ms) {
        client.read_slowly(at, kSlowly);
        assert(client.send(get(kNextPiece)));
    }
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    client.read_to_the_end();
    assert(client.ended_in_order());
}

// A client that never reads and goes on sending does not outlast a quiesce: 4 s after the call no client may
// be held with a request from the last 2 s.
void a_client_that_never_reads_does_not_outlast_a_quiesce() {
    Setup setup;
    const SlowClient client(setup.program.port);
    client.send(get(kPiece));
    std::this_thread::sleep_for(200ms);
    assert(setup.program.call("POST", "quiesce").first == 200);
    const auto called = Clock::now();
    while (client.send(get(kNextPiece)) && Clock::now() - called < 8s)
        std::this_thread::sleep_for(10ms);
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - called);
    fmt::print(stderr, "held for {} ms\n", held.count());
    assert(held < 4s);
}

// Clients that never read do not keep the process from ending in its time.
void clients_that_never_read_do_not_outlast_a_shutdown() {
    constexpr auto kKillAfter = 2500ms + 700ms; // the longest deadline of kSettings
    Setup setup;
    std::list<SlowClient> clients;
    for (int n = 0; n < 60; ++n) {
        clients.emplace_back(setup.program.port);
        clients.back().send(get(kPiece) + (n % 2 == 0 ? get(kPiece) : ""));
    }
    std::this_thread::sleep_for(500ms);
    setup.program.signal(SIGTERM);
    const auto signalled = Clock::now();
    const int exit_code = setup.program.exit_code();
    const auto ended = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - signalled);
    fmt::print(stderr, "ended after {} ms\n", ended.count());
    assert(exit_code == 0 && ended < kKillAfter);
}

// Guards against an end of the process that a late command turns into a reset, before it has to end.
void a_value_read_slowly_outlasts_a_shutdown() {
    constexpr std::size_t kBytes = 2'000'000;
    constexpr auto kSignalAt = 200ms, kKillAfter = 2500ms + 700ms; // the longest deadline of kSettings
    Setup setup(node_of_long_values(kBytes));
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(kSignalAt, kSlowly);
    setup.program.signal(SIGTERM);
    client.read_slowly(kSignalAt + kKillAfter - 200ms, kSlowly);
    assert(client.send(get(kNextPiece)));
    const int exit_code = setup.program.exit_code();
    const auto exited = client.age();
    fmt::print(stderr, "the process ended {} ms after the signal\n", (exited - kSignalAt).count());
    assert(exit_code == 0 && exited < kSignalAt + kKillAfter);
    client.expect_value(kBytes);
    assert(client.next_answer()->text.starts_with("BUSY"));
    client.read_to_the_end();
}

// The process that takes over a connection does not know what was written to it.
void a_value_read_slowly_outlasts_an_upgrade() {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(300ms, kSlowly);
    Program successor(setup.program);
    setup.program.signal(SIGTERM);
    client.read_slowly(4000ms, kSlowly);
    assert(client.send(get(kNextPiece)));
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    assert(client.next_answer()->text == "next");
}

void a_value_outlasts_the_end_that_follows(const std::string &behind, const std::string &last_answer) {
    Setup setup;
    SlowClient client(setup.program.port);
    client.send(get(kPiece) + behind);
    for (auto at = 1000ms; at < 4000ms; at += 500ms) { // discarded
        client.read_slowly(at, kSlowly);
        client.send(get(kNextPiece));
    }
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    const auto last = client.next_answer();
    assert(last && last->text.starts_with(last_answer));
    client.read_to_the_end();
    assert(client.ended_in_order());
}
// Guards against a reset 0.2 s after the last answer was written, while the client still reads.
void a_value_outlasts_quit() {
    a_value_outlasts_the_end_that_follows("*1\r\n$4\r\nQUIT\r\n", "OK");
}
void a_value_outlasts_bad_input() {
    a_value_outlasts_the_end_that_follows("nonsense\r\n", "ERR Protocol error");
}

// Guards against losing the whole answers before a value that its node breaks off.
void a_value_outlasts_the_next_one_that_breaks_off() {
    constexpr std::size_t kBrokenBytes = 100'000;
    const Server node([](Socket &s) {
        while (const auto command = s.value()) {
            const bool whole = command->elements[1].text == kPiece;
            if (whole && !s.send(RespNode::served(std::string(kLongBytes, 'v'))))
                return;
            if (!whole && s.send(fmt::format("*3\r\n${}\r\n{}", kLongBytes, std::string(kBrokenBytes, 'v'))))
                return;
        }
    });
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery, "", kSettings, {}, 0, "n0", kAmple);
    SlowClient client(program.port);
    client.send(get(kPiece) + get(kNextPiece));
    client.read_slowly(3500ms, kSlowly);
    client.send(get(kNextPiece));
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    client.read_to_the_end();
    assert(client.ended_in_order() && !client.answer());
    while (program.figures().at("clients_open") > 0)
        std::this_thread::sleep_for(10ms);
    const auto figures = program.figures();
    assert(figures.at("clients_closed_broken_value") == 1 && figures.at("current") == 0);
}

// Guards against making room by ending the connection of a client that still reads its answer.
void a_value_read_slowly_outlasts_a_crowd() {
    constexpr int kCrowd = 200; // more than there are descriptors
    Setup setup(node_of_long_values(), {.memory_mb = 128, .sockets = 128});
    SlowClient client(setup.program.port);
    client.send(get(kPiece));
    client.read_slowly(300ms, kSlowly);
    std::list<Socket> crowd;
    for (int n = 0; n < kCrowd; ++n) {
        crowd.push_back(setup.program.client());
        crowd.back().send(get(kNextPiece));
        client.read_slowly(300ms + (n + 1) * 15ms, kSlowly);
    }
    assert(client.send(get(kNextPiece)));
    client.read_slowly_up_to(kLongBytes, kSlowly);
    client.expect_value(kLongBytes);
    assert(client.next_answer()->text == "next");
}

// A client that never reads holds its connection for a bounded time.
void a_client_that_never_reads_is_let_go() {
    constexpr auto kBound = 10s; // the README's
    Setup setup;
    const SlowClient client(setup.program.port);
    client.send(get(kPiece));
    std::this_thread::sleep_for(kBound - 2s);
    assert(setup.program.figures().at("clients_open") == 1);
    std::this_thread::sleep_for(3s);
    const auto figures = setup.program.figures();
    assert(figures.at("clients_open") == 0 && figures.at("clients_closed_not_reading") == 1);
}

constexpr Limits kCrowdLimits{.memory_mb = 32, .sockets = 512};

// What 600 clients that never read, of which one comes each `interval`, do to a client that asks every 20 ms,
// and to the process.
struct CrowdEffect {
    int answered = 0;
    int unanswered = 0; // the client's connection ended
    std::size_t most_descriptors = 0;
    std::size_t peak_memory_kb = 0;
    std::chrono::milliseconds ended_after{}; // from the last of the crowd's connections to the end of all
};

CrowdEffect run_crowd_that_never_reads(std::chrono::milliseconds interval) {
    constexpr int kCrowd = 600;
    constexpr auto kAsksFor = 3s; // after the last of the crowd has come
    constexpr auto kPause = 20ms;
    Setup setup(node_of_long_values(400'000), kCrowdLimits);
    Socket client = setup.program.client();
    client.send(get(kNextPiece));
    assert(client.value());
    std::list<Socket> crowd;
    std::atomic<bool> done = false;
    Clock::time_point complete;
    std::thread connecting([&] {
        for (int n = 0; n < kCrowd; ++n) {
            crowd.push_back(Socket::to(setup.program.port, kReceiveBufferBytes));
            crowd.back().send(get(kPiece));
            std::this_thread::sleep_for(interval);
        }
        complete = Clock::now();
        std::this_thread::sleep_for(kAsksFor);
        done = true;
    });
    CrowdEffect effect;
    while (!done) {
        const bool answered = client.send(get(kNextPiece)) && client.value();
        ++(answered ? effect.answered : effect.unanswered);
        if (!answered)
            client = setup.program.client();
        effect.most_descriptors = std::max(effect.most_descriptors, setup.program.descriptors());
        std::this_thread::sleep_for(kPause);
    }
    connecting.join();
    client.close();
    while (setup.program.figures().at("clients_open") > 0)
        std::this_thread::sleep_for(kPause);
    effect.ended_after = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - complete);
    effect.peak_memory_kb = setup.program.peak_memory_kb();
    fmt::print(stderr, "{} answered, {} not; at most {} descriptors, {} kB; all ended after {} ms\n",
               effect.answered, effect.unanswered, effect.most_descriptors, effect.peak_memory_kb,
               effect.ended_after.count());
    return effect;
}

void expect_bounded(const CrowdEffect &effect) {
    // A request's time, by which its answer has begun; how late an answer may be; the README's time from then
    // on.
    constexpr auto kBound = 1500ms + 500ms + 10s;
    assert(effect.most_descriptors <= static_cast<std::size_t>(kCrowdLimits.sockets));
    assert(effect.ended_after < kBound);
}

// Guards against clients that never read and push out one that asks, or hold descriptors for long.
void a_crowd_that_never_reads_pushes_out_no_client() {
    const CrowdEffect effect = run_crowd_that_never_reads(2ms);
    expect_bounded(effect);
    assert(effect.unanswered == 0 && effect.answered > 50);
}
// The same for a crowd that comes at once.
void a_crowd_that_never_reads_pushes_out_no_client_at_once() {
    const CrowdEffect effect = run_crowd_that_never_reads(0ms);
    expect_bounded(effect);
    assert(effect.unanswered == 0 && effect.answered > 50);
}
// Guards against clients that never read and take the process's memory.
void a_crowd_that_never_reads_takes_little_memory() {
    constexpr std::size_t kKilobytes = 1024;
    assert(run_crowd_that_never_reads(2ms).peak_memory_kb < kCrowdLimits.memory_mb * kKilobytes);
}

constexpr Scenario kScenarios[] = {
    {"idle", a_value_read_slowly_is_no_idle_connection},
    {"pipeline", answers_to_a_pipeline_read_slowly_come_whole},
    {"long_write", answers_that_take_long_to_write_come_whole},
    {"pause", a_client_that_pauses_gets_the_rest},
    {"idle_after", a_connection_is_idle_once_its_answers_are_taken},
    {"quiesce", a_value_read_slowly_outlasts_a_quiesce},
    {"quiesce_sending", a_value_read_slowly_outlasts_a_quiesce_with_commands_behind_it},
    {"quiesce_never", a_client_that_never_reads_does_not_outlast_a_quiesce},
    {"shutdown_never", clients_that_never_read_do_not_outlast_a_shutdown},
    {"shutdown", a_value_read_slowly_outlasts_a_shutdown},
    {"upgrade", a_value_read_slowly_outlasts_an_upgrade},
    {"quit", a_value_outlasts_quit},
    {"bad_input", a_value_outlasts_bad_input},
    {"broken_value", a_value_outlasts_the_next_one_that_breaks_off},
    {"eviction", a_value_read_slowly_outlasts_a_crowd},
    {"never", a_client_that_never_reads_is_let_go},
    {"never_crowd", a_crowd_that_never_reads_pushes_out_no_client},
    {"never_burst", a_crowd_that_never_reads_pushes_out_no_client_at_once},
    {"never_crowd_memory", a_crowd_that_never_reads_takes_little_memory},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
