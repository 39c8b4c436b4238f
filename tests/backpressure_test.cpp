// Clients whose input the broker holds back, as many of their requests are open. What the broker holds back
// must neither be lost nor be taken for a client that has stopped in the middle of a message.
// Usage: backpressure_test SCENARIO
#include "helper.hpp"
#include "scenarios.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655", kPing = "*1\r\n$4\r\nPING\r\n";
constexpr int kMaxOpenRequests = 256; // of one connection; the broker parses no more until some are answered
constexpr auto kHeldBack = 3200ms;    // longer than the 2.5 s in which a client must complete a message
// The time within which a client that stops in the middle of a message gets its error.
constexpr auto kErrorLimit = 3s;
constexpr int kFirstWaitMs = 7000;
const std::string kLongDeadlines = settings_with_read_limit(7500);

// Two shards of one node each: that of shard 0 answers after `time` with `value`, that of shard 1 at once
// with the request's id.
struct Nodes {
    explicit Nodes(std::chrono::milliseconds time, std::string value = "late")
        : first([time, value](const auto &, int) {
              std::this_thread::sleep_for(time);
              return RespNode::served(value);
          }),
          second([](const auto &words, int) { return RespNode::served(words[2]); }),
          discovery(member("s-1", first.server.port, 0) + "," + member("s-2", second.server.port, 1)) {}
    void await_first() const {
        for (int n = 0; n < 1500 && first.taken().empty(); ++n)
            std::this_thread::sleep_for(10ms);
        assert(!first.taken().empty());
    }
    RespNode first, second;
    Discovery discovery;
};

std::string pings(int count) {
    std::string all;
    for (int n = 0; n < count; ++n)
        all += kPing;
    return all;
}
std::vector<std::string> fresh_ids(int count) {
    std::vector<std::string> ids;
    for (int n = 0; n < count; ++n)
        ids.push_back(fresh_id());
    return ids;
}
std::string reads_of_second(const std::vector<std::string> &ids) {
    std::string all;
    for (const std::string &id : ids)
        all += get(kPiece, 1, kFirstWaitMs, id);
    return all;
}
void expect_pongs(Socket &client, int count) {
    for (int n = 0; n < count; ++n) {
        const auto answer = client.value();
        assert(answer && answer->text == "PONG");
    }
}
// One answer for each request, in their order: its own value, or a refusal.
void expect_answers(Socket &client, const std::vector<std::string> &ids) {
    std::size_t served = 0;
    for (const std::string &id : ids) {
        const auto answer = client.value();
        assert(answer && (answer->text == id || answer->text.starts_with("BUSY")));
        served += answer->text == id;
    }
    assert(served > 0);
}

// Guards against an incident: the timeout of a partial message ran on while the broker itself held the rest
// of it back, so that the whole requests behind it were dropped and the connection ended.
void requests_behind_a_slow_one_are_answered() {
    const Nodes nodes(kHeldBack);
    const Program program(nodes.discovery, "", kLongDeadlines);
    Socket client = program.client();
    const auto ids = fresh_ids(100);
    const std::string reads = reads_of_second(ids);
    constexpr std::size_t kHalf = 40; // bytes of the first read
    client.send(get(kPiece, 0, kFirstWaitMs) + pings(kMaxOpenRequests - 1) + reads.substr(0, kHalf));
    nodes.await_first(); // the broker has parsed what came with it
    client.send(reads.substr(kHalf));
    assert(client.value()->text == "late");
    expect_pongs(client, kMaxOpenRequests - 1);
    expect_answers(client, ids);
    client.send(kPing); // the connection serves on
    expect_pongs(client, 1);
}

// The same, with more held back than the broker reads ahead. A client that stops in the middle of a message
// meanwhile gets its error in time.
void a_client_that_stops_behind_them_gets_its_error() {
    const Nodes nodes(kHeldBack);
    const Program program(nodes.discovery, "", kLongDeadlines);
    Socket client = program.client();
    const auto ids = fresh_ids(1000);
    const std::string reads = reads_of_second(ids);
    assert(reads.size() > 100'000); // the broker reads 64 KiB ahead
    constexpr std::size_t kHalf = 40;
    client.send(get(kPiece, 0, kFirstWaitMs) + pings(kMaxOpenRequests - 1) + reads.substr(0, kHalf));
    nodes.await_first();
    std::thread writer([&] { client.send(reads.substr(kHalf) + kPing.substr(0, 9)); });
    assert(client.value()->text == "late");
    const auto released = Clock::now();
    expect_pongs(client, kMaxOpenRequests - 1);
    expect_answers(client, ids);
    const auto error = client.value();
    assert(error && error->text.starts_with("ERR Protocol error"));
    assert(client.ended() && Clock::now() - released < kErrorLimit);
    writer.join();
}

// The same behind long values that the client is slow to read.
void requests_behind_values_read_slowly_are_answered() {
    const std::string value(3'000'000, 'v');
    constexpr int kValues = 3, kReceiveBufferBytes = 64 * 1024; // more than the socket buffers hold
    const Nodes nodes(0ms, value);
    const Program program(nodes.discovery, "", kLongDeadlines);
    Socket client = program.client();
    setsockopt(client.descriptor(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    const auto ids = fresh_ids(100);
    const std::string reads = reads_of_second(ids);
    constexpr std::size_t kHalf = 40;
    std::string values;
    for (int n = 0; n < kValues; ++n)
        values += get(kPiece, 0, kFirstWaitMs);
    // As the first value may fit into the buffers, the limit is to be reached without it.
    client.send(values + pings(kMaxOpenRequests) + reads.substr(0, kHalf));
    nodes.await_first();
    client.send(reads.substr(kHalf));
    std::this_thread::sleep_for(kHeldBack);
    for (int n = 0; n < kValues; ++n) {
        const auto answer = client.value();
        assert(answer && answer->text == value);
    }
    expect_pongs(client, kMaxOpenRequests);
    expect_answers(client, ids);
}

// Guards against a broken rule: a request that the broker had held back was given its whole time anew, so
// that its node was told a later deadline than its client's, and expired requests were forwarded.
void time_held_back_counts(int count) {
    constexpr int kShortWaitMs = 1500, kLongWaitMs = 6000;
    constexpr double kSlackMs = 150;
    std::map<std::string, Clock::time_point> due; // by request id: when its client stops waiting
    std::atomic<int> forwarded = 0, too_late = 0;
    RespNode first([](const auto &, int) {
        std::this_thread::sleep_for(kHeldBack);
        return RespNode::served("late");
    });
    RespNode second([&](const auto &words, int) {
        const std::chrono::duration<double, std::milli> left = due.at(words[2]) - Clock::now();
        ++forwarded;
        too_late += number_after(words[3], ",d=", 0) > left.count() + kSlackMs;
        return RespNode::served(words[2]);
    });
    const Discovery discovery(member("s-1", first.server.port, 0) + "," +
                              member("s-2", second.server.port, 1));
    const Program program(discovery, "", kLongDeadlines);
    Socket client = program.client();
    client.send(get(kPiece, 0, kFirstWaitMs) + pings(kMaxOpenRequests));
    while (first.taken().empty())
        std::this_thread::sleep_for(10ms);
    std::string reads;
    for (int n = 0; n < count; ++n) {
        const std::string id = fresh_id();
        const int wait_ms = n % 2 ? kShortWaitMs : kLongWaitMs;
        due[id] = Clock::now() + wait_ms * 1ms;
        reads += get(kPiece, 1, wait_ms, id);
    }
    std::thread writer([&] { client.send(reads); });
    assert(client.value()->text == "late");
    expect_pongs(client, kMaxOpenRequests);
    for (int n = 0; n < count; ++n)
        assert(client.value());
    writer.join();
    assert(forwarded > 0 && too_late == 0);
}

// Guards against refusing a client's message for lack of memory because of answers that the broker itself
// holds back: the message was a few bytes long, and the requests behind it were dropped.
void answers_held_back_do_not_count_as_a_message() {
    constexpr int kReads = 90; // of 60,000 bytes each: more than the 4 MB that this program has for clients
    RespNode first([](const auto &, int) {
        std::this_thread::sleep_for(2s);
        return RespNode::served("late");
    });
    RespNode second([](const auto &, int) { return RespNode::served(std::string(60'000, 'v')); });
    const Discovery discovery(member("s-1", first.server.port, 0) + "," +
                              member("s-2", second.server.port, 1));
    const Program program(discovery, "", kLongDeadlines);
    Socket client = program.client();
    client.send(get(kPiece, 0, kFirstWaitMs));
    for (int n = 0; n < kReads; ++n) { // one at a time, as a burst would be refused
        client.send(get(kPiece, 1, kFirstWaitMs));
        std::this_thread::sleep_for(5ms);
    }
    client.send(kPing.substr(0, 9));
    std::this_thread::sleep_for(200ms);
    client.send(kPing.substr(9) + kPing);
    assert(client.value()->text == "late");
    int refused = 0;
    for (int n = 0; n < kReads; ++n)
        refused += client.value()->text.starts_with("BUSY");
    assert(refused > 0); // memory was short
    expect_pongs(client, 2);
}

// A connection that the broker ends while it holds input back: every request has an answer first, a refusal
// at least, and the connection is ended in time. Guards against dropping what was read and not parsed.
void requests_held_back_are_answered_before_the_end(bool process_ends, int count) {
    constexpr auto kEndLimit = 4s; // after the call or signal; the process may be killed after 3.7 s
    const Nodes nodes(6s);         // answers when all is over
    Program program(nodes.discovery, "", kLongDeadlines);
    Socket client = program.client();
    const auto ids = fresh_ids(count);
    client.send(get(kPiece, 0, kFirstWaitMs) + pings(kMaxOpenRequests));
    nodes.await_first();
    std::thread writer([&] { client.send(reads_of_second(ids)); });
    std::this_thread::sleep_for(200ms);
    const auto called = Clock::now();
    if (process_ends)
        program.signal(SIGTERM);
    else
        assert(program.call("POST", "quiesce").first == 200);
    const auto first = client.value();
    assert(first && first->text.starts_with("BUSY"));
    expect_pongs(client, kMaxOpenRequests);
    for (const std::string &id : ids) {
        const auto answer = client.value();
        assert(answer && (answer->text == id || answer->text.starts_with("BUSY")));
    }
    assert(client.ended() && Clock::now() - called < kEndLimit);
    writer.join();
    if (process_ends)
        assert(program.exit_code() == 0 && Clock::now() - called < 3700ms);
}

constexpr Scenario kScenarios[] = {
    {"behind_slow", requests_behind_a_slow_one_are_answered},
    {"stopped", a_client_that_stops_behind_them_gets_its_error},
    {"behind_long_values", requests_behind_values_read_slowly_are_answered},
    {"quiesce", [] { requests_held_back_are_answered_before_the_end(false, 300); }},
    {"quiesce_unread", [] { requests_held_back_are_answered_before_the_end(false, 1500); }},
    {"shutdown", [] { requests_held_back_are_answered_before_the_end(true, 300); }},
    {"shutdown_unread", [] { requests_held_back_are_answered_before_the_end(true, 1500); }},
    {"memory", answers_held_back_do_not_count_as_a_message},
    {"deadlines", [] { time_held_back_counts(100); }},
    {"deadlines_unread", [] { time_held_back_counts(1000); }}, // more than the broker reads ahead
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
