// A site whose lists are pushed: an agent on the broker's machine has them, and whatever it has counts as
// told.
#include "helper.hpp"

#include <algorithm>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";

std::string pushed(const std::string &more = "") {
    std::string settings = kSettings;
    const std::string asked = R"("membership_mode":"on_request")";
    settings.replace(settings.find(asked), asked.size(), R"("membership_mode":"pushed")" + more);
    return settings;
}
RespNode::Script says(const std::string &value) {
    return [value](const auto &, int) { return RespNode::served(value); };
}
std::string ask(const Program &program, int shard, int wait = 600) {
    Socket client = program.client();
    client.send(get(kPiece, shard, wait));
    return client.value()->text;
}
// Until a request of the shard is no longer sent, within the time that drains allow; then it stays so.
void awaits_no_more(const Program &program, int shard, const RespNode &node, Clock::time_point told) {
    while (Clock::now() - told < 250ms)
        std::this_thread::sleep_for(10ms);
    const auto before = node.taken().size();
    for (int n = 0; n < 3; ++n)
        assert(ask(program, shard).starts_with("BUSY"));
    assert(node.taken().size() == before);
}
void awaits_calls(const Discovery &discovery, int calls) {
    const auto from = Clock::now();
    while (discovery.calls < calls) {
        assert(Clock::now() - from < 10s);
        std::this_thread::sleep_for(1ms);
    }
}

// The watch stands from the start, and what it tells holds: a drain, a node removed, a node added.
void changes_are_heard() {
    RespNode one(says("one")), two(says("two"));
    const std::string first = member("s-1", one.server.port, 0), second = member("s-2", two.server.port, 1);
    Discovery agent(first + "," + second);
    const Program program(agent, "", pushed());
    awaits_calls(agent, 1);
    assert(ask(program, 0) == "one" && ask(program, 1) == "two");
    agent.change(member("s-1", one.server.port, 0, "draining") + "," + second,
                 member("s-1", one.server.port, 0, "draining"));
    awaits_no_more(program, 0, one, Clock::now());
    assert(ask(program, 1) == "two"); // a change says nothing of those it does not name
    agent.change(second, member("s-1", one.server.port, 0, "removed"));
    agent.await_taken();
    agent.change(first, member("s-2", two.server.port, 1, "removed") + "," + first);
    awaits_no_more(program, 1, two, Clock::now());
    assert(ask(program, 0, 4000) == "one"); // removed and listed again
    assert(program.figures().at("cluster_size") == 1);
}

// An agent that fails is asked again at once, and again: a drain told meanwhile is heard as soon as it
// answers.
void a_watch_that_fails_begins_anew() {
    RespNode node(says("v"));
    Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed());
    awaits_calls(agent, 1);
    assert(ask(program, 0) == "v");
    const int before = agent.calls;
    agent.failures = 6;
    agent.change(member("s-1", node.server.port, 0)); // ends the watch; the next calls fail
    awaits_calls(agent, before + 6);
    agent.change(member("s-1", node.server.port, 0, "draining"));
    awaits_calls(agent, before + 7);
    awaits_no_more(program, 0, node, Clock::now());
    assert(program.figures().at("list_calls") <= agent.calls + 1);
}

// While discovery is down the agent says nothing. Work goes on with the list there is, and what it says when
// it speaks again is heard.
void a_silent_agent_is_waited_for() {
    RespNode node(says("v"));
    Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed());
    awaits_calls(agent, 1);
    agent.silence(true);
    agent.change(member("s-1", node.server.port, 0, "draining"));
    assert(ask(program, 0) == "v" && ask(program, 0) == "v");
    agent.silence(false);
    awaits_no_more(program, 0, node, Clock::now());
}

// An agent that isn't there at the start: the list in `known` serves until it is.
void an_agent_may_come_late() {
    RespNode node(says("v"));
    std::optional<Discovery> agent(std::in_place, member("s-1", node.server.port, 0));
    const int port = agent->port();
    const std::string known = agent->known();
    agent.reset();
    const Discovery remote_units(member("s-1", node.server.port, 0));
    const Program program(remote_units, "", pushed());
    // Moved to where nobody listens, then somebody does.
    program.configure(port, known, pushed());
    program.signal(SIGHUP);
    program.await_log("config_reloaded discovery=");
    program.await_log("discovery_call_failed reason=\"Connection refused\"");
    assert(ask(program, 0) == "v");
    RespNode fresh(says("fresh"));
    Discovery back(member("s-2", fresh.server.port, 3), port);
    awaits_calls(back, 2); // the whole list, then a watch
    assert(ask(program, 3, 4000) == "fresh");
}

// SIGHUP moves the watch; the successor of an upgrade has one of its own, and its predecessor keeps its.
void moves_and_successors_watch_on() {
    RespNode one(says("one")), two(says("two"));
    const std::string both = member("s-1", one.server.port, 0) + "," + member("s-2", two.server.port, 1);
    Discovery before(both), after(both);
    const Program old(before, "", pushed());
    awaits_calls(before, 1);
    old.configure(after, pushed());
    old.signal(SIGHUP);
    awaits_calls(after, 2);
    assert(ask(old, 1) == "two");
    const Program fresh(old);
    awaits_calls(after, 3);
    after.change(both + "," + member("s-3", free_port(), 2, "draining"));
    after.await_taken(2); // each of the two has its watch, and renews it
    after.change(member("s-1", one.server.port, 0, "draining") + "," + member("s-2", two.server.port, 1));
    awaits_no_more(fresh, 0, one, Clock::now());
    assert(ask(fresh, 1) == "two");
}

// A node put back by hand has started just now for all that is known, with a start told or without.
void a_node_put_back_by_hand_is_cold() {
    RespNode node(says("v"));
    const Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed());
    awaits_calls(agent, 1);
    assert(ask(program, 0) == "v");
    assert(program.call("POST", "cordon", "s-1").first == 200);
    assert(ask(program, 0).starts_with("BUSY"));
    assert(program.call("POST", "uncordon", "s-1").first == 200);
    program.await_log("slow_start_began node=");
}

// A broker that would never know a node does not start, and says which field is at fault; one that has a list
// but will never hear of a change serves, and says so.
void no_discovery_is_said() {
    RespNode node(says("v"));
    const Discovery agent(member("s-1", node.server.port, 0));
    const Program program(agent, "", pushed());
    const auto check = [&](const std::string &known) {
        program.write("other.json",
                      fmt::format(R"({{"name":"n0","listen":"127.0.0.1:1","known":{},"settings":{}}})", known,
                                  pushed()));
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
