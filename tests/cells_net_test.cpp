// Cells as clients, nodes and operators meet them: a keeper and two brokers as processes, a node for each.
#include "helper.hpp"

#include <random>
#include <set>

using namespace test;

namespace {

const std::string kVolume = "00000003b4d60021", kPiece = "7f3a9c21e0b4d655";
// As the helper's, but with a short window, so that a broker soon vouches for the keys it has seen.
std::string settings() {
    std::string text = kSettings;
    const auto change = [&](const std::string &from, const std::string &to) {
        const std::size_t at = text.find(from);
        assert(at != std::string::npos);
        text.replace(at, from.size(), to);
    };
    change(R"("dedup_window":4000.0)", R"("dedup_window":1500.0)");
    change(R"("hard_limit":2500.0)", R"("hard_limit":1000.0)");
    return text;
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
            keeper_link, control, folder.string(), port_a, link_a, port_b, free_port());
        std::ofstream(folder / "operator.json") << operators;
        start_keeper();
        start_a();
        start_b();
        settled();
        // Wherever the hash puts the volume, the tests begin with it in a.
        for (int n = 0; n < 1000 && where().find("cell a\n") == std::string::npos; ++n) {
            cells("POST", "move", kVolume + " a");
            std::this_thread::sleep_for(10ms);
        }
        assert(where().find("cell a\n") != std::string::npos);
        idle();
    }
    ~Installation() {
        keeper.kill(); // before the folder that they write to
        broker_a.reset(), broker_b.reset();
        std::filesystem::remove_all(folder);
    }
    void start_keeper() {
        keeper.start({"keeper", "--operator", folder / "operator.json"}, folder / "keeper.log", folder, 0);
    }
    void start_a() {
        broker_a.emplace(discovery, operators, settings(), std::filesystem::path(), port_a, "n-a");
    }
    void start_b() {
        broker_b.emplace(discovery, operators, settings(), std::filesystem::path(), port_b, "n-b");
    }
    std::pair<int, std::string> cells(const std::string &method, const std::string &what,
                                      const std::string &body = "") const {
        return operators_call(control, method, "cells/" + what, body);
    }
    std::string where() const { return cells("GET", "where/" + kVolume).second; }
    // Both brokers say that they know their cell's node, and the keeper has heard them.
    void settled() const {
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
    void idle() const { // no move is under way
        for (int n = 0; n < 1500; ++n, std::this_thread::sleep_for(10ms))
            if (const auto [status, list] = cells("GET", "list");
                status == 200 && list.find("moving") == std::string::npos)
                return;
        assert(!"a move without end");
    }
    // A move that must begin: as long as brokers don't vouch yet it goes back, and is asked for again.
    void move(const std::string &to) const {
        for (int n = 0; n < 10; ++n) {
            idle();
            cells("POST", "move", kVolume + " " + to);
            idle();
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
    const int keeper_link = free_port(), link_a = free_port();
    std::string operators;
    Child keeper;
    std::optional<Program> broker_a, broker_b;
};

RespNode::Script says(const std::string &value) {
    return [value](const auto &, int) { return RespNode::served(value); };
}
std::string ask(const Program &broker, const std::string &command) {
    Socket client = broker.client();
    client.send(command);
    return client.value()->text;
}

void a_move_takes_the_volume_along_and_the_keeper_may_die() {
    Installation all(says("a"), says("b"));
    assert(ask(*all.broker_a, get(kPiece)) == "a");
    assert(ask(*all.broker_b, get(kPiece)) == "a"); // forwarded to where it lives
    all.move("b");
    assert(ask(*all.broker_a, get(kPiece)) == "b");
    assert(ask(*all.broker_b, get(kPiece)) == "b");
    assert(all.where().find("pinned by an operator") != std::string::npos);
    // Brokers go on without a keeper, and it comes back to what it knew.
    const std::uint64_t before = all.epoch();
    all.keeper.kill();
    assert(ask(*all.broker_a, get(kPiece)) == "b");
    assert(all.broker_a->call("GET", "cells/list").first == 503);
    assert(all.broker_a->call("GET", "cells/here").second.find("cell a\n") != std::string::npos);
    all.start_keeper();
    all.settled();
    assert(all.where().find("cell b\n") != std::string::npos && all.epoch() > before);
    // Operators may call any broker.
    assert(all.broker_a->call("GET", "cells/where/" + kVolume).second.find("cell b\n") != std::string::npos);
    assert(all.broker_a->call("POST", "cells/move", kVolume + " nowhere").first == 409);
    assert(all.broker_a->call("POST", "cells/where/" + kVolume).first == 405);
    assert(all.broker_a->call("GET", "cells/nonsense").first == 404);
    assert(all.broker_a->call("POST", "cells/pin", kVolume).second.find("already") != std::string::npos);
    assert(all.broker_a->call("POST", "cells/pin", "nonsense").first == 409);
}

// A request under way ends where it started; what comes meanwhile waits, and is served by the target.
void what_comes_during_a_move_waits_for_it() {
    std::atomic<bool> hold = false, go = false;
    Installation all(
        [&](const auto &, int) {
            if (hold) {
                hold = false;
                while (!go)
                    std::this_thread::sleep_for(1ms);
            }
            return RespNode::served("a");
        },
        says("b"));
    all.move("b"), all.move("a"); // from here on both vouch
    hold = true;
    Socket first = all.broker_a->client(), second = all.broker_a->client();
    first.send(get(kPiece, 0, 5000));
    while (hold)
        std::this_thread::sleep_for(1ms);
    assert(all.cells("POST", "move", kVolume + " b").first == 200);
    for (int n = 0; all.broker_a->call("GET", "cells/here").second.find("fenced 1\n") == std::string::npos;
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

// A keyed write whose answer was lost before the fence, repeated by its client after the move, reaches the
// node that saw it first.
void a_keys_repeat_reaches_its_first_node() {
    std::atomic<bool> lose = false;
    Installation all(
        [&](const std::vector<std::string> &words, int) {
            return words[0] == "OBJ.PUT" && lose ? std::string("-ERR failed\r\n") : RespNode::served("a");
        },
        says("b"));
    all.move("b"), all.move("a");
    lose = true;
    const auto write = [&](const std::string &key) {
        return resp::command(
            {"OBJ.PUT", kPiece, fresh_id(),
             fmt::format("c=new-write,t=standard,d=400,k={},volume={},units=2,shard=0,hosts=1", key, kVolume),
             "body"});
    };
    const std::string key = "5c0f6e1a2b3d4c59";
    assert(ask(*all.broker_a, write(key)).starts_with("ERR"));
    lose = false;
    const std::size_t seen_b = all.node_b.taken().size();
    assert(all.cells("POST", "move", kVolume + " b").first == 200);
    assert(ask(*all.broker_a, write(key)) == "a"); // it may wait for the move, and comes back here
    all.idle();
    assert(ask(*all.broker_b, write(key)) == "a");
    assert(all.node_b.taken().size() == seen_b);
    assert(ask(*all.broker_b, write("ffffffffffffffff")) == "b");
}

// A broker that starts without a keeper serves by the map on its disk; one without a file refuses.
void a_broker_starts_without_its_keeper() {
    Installation all(says("a"), says("b"));
    all.move("b");
    all.keeper.kill();
    all.broker_b.reset();
    all.start_b();
    for (int n = 0; ask(*all.broker_b, get(kPiece)) != "b"; ++n) { // it may not know its node yet
        assert(n < 1000);
        std::this_thread::sleep_for(10ms);
    }
    all.broker_b.reset();
    std::filesystem::remove(all.folder / "n-b.cells");
    all.start_b();
    assert(ask(*all.broker_b, get(kPiece)).starts_with("BUSY"));
    assert(ask(*all.broker_a, get(kPiece)).starts_with("BUSY")); // forwarded there, and no further
}

// A broker in a cell asks discovery for the list, too, and is told of what changes.
void a_broker_in_a_cell_watches_the_list() {
    Installation all(says("a"), says("b"));
    all.discovery.await_taken(2); // a watch of each
}

// The keeper reads its file again: what is wrong changes nothing; another capacity is told to all brokers.
void the_layout_is_read_again() {
    Installation all(says("a"), says("b"));
    const auto said = [&](const std::string &words) {
        for (int n = 0; n < 1000; ++n, std::this_thread::sleep_for(10ms)) {
            std::ostringstream text;
            text << std::ifstream(all.folder / "keeper.log").rdbuf();
            if (text.str().find(words) != std::string::npos)
                return true;
        }
        return false;
    };
    std::string changed = all.operators;
    changed.replace(changed.find("\"capacity\":1000"), 15, "\"capacity\":2500");
    std::ofstream(all.folder / "operator.json") << changed.substr(1);
    all.keeper.signal(SIGHUP);
    assert(said("coordinator_layout_rejected reason=\"malformed JSON"));
    std::ofstream(all.folder / "operator.json") << changed;
    all.keeper.signal(SIGHUP);
    assert(said("coordinator_layout_reloaded cells=2"));
    assert(all.cells("GET", "list").second.find("a capacity 2500") != std::string::npos);
    assert(ask(*all.broker_b, get(kPiece)) == "a");
}

// Whatever comes to the links of keeper and brokers: at worst that connection ends.
void what_makes_no_sense_on_a_link_is_let_go() {
    Installation all(says("a"), says("b"));
    std::mt19937_64 random(7);
    for (const int port : {all.keeper_link, all.link_a}) {
        for (int n = 0; n < 60; ++n) {
            Socket caller = Socket::to(port);
            std::string bytes(1 + random() % 200, '\0');
            for (char &c : bytes)
                c = static_cast<char>(random());
            if (n % 3)
                bytes.insert(0,
                             {'\0', '\0', '\0', static_cast<char>(bytes.size())}); // a frame, by its length
            caller.send(bytes);
            if (n % 2)
                caller.shut();
        }
        Socket large = Socket::to(port);
        large.send(std::string("\x7f\xff\xff\xff", 4));
        assert(large.ended());
    }
    assert(ask(*all.broker_a, get(kPiece)) == "a");
    all.move("b");
    assert(ask(*all.broker_a, get(kPiece)) == "b");
}

// What is wrong with the layout is said with field and line, and nothing starts.
void a_wrong_layout_is_named() {
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / fmt::format("marblewood-{}", ::getpid());
    std::filesystem::create_directories(folder);
    const auto says = [&](const std::string &cells) {
        std::ofstream(folder / "operator.json") << cells;
        Child keeper;
        std::filesystem::remove(folder / "log");
        keeper.start({"keeper", "--operator", folder / "operator.json"}, folder / "log", folder, 0);
        assert(keeper.exit_code() == 1);
        std::ostringstream text;
        text << std::ifstream(folder / "log").rdbuf();
        return text.str();
    };
    const std::string head =
        "{\"cells\": {\"keeper\": {\"link\": \"127.0.0.1:1\", \"control\": \"127.0.0.1:2\"},\n";
    const std::string broker = R"({"name": "x", "clients": "127.0.0.1:3", "link": "127.0.0.1:4"})";
    assert(says("{}").find("missing field 'cells'") != std::string::npos);
    assert(says(head + "\"cells\": []}}").find("line 2: field 'cells.cells'") != std::string::npos);
    const std::string negative =
        says(head + "\"cells\": [\n{\"name\": \"a\",\n\"capacity\": -1, \"brokers\": [" + broker +
             "], \"nodes\": []}]}}");
    assert(negative.find("line 4: field 'cells.cells[0].capacity'") != std::string::npos);
    assert(says(head + "\"unknown\": 1, \"cells\": [{\"name\": \"a\", \"capacity\": 1, \"brokers\": [" +
                broker + "], \"nodes\": []}]}}")
               .find("'unknown'") != std::string::npos);
    assert(says(head + "\"cells\": [{\"name\": \"a\", \"capacity\": 1, \"brokers\": [" + broker +
                "], \"nodes\": [\"s\"]},"
                "{\"name\": \"b\", \"capacity\": 1, \"brokers\": [" +
                broker + "], \"nodes\": []}]}}")
               .find("broker 'x' stands in more than one place") != std::string::npos);
    std::filesystem::remove_all(folder);
}

} // namespace

int main() {
    a_wrong_layout_is_named();
    a_move_takes_the_volume_along_and_the_keeper_may_die();
    what_comes_during_a_move_waits_for_it();
    a_keys_repeat_reaches_its_first_node();
    a_broker_starts_without_its_keeper();
    a_broker_in_a_cell_watches_the_list();
    what_makes_no_sense_on_a_link_is_let_go();
    the_layout_is_read_again();
}
