/// \file
/// Case 2: a client sends 25 commands at once, eight times a second, on one connection. The first command's
/// node is silent, so that the answers of all the others wait for that one. Every command has to get an
/// answer.
#include "../common/case.hpp"

using namespace review;
using test::resp::Value;

namespace {

constexpr int kNodes = 5;                 // one of them, 20%, is silent: the page has up to 20%
constexpr int kBatches = 28, kBatch = 25; // commands at once; 200 a second, which the page has for a broker
constexpr int kBatchEveryMs = 125;        // for 3.5 s
constexpr std::size_t kPiece = 1000;      // messages come in pieces
constexpr int kExportMs = 110, kReadMs = 30; // the site: 74 to 120, 24 to 39
constexpr int kExportDeadlineMs = 5000, kReadDeadlineMs = 2500;

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
    R"("cold_bears":76.0,"fair_worth":0.35,"largest":8,"metering":500.0,"says_others":false,"shards":5,)"
    R"("usual_units":2.0},"instances":1,"kinds":["box-2c"],"membership_mode":"pushed","my_zone":"pasig",)"
    R"("period":2.0,"policies":[{"name":"basic","nominal":400.0,"parts":1.0,"pays":0.8,"reserve":200.0}],)"
    R"("position":0,"telemetry":{"fields":[],"how":"none"},"tier":0,"tiers":["msg-store"],"weights":"none"})";

std::string command(const std::string &id, bool is_export, int shard) {
    return test::resp::command(
        {"OBJ.GET", "7f3a9c21e0b4d655", id,
         fmt::format("c={},t=basic,d={},volume=00000003b4d60021,units=2,shard={},hosts=1",
                     is_export ? "export" : "read", is_export ? kExportDeadlineMs : kReadDeadlineMs, shard)});
}

} // namespace

int main(int, char **argv) {
    const std::string folder = argv[1];
    Record record(argv[2]);
    std::list<test::RespNode> nodes;
    std::atomic<bool> silent = false;
    std::string members;
    for (int n = 0; n < kNodes; ++n) {
        nodes.emplace_back([&record, &silent, n](const std::vector<std::string> &words, int) {
            if (n == 0 && silent) { // no reset, no answer; it comes back after the script's end
                record.line("node 0 is silent; {} came to its open connection", words[2]);
                std::this_thread::sleep_for(20s);
            }
            if (words[0] == "PING")
                return std::string("+PONG\r\n");
            if (words[0] == "INFO")
                return std::string("$0\r\n\r\n");
            if (words[0] != "OBJ.GET")
                return std::string("-ERR unknown\r\n");
            record.line("node {} runs {} {}", n, words[2], words[3]);
            std::this_thread::sleep_for(
                std::chrono::milliseconds(words[3].starts_with("c=export") ? kExportMs : kReadMs));
            return "*3\r\n$16\r\n" + words[2] + "\r\n$-1\r\n$-1\r\n";
        });
        members +=
            (n ? "," : "") + member(fmt::format("s-{}", n), nodes.back().server.port, n, "pasig", "box-2c");
    }
    test::Discovery discovery(members);

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

    // One ordinary command, so that the broker has an open connection to the node that will fall silent:
    // those "remain open and silent", and no new ones come up.
    {
        Connection client(port);
        Value value;
        if (!client.send(command("00000000aaaaaaaa", true, 0)) ||
            client.answer(value, now_ms() + 5500) != Connection::End::Answer ||
            value.kind != Value::Kind::Bulk) {
            record.say("an ordinary command was not served");
            std::_Exit(kCannotRun);
        }
        std::this_thread::sleep_for(100ms);
    }
    const int connections_before = nodes.front().server.accepted;
    silent = trouble();

    // The client writes in pieces of kPiece and reads at the same time; it keeps the connection beyond every
    // deadline.
    Connection client(port);
    std::vector<std::string> ids;
    for (int n = 0; n < kBatches * kBatch; ++n)
        ids.push_back(fmt::format("0000000000{:06x}", n));
    const double start = now_ms();
    std::vector<double> sent_at(ids.size());
    std::vector<std::size_t> ends; // where each command ends in all that is written
    std::atomic<std::size_t> sent = 0;
    std::thread writer([&] {
        std::string bytes; // all commands so far
        std::size_t written = 0;
        for (int batch = 0; batch < kBatches; ++batch) {
            for (int n = 0; n < kBatch; ++n) {
                const int number = batch * kBatch + n;
                bytes += command(ids[static_cast<std::size_t>(number)], number == 0,
                                 number == 0 ? 0 : 1 + number % (kNodes - 1));
                ends.push_back(bytes.size());
            }
            const bool last = batch + 1 == kBatches; // what does not fill a piece goes with the next commands
            while (written + kPiece <= bytes.size() || (last && written < bytes.size())) {
                const std::string_view piece = std::string_view(bytes).substr(written, kPiece);
                if (!client.send(piece))
                    return record.say("the connection ended while commands were written");
                written += piece.size();
                for (; sent < ends.size() && ends[sent] <= written; ++sent) {
                    sent_at[sent] = now_ms();
                    record.line("client: has sent {}", ids[sent]);
                }
                std::this_thread::sleep_for(2ms);
            }
            const double next = start + (batch + 1) * kBatchEveryMs;
            if (const double left = next - now_ms(); left > 0)
                std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(left));
        }
    });
    std::size_t answered = 0;
    bool closed = false, foreign = false;
    while (answered < ids.size()) {
        Value value;
        const auto end = client.answer(value, start + 14'000);
        if (end != Connection::End::Answer) {
            closed = end == Connection::End::Closed;
            break;
        }
        record.line("client: {} is answered: {}", ids[answered], text_of(value));
        foreign |= value.kind == Value::Kind::Bulk && value.text != ids[answered];
        ++answered;
    }
    const double ended_at = now_ms();
    writer.join();
    // A request that was written within a second before the end may have crossed it, and isn't counted.
    std::size_t missing = 0;
    for (std::size_t n = answered; n < sent; ++n)
        missing += sent_at[n] < ended_at - 1000;
    record.say("{} of {} commands answered by {:.0f} ms after the first; {}; {} written over a second before "
               "that have "
               "no answer",
               answered, sent.load(), ended_at - start,
               closed                   ? "then the broker ended the connection"
               : answered == ids.size() ? "none is missing"
                                        : "the connection is open and silent",
               missing);
    if (nodes.front().server.accepted != connections_before && trouble()) {
        record.say(
            "cannot run: the broker made a new connection to the silent node, which would not come up");
        std::_Exit(kCannotRun);
    }
    if (foreign)
        record.say("a command was served with the value of another one");
    const int result = missing == 0 && !foreign ? kHeld : kBroken;
    broker.kill();
    std::_Exit(result);
}
