/// \file
/// Case 2: a reporting program sends 600 exports at once on one connection. The first one costs much more
/// work than usual, so that the answers of all the others wait for it. Every command has to get an answer.
#include "../common/case.hpp"

using namespace review;
using test::resp::Value;

namespace {

constexpr int kOthers = 599;      // behind the costly command, on the same connection
constexpr int kDeadlineMs = 5000; // of the class
constexpr int kUsualMs = 110;     // the site: 74 to 120
constexpr int kCostlyMs =
    29 * 110; // the page: 5.7 to 30 times the usual work, of 1 to 2.7% of a class's requests

const std::string kSettings =
    R"({"bounds":{"cancel":true,"connect_timeout":250.0,"idle_close":15000.0,"max_attempts":3,)"
    R"("max_retry_after":1000.0,"max_streams":100,"may_duplicate":false,"peers":false,"probes":true,)"
    R"("retry_after":true},"classes":[)"
    R"({"dedup_window":2000.0,"effect":"idempotent","group":"all","hard_limit":2500.0,"importance":2.0,)"
    R"("late_worth":0.2,"name":"read","stream":false,"target":300.0},)"
    R"({"dedup_window":2000.0,"effect":"deduplicated","group":"cell","hard_limit":2000.0,"importance":3.0,)"
    R"("late_worth":0.1,"name":"new-msg","stream":false,"target":300.0},)"
    R"({"dedup_window":2000.0,"effect":"idempotent","group":"all","hard_limit":5000.0,"importance":1.0,)"
    R"("late_worth":0.3,"name":"export","stream":false,"target":1500.0}],)"
    R"("client_habits":{"marks_retry":false},"contract":{"cold":18000.0,"drain_grace":250.0,"fall":1500.0,)"
    R"("grace_to_answer":58.0,"must_ask_in":10000.0,"start_capacity":0.18,"tip_multiple":3.0},)"
    R"("dcs":["pasig"],"family":"stores","family_info":{"beyond_share":0.1,"class_writes":[false,true,false],)"
    R"("cold_bears":76.0,"fair_worth":0.35,"largest":8,"metering":500.0,"says_others":false,"shards":2,)"
    R"("usual_units":2.0},"instances":1,"kinds":["box-2c"],"membership_mode":"pushed","my_zone":"pasig",)"
    R"("period":2.0,"policies":[{"name":"basic","nominal":40.0,"parts":1.0,"pays":0.8,"reserve":20.0}],)"
    R"("position":0,"telemetry":{"fields":[],"how":"none"},"tier":0,"tiers":["msg-store"],"weights":"none"})";

std::string command(const std::string &id, int shard) {
    return test::resp::command(
        {"OBJ.GET", "7f3a9c21e0b4d655", id,
         fmt::format("c=export,t=basic,d={},volume=00000003b4d60021,units=2,shard={},hosts=1", kDeadlineMs,
                     shard)});
}

} // namespace

int main(int, char **argv) {
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool costly = trouble();
    const std::string costly_id = "00000000c0571e00";

    const auto serve = [&](const char *node) {
        return [&record, &costly_id, costly, node](const std::vector<std::string> &words, int) {
            if (words[0] == "PING")
                return std::string("+PONG\r\n");
            if (words[0] == "INFO")
                return std::string("$0\r\n\r\n");
            if (words[0] != "OBJ.GET")
                return std::string("-ERR unknown\r\n");
            record.line("{} runs {} {}", node, words[2], words[3]);
            const int work = costly && words[2] == costly_id ? kCostlyMs : kUsualMs;
            std::this_thread::sleep_for(std::chrono::milliseconds(work));
            return "*3\r\n$16\r\n" + words[2] + "\r\n$-1\r\n$-1\r\n";
        };
    };
    test::RespNode node_0(serve("node 0")), node_1(serve("node 1"));
    test::Discovery discovery(test::member("s-0", node_0.server.port, 0) + "," +
                              test::member("s-1", node_1.server.port, 1));

    const int port = test::free_port();
    const std::string listen = fmt::format("127.0.0.1:{}", port);
    const std::string source = fmt::format("127.0.0.1:{}", discovery.port());
    std::ofstream(folder + "/config.json") << fmt::format(
        R"({{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",)"
        R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}})",
        listen, source, discovery.known(), kSettings);
    Process broker;
    broker.start(environment("RUN_COMMAND"),
                 {{"BALANCER_NAME", "n0"},
                  {"BALANCER_LISTEN", listen},
                  {"BALANCER_DISCOVERY", source},
                  {"BALANCER_CONFIG", folder + "/config.json"},
                  {"TMPDIR", folder}},
                 folder + "/broker.log");
    if (!await_pong(port)) {
        record.say("the broker does not answer PING");
        std::_Exit(kCannotRun);
    }

    // All commands are written at once.
    std::vector<std::string> ids{costly_id};
    std::string bytes = command(costly_id, 0);
    for (int n = 0; n < kOthers; ++n) {
        ids.push_back(fmt::format("0000000000{:06x}", n));
        bytes += command(ids.back(), 1);
    }
    Connection client(port);
    if (!client.open() || !client.send(bytes)) {
        record.say("the commands could not be written");
        std::_Exit(kCannotRun);
    }
    const double sent_at = now_ms();
    for (const std::string &id : ids)
        record.line("client: has sent {}", id);
    record.say("sent {} commands ({} bytes) on one connection, all written", ids.size(), bytes.size());

    // The client keeps the connection open and reads, well beyond every deadline.
    std::size_t answered = 0;
    bool closed = false, foreign = false;
    while (answered < ids.size()) {
        Value value;
        const auto end = client.answer(value, sent_at + 12'000);
        if (end != Connection::End::Answer) {
            closed = end == Connection::End::Closed;
            break;
        }
        record.line("client: {} is answered: {}", ids[answered], text_of(value));
        foreign |= value.kind == Value::Kind::Bulk && value.text != ids[answered];
        ++answered;
    }
    record.say("{} of {} commands answered by {:.0f} ms after they were sent; {}", answered, ids.size(),
               now_ms() - sent_at,
               closed                   ? "then the broker ended the connection"
               : answered == ids.size() ? "none is missing"
                                        : "the connection is open and silent");
    if (foreign)
        record.say("a command was served with the value of another one");
    const int result = answered == ids.size() && !foreign ? kHeld : kBroken;
    broker.kill();
    std::_Exit(result);
}
