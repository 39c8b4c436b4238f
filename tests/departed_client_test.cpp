// Clients that close their connection with requests open or unread, and requests that come again with the
// same id.
// Usage: departed_client_test SCENARIO
#include "crowd.hpp"
#include "scenarios.hpp"

#include <algorithm>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";
// Writes run at most once: nodes do not recognise a second copy.
const std::string kSettingsWithPlainWrites =
    replaced(kSettings, R"("dedup_window":4000.0,"effect":"deduplicated","group":"cell")",
             R"("effect":"at_most_once")");

// An attempt that begins later than this after its client closed its connection is a lost request.
constexpr auto kDepartureGrace = 100ms;

// Guards against forwarding requests that were still unread when their client closed its connection, while
// other clients keep the broker busy.
void unread_requests_are_not_forwarded() {
    constexpr int kClients = 10, kRequests = 300, kBusyClients = 300;
    std::mutex mutex;
    std::map<std::string, Clock::time_point> closed, forwarded; // by request id
    RespNode node([&](const auto &words, int) {
        const std::lock_guard lock(mutex);
        forwarded[words[2]] = Clock::now();
        return RespNode::served(words[2]);
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery, "", kSettings, {}, 0, "n0", {.memory_mb = 64, .sockets = 1024});
    std::string pings;
    for (int n = 0; n < 4000; ++n)
        pings += "*1\r\n$4\r\nPING\r\n";
    Crowd busy(program.port, {.connections = kBusyClients, .next = [&] { return pings; }});
    busy.run(1s);
    for (int n = 0; n < kClients; ++n) {
        std::vector<std::string> ids;
        std::string reads;
        for (int request = 0; request < kRequests; ++request) {
            ids.push_back(fresh_id());
            reads += get(kPiece, 0, 3000, ids.back());
        }
        Socket client = program.client();
        client.send(reads);
        busy.run(n * 10ms);
        client.close();
        const auto now = Clock::now();
        for (const std::string &id : ids)
            closed[id] = now;
        busy.run(400ms);
    }
    busy.run(1s);
    const std::lock_guard lock(mutex);
    const auto late = std::ranges::count_if(forwarded, [&](const auto &entry) {
        return entry.second > closed.at(entry.first) + kDepartureGrace;
    });
    fmt::print(stderr, "forwarded: {}, of these too late: {}\n", forwarded.size(), late);
    assert(late == 0);
}

std::string write_with_id(const std::string &id) {
    return resp::command({"OBJ.PUT", kPiece, id,
                          "c=new-write,t=standard,d=2500,volume=00000003b4d60021,units=2,"
                          "shard=0,hosts=1",
                          "body"});
}

// A node that takes its time over a write, so that it runs on when its client has gone.
struct SlowWrites {
    SlowWrites()
        : node([](const auto &, int) {
              std::this_thread::sleep_for(1s);
              return RespNode::served("OK");
          }),
          discovery(member("s-1", node.server.port, 0)) {}
    std::size_t runs_of(const std::string &id) const {
        const auto taken = node.taken();
        return static_cast<std::size_t>(
            std::ranges::count_if(taken, [&](const auto &words) { return words[2] == id; }));
    }
    void await_run(const std::string &id) const {
        for (int n = 0; n < 500 && runs_of(id) == 0; ++n)
            std::this_thread::sleep_for(10ms);
        assert(runs_of(id) == 1);
    }
    RespNode node;
    Discovery discovery;
};

// Guards against running a request twice that comes again with its id after its client has left.
void an_id_does_not_run_again_after_its_client_has_left() {
    const SlowWrites writes;
    const Program program(writes.discovery, "", kSettingsWithPlainWrites);
    const std::string id = fresh_id();
    {
        Socket first = program.client();
        first.send(write_with_id(id));
        writes.await_run(id);
    }
    std::this_thread::sleep_for(200ms); // the broker has seen that it left
    Socket second = program.client();
    second.send(write_with_id(id));
    const auto answer = second.value();
    assert(answer && answer->kind == resp::Value::Kind::Error);
    std::this_thread::sleep_for(1s);
    assert(writes.runs_of(id) == 1);
}

// The same, when the second comes to the new process of an upgrade.
void an_id_does_not_run_again_at_the_other_process() {
    const SlowWrites writes;
    const Program program(writes.discovery, "", kSettingsWithPlainWrites);
    const std::string id = fresh_id();
    Socket first = program.client();
    first.send(write_with_id(id));
    writes.await_run(id);
    const Program successor(program);
    Socket second = successor.client();
    second.send(write_with_id(id));
    const auto answer = second.value();
    assert(answer && answer->kind == resp::Value::Kind::Error);
    assert(first.value()->text == "OK");
    assert(writes.runs_of(id) == 1);
}

// The same, when the first has come to the new process, and the second to the old one, on a connection that
// this process keeps as another request is open on it.
void an_id_does_not_run_again_at_the_old_process() {
    const SlowWrites writes;
    const Program program(writes.discovery, "", kSettingsWithPlainWrites);
    const std::string id = fresh_id(), open_id = fresh_id();
    Socket old_connection = program.client();
    old_connection.send(write_with_id(open_id));
    writes.await_run(open_id);
    const Program successor(program);
    Socket first = successor.client();
    first.send(write_with_id(id));
    writes.await_run(id);
    old_connection.send(write_with_id(id));
    assert(old_connection.value()->text == "OK");
    const auto answer = old_connection.value();
    assert(answer && answer->kind == resp::Value::Kind::Error);
    assert(first.value()->text == "OK");
    assert(writes.runs_of(id) == 1);
}

constexpr Scenario kScenarios[] = {
    {"unread", unread_requests_are_not_forwarded},
    {"same_id", an_id_does_not_run_again_after_its_client_has_left},
    {"same_id_upgrade", an_id_does_not_run_again_at_the_other_process},
    {"same_id_upgrade_back", an_id_does_not_run_again_at_the_old_process},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
