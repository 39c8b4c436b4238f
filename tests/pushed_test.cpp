/// \file
/// Brokers with membership_mode "pushed": an agent on the broker's machine serves the list, and a broker
/// counts as notified of all changes that its agent has.
#include "helper.hpp"

#include <algorithm>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kObjectKey = "7f3a9c21e0b4d655";

std::string pushed_settings(const std::string &more = "") {
    return replaced(kSettings, R"("membership_mode":"on_request")", R"("membership_mode":"pushed")" + more);
}
RespNode::Script serve(const std::string &value) {
    return [value](const auto &, int) { return RespNode::served(value); };
}
std::string read_value(const Program &program, int shard, int wait = 600) {
    Socket client = program.client();
    client.send(get(kObjectKey, shard, wait));
    return client.value()->text;
}
/// Checks that requests for the shard are no longer sent to the node once 250 ms, the time allowed for a
/// drain, have passed since the change.
void check_no_longer_used(const Program &program, int shard, const RespNode &node,
                          Clock::time_point changed_at) {
    while (Clock::now() - changed_at < 250ms)
        std::this_thread::sleep_for(10ms);
    const auto before = node.taken().size();
    for (int n = 0; n < 3; ++n)
        assert(read_value(program, shard).starts_with("BUSY"));
    assert(node.taken().size() == before);
}
void await_calls(const Discovery &discovery, int calls) {
    const auto from = Clock::now();
    while (discovery.calls < calls) {
        assert(Clock::now() - from < 10s);
        std::this_thread::sleep_for(1ms);
    }
}

// The watch is open from the start, and its changes are applied: a drain, a removed node, an added node.
void changes_are_heard() {
    RespNode one(serve("one")), two(serve("two"));
    const std::string first = member("s-1", one.server.port, 0), second = member("s-2", two.server.port, 1);
    Discovery agent(first + "," + second);
    const Program program(agent, "", pushed_settings());
    await_calls(agent, 1);
    assert(read_value(program, 0) == "one" && read_value(program, 1) == "two");
    agent.change(member("s-1", one.server.port, 0, "draining") + "," + second,
                 member("s-1", one.server.port, 0, "draining"));
    check_no_longer_used(program, 0, one, Clock::now());
    assert(read_value(program, 1) == "two"); // a change does not affect the nodes that it does not list
    agent.change(second, member("s-1", one.server.port, 0, "removed"));
    agent.await_taken();
    agent.change(first, member("s-2", two.server.port, 1, "removed") + "," + first);
    check_no_longer_used(program, 1, two, Clock::now());
    assert(read_value(program, 0, 4000) == "one"); // was removed and is listed again
    assert(program.figures().at("cluster_size") == 1);
}

// Calls to an agent that fails must be repeated soon. A drain during the failure must be applied as soon as
// the agent answers.
void a_watch_that_fails_begins_anew() {
    RespNode node(serve("v"));
    Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed_settings());
    await_calls(agent, 1);
    assert(read_value(program, 0) == "v");
    const int before = agent.calls;
    agent.failures = 6;
    agent.change(member("s-1", node.server.port, 0)); // completes the open poll; the next calls fail
    await_calls(agent, before + 6);
    agent.change(member("s-1", node.server.port, 0, "draining"));
    await_calls(agent, before + 7);
    check_no_longer_used(program, 0, node, Clock::now());
    assert(program.figures().at("list_calls") <= agent.calls + 1);
}

// While discovery is down, the agent does not answer. The known list stays in use, and the agent's change is
// applied when it answers again.
void a_silent_agent_is_waited_for() {
    RespNode node(serve("v"));
    Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed_settings());
    await_calls(agent, 1);
    agent.silence(true);
    agent.change(member("s-1", node.server.port, 0, "draining"));
    assert(read_value(program, 0) == "v" && read_value(program, 0) == "v");
    agent.silence(false);
    check_no_longer_used(program, 0, node, Clock::now());
}

// The agent is not running at first. The list in `known` is used until it is.
void an_agent_may_come_late() {
    RespNode node(serve("v"));
    std::optional<Discovery> agent(std::in_place, member("s-1", node.server.port, 0));
    const int port = agent->port();
    const std::string known = agent->known();
    agent.reset();
    const Discovery first_discovery(member("s-1", node.server.port, 0));
    const Program program(first_discovery, "", pushed_settings());
    // The watch moves to an address where the agent starts listening only later.
    program.configure(port, known, pushed_settings());
    program.signal(SIGHUP);
    program.await_log("config_reloaded discovery=");
    program.await_log("discovery_call_failed reason=\"Connection refused\"");
    assert(read_value(program, 0) == "v");
    RespNode new_node(serve("new"));
    Discovery back(member("s-2", new_node.server.port, 3), port);
    await_calls(back, 2); // for the complete list, then a poll
    assert(read_value(program, 3, 4000) == "new");
}

// SIGHUP moves the watch. The successor of a hot restart has its own watch, and the parent process keeps its
// own.
void moves_and_successors_watch_on() {
    RespNode one(serve("one")), two(serve("two"));
    const std::string both = member("s-1", one.server.port, 0) + "," + member("s-2", two.server.port, 1);
    Discovery before(both), after(both);
    const Program old(before, "", pushed_settings());
    await_calls(before, 1);
    old.configure(after, pushed_settings());
    old.signal(SIGHUP);
    await_calls(after, 2);
    assert(read_value(old, 1) == "two");
    const Program successor(old);
    await_calls(after, 3);
    after.change(both + "," + member("s-3", free_port(), 2, "draining"));
    after.await_taken(2); // both processes have polled again
    after.change(member("s-1", one.server.port, 0, "draining") + "," + member("s-2", two.server.port, 1));
    check_no_longer_used(successor, 0, one, Clock::now());
    assert(read_value(successor, 1) == "two");
}

// A node that an operator uncordons may have restarted, so it gets a slow start even if no start is listed.
void a_node_put_back_by_hand_is_cold() {
    RespNode node(serve("v"));
    const Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed_settings());
    await_calls(agent, 1);
    assert(read_value(program, 0) == "v");
    assert(program.call("POST", "cordon", "s-1").first == 200);
    assert(read_value(program, 0).starts_with("BUSY"));
    assert(program.call("POST", "uncordon", "s-1").first == 200);
    program.await_log("slow_start_began node=");
}

// A configuration without discovery and without known nodes must be rejected with the name of the field.
// Without discovery but with known nodes it is valid.
void no_discovery_is_said() {
    RespNode node(serve("v"));
    const Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed_settings());
    const auto check = [&](const std::string &known) {
        program.write("other.json",
                      fmt::format(R"({{"name":"n0","listen":"127.0.0.1:1","known":{},"settings":{}}})", known,
                                  pushed_settings()));
        Child child;
        const std::string folder = std::filesystem::temp_directory_path();
        const std::string log = fmt::format("{}/marblewood-check-{}", folder, ::getpid());
        child.start({"check-config", "--config", program.path("other.json")}, log, folder, 0);
        const int code = child.exit_code();
        std::ostringstream text;
        text << std::ifstream(log).rdbuf();
        std::filesystem::remove(log);
        return std::pair(code, text.str());
    };
    for (const std::string known : {R"({"revision":1,"complete":true,"members":[]})", "null"}) {
        const auto [code, text] = check(known);
        assert(code != 0 && text.find("field 'discovery'") != std::string::npos);
        assert(std::count(text.begin(), text.end(), '\n') == 1);
    }
    assert(check(agent.known()).first == 0);
}

} // namespace

int main() {
    changes_are_heard();
    a_watch_that_fails_begins_anew();
    a_silent_agent_is_waited_for();
    an_agent_may_come_late();
    moves_and_successors_watch_on();
    a_node_put_back_by_hand_is_cold();
    no_discovery_is_said();
}
