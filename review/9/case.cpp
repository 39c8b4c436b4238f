/// \file
/// A volume migrates from cell a to cell b shortly after a write whose answer was lost, and the broker of
/// cell b is restarted. The client repeats the write with its idempotency key; it must not run a second time.
#include "../common-2/harness.hpp"

using namespace review;

namespace {

const std::string kVolume = "00000003b4d60021";
const std::string kPiece = "7f3a9c21e0b4d655";
const std::string kKey = "5c0f6e1a2b3d4c59";
constexpr double kWindowSeconds = 4.0; // of the class new-write
constexpr int kWaitMs = 2500;

/// A RESP2 node that drops a repeat of a key for the window, as the nodes of one group do.
class KeyedNode {
public:
    KeyedNode(std::string id, Record &record)
        : id_(std::move(id)), record_(record),
          node([this](const std::vector<std::string> &words, int) { return serve(words); }) {}
    std::atomic<int> delay_ms = 0; ///< from running a write to its answer
    std::atomic<int> runs = 0;     ///< of writes of kKey

private:
    std::string serve(const std::vector<std::string> &words) {
        if (words[0] != "OBJ.PUT")
            return test::RespNode::served("v");
        const bool same_key = words[3].find("k=" + kKey) != std::string::npos;
        const bool repeat = same_key && last_run_ >= 0 && record_.seconds() - last_run_ < kWindowSeconds;
        record_.line("node {}: {} the write {} ({})", id_, repeat ? "drops the repeat of" : "runs", words[2],
                     words[3]);
        if (same_key && !repeat) {
            ++runs;
            last_run_ = record_.seconds();
        }
        std::this_thread::sleep_for(delay_ms.load() * 1ms);
        return test::RespNode::served("OK");
    }
    const std::string id_;
    Record &record_;
    std::atomic<double> last_run_ = -1;

public:
    test::RespNode node;
};

std::string cells_call(int control, const std::string &method, const std::string &call,
                       const std::string &body = "") {
    return test::admin_call(control, method, "cells/" + call, body).second;
}

template <typename Condition> void await(const char *what, Condition condition, int seconds) {
    for (int n = 0; n < seconds * 100; ++n, std::this_thread::sleep_for(10ms))
        if (condition())
            return;
    cannot_run(what);
}

} // namespace

int main(int, char **arguments) {
    const std::string root = arguments[1];
    Record record(arguments[2]);
    const Folder folder;
    KeyedNode node_a("s-a", record);
    KeyedNode node_b("s-b", record);
    const test::Discovery discovery(test::member("s-a", node_a.node.server.port, 0) + "," +
                                    test::member("s-b", node_b.node.server.port, 0));
    const int control = test::free_port();
    BrokerSetup broker_a;
    broker_a.name = "n-a";
    broker_a.discovery = discovery.port();
    broker_a.known = discovery.known();
    BrokerSetup broker_b = broker_a;
    broker_b.name = "n-b";
    broker_b.port = test::free_port();
    broker_b.control = test::free_port();
    const std::string operators = fmt::format(
        R"({{"cells":{{"keeper":{{"link":"127.0.0.1:{}","control":"127.0.0.1:{}"}},"state":"{}","spread":1,)"
        R"("evacuate_drained":false,"cells":[)"
        R"({{"name":"a","capacity":1000,"brokers":[{{"name":"n-a","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}}],"nodes":["s-a"]}},)"
        R"({{"name":"b","capacity":1000,"brokers":[{{"name":"n-b","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}}],"nodes":["s-b"]}}]}}}})",
        test::free_port(), control, folder.make("state"), broker_a.port, test::free_port(), broker_b.port,
        test::free_port());
    broker_a.operators = broker_b.operators = operators;
    const std::string file = folder.write("cells.json", operators);
    Process keeper(root, "exec build/marblewood keeper --operator " + file, {}, folder.path("keeper.log"));
    Process process_a = start_broker(root, folder, broker_a);
    Process process_b = start_broker(root, folder, broker_b);
    const auto is_home = [&](const std::string &cell) {
        return cells_call(control, "GET", "where/" + kVolume).find("cell " + cell + "\n") !=
               std::string::npos;
    };
    const auto moving = [&] {
        return cells_call(control, "GET", "list").find("moving") != std::string::npos;
    };
    await(
        "the cells did not settle",
        [&] {
            const std::string list = cells_call(control, "GET", "list");
            const std::size_t first = list.find("ready nodes 1/1");
            return first != std::string::npos && list.find("ready nodes 1/1", first + 1) != std::string::npos;
        },
        10);
    // A broker that has just started knows all keys only after the window and the deadline together.
    std::this_thread::sleep_for(7s);
    if (!is_home("a"))
        record.line("operator: move of {} to a: {}", kVolume,
                    cells_call(control, "POST", "move", kVolume + " a"));
    await(
        "the volume did not get into cell a", [&] { return is_home("a") && !moving(); }, 10);

    node_a.delay_ms = 300;
    const double written_at = record.seconds();
    {
        test::Socket client = test::Socket::to(broker_a.port);
        client.send(put(kPiece, kKey, "photo", kWaitMs, kVolume));
        record.line("client: sends a write with key {} to n-a", kKey);
        std::this_thread::sleep_for(100ms);
        client.reset();
        record.line("client: its connection is reset before the answer");
    }
    std::this_thread::sleep_for(300ms);
    record.line("operator: move of {} to b: {}", kVolume,
                cells_call(control, "POST", "move", kVolume + " b"));
    await(
        "the volume did not migrate", [&] { return is_home("b") && !moving(); }, 3);
    record.line("operator: the volume is in cell b");
    if (trouble()) {
        process_b.kill();
        record.line("broker n-b: killed");
        std::filesystem::remove_all(folder.path("n-b"));
        process_b = start_broker(root, folder, broker_b);
        record.line("broker n-b: started again");
        await(
            "n-b has no map",
            [&] { return cells_call(broker_b.control, "GET", "here").find("cell b\n") != std::string::npos; },
            3);
    }
    Reply reply{Reply::Kind::Refused, ""};
    for (int n = 0; n < 10 && reply.kind == Reply::Kind::Refused; ++n, std::this_thread::sleep_for(100ms)) {
        test::Socket client = test::Socket::to(broker_b.port);
        client.send(put(kPiece, kKey, "photo", kWaitMs, kVolume));
        reply = read_reply(client);
        record.line("client: repeats the write with key {} at n-b, {:.1f} s after the first: {}", kKey,
                    record.seconds() - written_at, name(reply.kind));
    }
    const bool within_window = record.seconds() - written_at < kWindowSeconds;
    const int runs = node_a.runs + node_b.runs;
    record.line("the write has run {} times; within the window of {} s: {}", runs, kWindowSeconds,
                within_window ? "yes" : "no");
    if (!within_window || node_a.runs != 1)
        return kNotRun;
    return runs > 1 ? kBroken : kHeld;
}
