/// \file
/// Tests cells over sockets, with a coordinator and two brokers as processes and one node per broker.
#include "helper.hpp"

#include <random>
#include <set>

using namespace test;

namespace {

const std::string kVolume = "00000003b4d60021", kPiece = "7f3a9c21e0b4d655";
// The settings of helper.hpp with a shorter deduplication window, so that a restarted broker soon knows all
// keys that are still valid.
std::string settings() {
    const std::string shorter = replaced(kSettings, R"("dedup_window":4000.0)", R"("dedup_window":1500.0)");
    return replaced(shorter, R"("hard_limit":2500.0)", R"("hard_limit":1000.0)");
}

// Two cells of one broker and one node each.
struct Installation {
    using Script = RespNode::Script;
    explicit Installation(Script a, Script b)
        : node_a(std::move(a)), node_b(std::move(b)),
          discovery(member("s-a", node_a.server.port, 0) + "," + member("s-b", node_b.server.port, 0)) {
        std::string name = std::filesystem::temp_directory_path() / "marblewood-XXXXXX";
        assert(::mkdtemp(name.data()));
        folder = name;
        operators = fmt::format(
            R"({{"cells":{{"keeper":{{"link":"127.0.0.1:{}","control":"127.0.0.1:{}"}},"state":"{}","spread":1,)"
            R"("evacuate_drained":false,"cells":[)"
            R"({{"name":"a","capacity":1000,"brokers":[{{"name":"n-a","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}}],"nodes":["s-a"]}},)"
            R"({{"name":"b","capacity":1000,"brokers":[{{"name":"n-b","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}}],"nodes":["s-b"]}}]}}}})",
            coordinator_link, control, folder.string(), port_a, link_a, port_b, free_port());
        std::ofstream(folder / "operator.json") << operators;
        start_coordinator();
        start_a();
        start_b();
        await_quorum();
        // All tests begin with the volume in cell a, whichever cell the hash chooses.
        for (int n = 0; n < 1000 && where().find("cell a\n") == std::string::npos; ++n) {
            cells("POST", "move", kVolume + " a");
            std::this_thread::sleep_for(10ms);
        }
        assert(where().find("cell a\n") != std::string::npos);
        await_no_migration();
    }
    ~Installation() {
        coordinator.kill(); // the processes must end before their directory is removed
        broker_a.reset();
        broker_b.reset();
        std::filesystem::remove_all(folder);
    }
    void start_coordinator() {
        coordinator.start({"keeper", "--operator", folder / "operator.json"}, folder / "keeper.log", folder,
                          0);
    }
    void start_a() {
        broker_a.emplace(discovery, operators, settings(), std::filesystem::path(), port_a, "n-a");
    }
    void start_b() {
        broker_b.emplace(discovery, operators, settings(), std::filesystem::path(), port_b, "n-b");
    }
    std::pair<int, std::string> cells(const std::string &method, const std::string &what,
                                      const std::string &body = "") const {
        return admin_call(control, method, "cells/" + what, body);
    }
    std::string where() const { return cells("GET", "where/" + kVolume).second; }
    // Waits until both brokers have reported to the coordinator that their node is ready.
    void await_quorum() const {
        for (int n = 0; n < 1000; ++n, std::this_thread::sleep_for(10ms)) {
            const std::string list = cells("GET", "list").second;
            if (list.find("not settled") != std::string::npos)
                continue;
            std::size_t ready = 0;
            for (std::size_t at = 0; (at = list.find("ready nodes 1/1", at)) != std::string::npos; ++at)
                ++ready;
            if (ready == 2)
                return;
        }
        assert(!"never settled");
    }
    void await_no_migration() const {
        for (int n = 0; n < 1500; ++n, std::this_thread::sleep_for(10ms))
            if (const auto [status, list] = cells("GET", "list");
                status == 200 && list.find("moving") == std::string::npos)
                return;
        assert(!"a move without end");
    }
    // Retries the migration, because it is aborted as long as a restarted source may not know all keys.
    void move(const std::string &to) const {
        for (int n = 0; n < 10; ++n) {
            await_no_migration();
            cells("POST", "move", kVolume + " " + to);
            await_no_migration();
            if (where().find("cell " + to + "\n") != std::string::npos)
                return;
        }
        assert(!"it did not move");
    }
    std::uint64_t epoch() const {
        const std::string text = where();
        return std::strtoull(text.c_str() + text.find("epoch ") + 6, nullptr, 10);
    }

    RespNode node_a, node_b;
    const Discovery discovery;
    std::filesystem::path folder;
    const int control = free_port(), port_a = free_port(), port_b = free_port();
    const int coordinator_link = free_port(), link_a = free_port();
    std::string operators;
    Child coordinator;
    std::optional<Program> broker_a, broker_b;
};

// The connections of `count` clients, which send a read each at once, and again if they are refused. Each has
// then begun to receive the long value.
std::list<Socket> begin_long_reads(const Program &broker, int count) {
    constexpr std::size_t kFirstBytes = 1000;
    std::list<Socket> clients;
    for (int n = 0; n < count; ++n)
        clients.emplace_back(broker.client()).send(get(kPiece));
    for (Socket &client : clients)
        while (client.in.size() < kFirstBytes) {
            assert(client.more());
            if (!client.in.starts_with("-BUSY"))
                continue;
            client.in.clear();
            client.send(get(kPiece));
        }
    return clients;
}

RespNode::Script serving(const std::string &value) {
    return [value](const auto &, int) { return RespNode::served(value); };
}
std::string request(const Program &broker, const std::string &command) {
    Socket client = broker.client();
    client.send(command);
    return client.value()->text;
}

void a_migration_survives_a_restart_of_the_coordinator() {
    Installation installation(serving("a"), serving("b"));
    assert(request(*installation.broker_a, get(kPiece)) == "a");
    assert(request(*installation.broker_b, get(kPiece)) == "a"); // forwarded to the home cell
    installation.move("b");
    assert(request(*installation.broker_a, get(kPiece)) == "b");
    assert(request(*installation.broker_b, get(kPiece)) == "b");
    assert(installation.where().find("pinned by an operator") != std::string::npos);
    // Brokers continue to serve without a coordinator. A restarted coordinator continues from its state file.
    const std::uint64_t before = installation.epoch();
    installation.coordinator.kill();
    assert(request(*installation.broker_a, get(kPiece)) == "b");
    assert(installation.broker_a->call("GET", "cells/list").first == 503);
    assert(installation.broker_a->call("GET", "cells/here").second.find("cell a\n") != std::string::npos);
    installation.start_coordinator();
    installation.await_quorum();
    assert(installation.where().find("cell b\n") != std::string::npos && installation.epoch() > before);
    // Operators can send calls to any broker.
    assert(installation.broker_a->call("GET", "cells/where/" + kVolume).second.find("cell b\n") !=
           std::string::npos);
    assert(installation.broker_a->call("POST", "cells/move", kVolume + " nowhere").first == 409);
    assert(installation.broker_a->call("POST", "cells/where/" + kVolume).first == 405);
    assert(installation.broker_a->call("GET", "cells/nonsense").first == 404);
    // The coordinator may have been killed before it saved the end of the migration; it then resumes the
    // migration.
    installation.await_no_migration();
    assert(installation.broker_a->call("POST", "cells/pin", kVolume).second.find("already") !=
           std::string::npos);
    assert(installation.broker_a->call("POST", "cells/pin", "nonsense").first == 409);
}

// During a migration an open request ends at the source, and new requests wait and are served by the target.
void requests_wait_for_a_migration() {
    std::atomic<bool> hold = false, go = false;
    Installation installation(
        [&](const auto &, int) {
            if (hold) {
                hold = false;
                while (!go)
                    std::this_thread::sleep_for(1ms);
            }
            return RespNode::served("a");
        },
        serving("b"));
    installation.move("b");
    installation.move("a"); // now both brokers know all valid keys
    hold = true;
    Socket first = installation.broker_a->client(), second = installation.broker_a->client();
    first.send(get(kPiece, 0, 5000));
    while (hold)
        std::this_thread::sleep_for(1ms);
    assert(installation.cells("POST", "move", kVolume + " b").first == 200);
    for (int n = 0;
         installation.broker_a->call("GET", "cells/here").second.find("fenced 1\n") == std::string::npos;
         ++n) {
        assert(n < 1000);
        std::this_thread::sleep_for(2ms);
    }
    second.send(get(kPiece, 0, 5000));
    assert(second.silent_for(100));
    go = true;
    assert(first.value()->text == "a");
    assert(second.value()->text == "b");
}

// A write with an idempotency key fails before the migration. Its repeat after the migration reaches the node
// of the first attempt.
void a_repeat_reaches_the_node_of_the_first_attempt() {
    std::atomic<bool> fail_writes = false;
    Installation installation(
        [&](const std::vector<std::string> &words, int) {
            return words[0] == "OBJ.PUT" && fail_writes ? std::string("-ERR failed\r\n")
                                                        : RespNode::served("a");
        },
        serving("b"));
    installation.move("b");
    installation.move("a");
    fail_writes = true;
    const auto write = [&](const std::string &key) {
        return resp::command(
            {"OBJ.PUT", kPiece, fresh_id(),
             fmt::format("c=new-write,t=standard,d=400,k={},volume={},units=2,shard=0,hosts=1", key, kVolume),
             "body"});
    };
    const std::string key = "5c0f6e1a2b3d4c59";
    assert(request(*installation.broker_a, write(key)).starts_with("ERR"));
    fail_writes = false;
    const std::size_t requests_at_b = installation.node_b.taken().size();
    assert(installation.cells("POST", "move", kVolume + " b").first == 200);
    // The repeat may have to wait for the migration, and is then routed back to this broker. It is rejected
    // if it has waited for 0.3 of its timeout; the client may then retry with the same key.
    std::string answer = "BUSY";
    for (int n = 0; n < 20 && answer.starts_with("BUSY"); ++n)
        answer = request(*installation.broker_a, write(key));
    assert(answer == "a");
    installation.await_no_migration();
    assert(request(*installation.broker_b, write(key)) == "a");
    assert(installation.node_b.taken().size() == requests_at_b);
    assert(request(*installation.broker_b, write("ffffffffffffffff")) == "b");
}

// A broker that starts without a coordinator serves according to the map in its state file. Without that file
// it rejects requests.
void a_broker_starts_without_the_coordinator() {
    Installation installation(serving("a"), serving("b"));
    installation.move("b");
    installation.coordinator.kill();
    installation.broker_b.reset();
    installation.start_b();
    for (int n = 0; request(*installation.broker_b, get(kPiece)) != "b";
         ++n) { // the broker may not have discovered its node yet
        assert(n < 1000);
        std::this_thread::sleep_for(10ms);
    }
    installation.broker_b.reset();
    std::filesystem::remove(installation.folder / "n-b.cells");
    installation.start_b();
    assert(request(*installation.broker_b, get(kPiece)).starts_with("BUSY"));
    assert(request(*installation.broker_a, get(kPiece))
               .starts_with("BUSY")); // forwarded to broker b, which rejects it
}

// Brokers in cells watch the endpoint list at discovery.
void a_broker_in_a_cell_watches_the_endpoint_list() {
    Installation installation(serving("a"), serving("b"));
    installation.discovery.await_taken(2); // one watch per broker
}

// On SIGHUP, the coordinator rejects a malformed file without any change, and applies a changed capacity.
void the_layout_is_reloaded() {
    Installation installation(serving("a"), serving("b"));
    const auto log_contains = [&](const std::string &words) {
        for (int n = 0; n < 1000; ++n, std::this_thread::sleep_for(10ms)) {
            std::ostringstream text;
            text << std::ifstream(installation.folder / "keeper.log").rdbuf();
            if (text.str().find(words) != std::string::npos)
                return true;
        }
        return false;
    };
    std::string changed = installation.operators;
    changed.replace(changed.find("\"capacity\":1000"), 15, "\"capacity\":2500");
    std::ofstream(installation.folder / "operator.json") << changed.substr(1);
    installation.coordinator.signal(SIGHUP);
    assert(log_contains("coordinator_layout_rejected reason=\"malformed JSON"));
    std::ofstream(installation.folder / "operator.json") << changed;
    installation.coordinator.signal(SIGHUP);
    assert(log_contains("coordinator_layout_reloaded cells=2"));
    assert(installation.cells("GET", "list").second.find("a capacity 2500") != std::string::npos);
    assert(request(*installation.broker_b, get(kPiece)) == "a");
}

// Sends random bytes to the link ports of the coordinator and a broker.
void malformed_bytes_end_only_their_connection() {
    Installation installation(serving("a"), serving("b"));
    std::mt19937_64 random(7);
    for (const int port : {installation.coordinator_link, installation.link_a}) {
        for (int n = 0; n < 60; ++n) {
            Socket caller = Socket::to(port);
            std::string bytes(1 + random() % 200, '\0');
            for (char &c : bytes)
                c = static_cast<char>(random());
            if (n % 3)
                bytes.insert(0, {'\0', '\0', '\0', static_cast<char>(bytes.size())}); // a valid length prefix
            caller.send(bytes);
            if (n % 2)
                caller.shut();
        }
        Socket large = Socket::to(port);
        large.send(std::string("\x7f\xff\xff\xff", 4));
        assert(large.ended());
    }
    assert(request(*installation.broker_a, get(kPiece)) == "a");
    installation.move("b");
    assert(request(*installation.broker_a, get(kPiece)) == "b");
}

// Guards against closing an operator's connection while the broker itself waits for the coordinator: the time
// for receiving a call went on during its execution.
void a_call_sent_slowly_is_answered_without_the_coordinator() {
    Installation installation(serving("a"), serving("b"));
    installation.coordinator.kill();
    Socket caller = Socket::to(installation.broker_a->control);
    caller.send("GET /admin/cells/list HTTP/1.1\r\n");
    std::this_thread::sleep_for(1s); // of the 2 s that a caller has; the coordinator has 1.5 s for its reply
    caller.send("Host: broker\r\n\r\n");
    caller.ended();
    assert(caller.in.starts_with("HTTP/1.1 503 "));
}

// An invalid layout is reported with field and line, and the coordinator does not start.
void a_wrong_layout_names_the_field() {
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / fmt::format("marblewood-{}", ::getpid());
    std::filesystem::create_directories(folder);
    const auto startup_error = [&](const std::string &cells) {
        std::ofstream(folder / "operator.json") << cells;
        Child coordinator;
        std::filesystem::remove(folder / "log");
        coordinator.start({"keeper", "--operator", folder / "operator.json"}, folder / "log", folder, 0);
        assert(coordinator.exit_code() == 1);
        std::ostringstream text;
        text << std::ifstream(folder / "log").rdbuf();
        return text.str();
    };
    const std::string head =
        "{\"cells\": {\"keeper\": {\"link\": \"127.0.0.1:1\", \"control\": \"127.0.0.1:2\"},\n";
    const std::string broker = R"({"name": "x", "clients": "127.0.0.1:3", "link": "127.0.0.1:4"})";
    assert(startup_error("{}").find("missing field 'cells'") != std::string::npos);
    assert(startup_error(head + "\"cells\": []}}").find("line 2: field 'cells.cells'") != std::string::npos);
    const std::string negative =
        startup_error(head + "\"cells\": [\n{\"name\": \"a\",\n\"capacity\": -1, \"brokers\": [" + broker +
                      "], \"nodes\": []}]}}");
    assert(negative.find("line 4: field 'cells.cells[0].capacity'") != std::string::npos);
    assert(startup_error(head +
                         "\"unknown\": 1, \"cells\": [{\"name\": \"a\", \"capacity\": 1, \"brokers\": [" +
                         broker + "], \"nodes\": []}]}}")
               .find("'unknown'") != std::string::npos);
    assert(startup_error(head + "\"cells\": [{\"name\": \"a\", \"capacity\": 1, \"brokers\": [" + broker +
                         "], \"nodes\": [\"s\"]},"
                         "{\"name\": \"b\", \"capacity\": 1, \"brokers\": [" +
                         broker + "], \"nodes\": []}]}}")
               .find("broker 'x' stands in more than one place") != std::string::npos);
    std::filesystem::remove_all(folder);
}

// Guards against a broker that holds the long values which it forwards whole, and passes its memory limit
// (review/10).
void long_values_are_forwarded_as_they_come() {
    constexpr int kClients = 30;
    constexpr std::size_t kMostKilobytes = std::size_t{Limits{}.memory_mb} * 1024;
    const std::string value(resp::kMaxNodeBulkBytes, 'v');
    Installation installation(serving(value), serving("b"));
    const std::size_t before = installation.broker_b->memory_kb();
    std::list<Socket> clients = begin_long_reads(*installation.broker_b, kClients);
    const std::size_t peak = installation.broker_b->peak_memory_kb();
    fmt::print(stderr, "memory: {} kB, then at most {} kB\n", before, peak);
    assert(peak < before + kMostKilobytes);
    std::this_thread::sleep_for(1600ms); // beyond the time of the reads
    for (Socket &client : clients)
        assert(client.value()->text == value);
    assert(request(*installation.broker_b, get(kPiece)) == value); // the connections are used again
}

// Guards against a forwarded value that is taken for whole although it breaks off, and against one that goes
// on after its client has left.
void a_forwarded_long_value_can_break_off() {
    const std::string part = fmt::format("*3\r\n${}\r\n{}", 3'000'000, std::string(200'000, 'v'));
    Installation installation([&](const auto &, int) { return part; }, serving("b"));
    {
        std::list<Socket> leaving = begin_long_reads(*installation.broker_b, 1);
        assert(installation.broker_a->figures().at("current") == 1);
    }
    for (int n = 0; n < 200 && installation.broker_a->figures().at("current") > 0; ++n)
        std::this_thread::sleep_for(10ms);
    assert(installation.broker_a->figures().at("current") == 0);
    std::list<Socket> clients = begin_long_reads(*installation.broker_b, 1);
    clients.front().ended();
    assert(clients.front().in.size() < 3'000'000);
}

} // namespace

int main() {
    long_values_are_forwarded_as_they_come();
    a_forwarded_long_value_can_break_off();
    a_wrong_layout_names_the_field();
    a_migration_survives_a_restart_of_the_coordinator();
    requests_wait_for_a_migration();
    a_repeat_reaches_the_node_of_the_first_attempt();
    a_broker_starts_without_the_coordinator();
    a_broker_in_a_cell_watches_the_endpoint_list();
    malformed_bytes_end_only_their_connection();
    the_layout_is_reloaded();
    a_call_sent_slowly_is_answered_without_the_coordinator();
}
