/// \file
/// A broker of a cell is replaced while it serves: a new process is started beside it. Every request that is
/// written to a connection must get its answer.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int kWaitMs = 1500;              // of the class `read`
constexpr double kLostAfterSeconds = 2.05; // its time, half a second, and the slack of 50 ms
constexpr auto kBetweenRequests = 50ms;
constexpr double kPlayedSeconds = 13;
constexpr double kReplacedAt = 2;

std::string cells_list(int control) {
    return test::admin_call(control, "GET", "cells/list").second;
}

struct Totals {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> lost = 0;
};

/// Sends one read on a new connection, as a client does that has none, and waits for the answer.
void ask(Record &record, int port, int number, Totals &totals) {
    const int descriptor = dial(port);
    if (descriptor < 0) {
        record.line("client {}: its connection is refused", number);
        return; // turned back unheard: no break of this rule
    }
    test::Socket client(descriptor);
    const double sent_at = record.seconds();
    client.send(test::get(fmt::format("{:016x}", 0x100 + number), 0, kWaitMs));
    ++totals.sent;
    record.line("client {}: sends a read, for {} ms", number, kWaitMs);
    // Waits longer than the answer may take, so that a late one can be told from none.
    constexpr int kPatienceMs = 12'000;
    pollfd readable{client.descriptor(), POLLIN, 0};
    const bool heard = ::poll(&readable, 1, kPatienceMs) > 0;
    const Reply reply = heard ? read_reply(client) : Reply{};
    const double took = record.seconds() - sent_at;
    const bool lost = reply.kind == Reply::Kind::Closed || took > kLostAfterSeconds;
    totals.served += reply.kind == Reply::Kind::Served && !lost ? 1 : 0;
    totals.lost += lost ? 1 : 0;
    record.line("client {}: {} after {:.3f} s{}", number, heard ? name(reply.kind) : "no answer", took,
                lost ? ", LOST" : "");
}

} // namespace

int main(int, char **arguments) {
    const std::string root = arguments[1];
    Record record(arguments[2]);
    const Folder folder;
    test::RespNode node_a([](const auto &, int) { return test::RespNode::served("v"); });
    test::RespNode node_b([](const auto &, int) { return test::RespNode::served("v"); });
    const test::Discovery discovery(test::member("s-a", node_a.server.port, 0) + "," +
                                    test::member("s-b", node_b.server.port, 0));
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
    Process keeper(root, "exec build/marblewood keeper --operator " + folder.write("cells.json", operators),
                   {}, folder.path("keeper.log"));
    Process process_a = start_broker(root, folder, broker_a);
    Process process_b = start_broker(root, folder, broker_b);
    for (int n = 0;; ++n, std::this_thread::sleep_for(10ms)) {
        const std::string list = cells_list(control);
        const std::size_t first = list.find("ready nodes 1/1");
        if (first != std::string::npos && list.find("ready nodes 1/1", first + 1) != std::string::npos)
            break;
        if (n == 1000)
            cannot_run("the cells did not settle");
    }

    Totals totals;
    std::list<std::thread> clients;
    Process successor;
    bool replaced = false;
    const double started_at = record.seconds();
    for (int number = 0; record.seconds() - started_at < kPlayedSeconds; ++number) {
        if (trouble() && !replaced && record.seconds() - started_at > kReplacedAt) {
            replaced = true;
            BrokerSetup second = broker_a;
            second.control = test::free_port();
            successor = start_successor(root, folder, second);
            record.line("platform: starts the program of n-a once more beside the one that serves");
        }
        clients.emplace_back([&, number] { ask(record, broker_a.port, number, totals); });
        std::this_thread::sleep_for(kBetweenRequests);
    }
    for (std::thread &client : clients)
        client.join();
    if (replaced)
        record.line("the new process {}", successor.end().value_or("runs"));
    record.line("{} reads sent, {} served in time, {} without an answer or later than {} s",
                totals.sent.load(), totals.served.load(), totals.lost.load(), kLostAfterSeconds);
    if (totals.lost > 0)
        return kBroken;
    return totals.served > 0 ? kHeld : kNotRun;
}
