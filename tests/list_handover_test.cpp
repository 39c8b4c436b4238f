/// \file
/// Changes of the endpoint list around a hot restart: what either process of the pair is told, both have to
/// know. For clients and for discovery they are one broker.
#include "faults/request_loop.hpp"
#include "faults/traced_discovery.hpp"
#include "scenarios.hpp"

using namespace test;

namespace {

/// From when a node counts as told until nothing new may begin there: `drain_grace` and the protocol's slack.
constexpr auto kDrainGrace = 250ms + 50ms;
/// What discovery tells binds this long after the successor has said that it serves.
constexpr auto kBindsAfterYes = 2s;
constexpr int kReadMs = 300;
constexpr int kProbeReads = 24;

RespNode::Script serve_at_once() {
    return [](const auto &words, int) { return RespNode::served(words[2]); };
}

/// Two nodes with the same shard, and discovery's list of them.
struct Fleet {
    RespNode draining{serve_at_once()};
    RespNode other{serve_at_once()};
    TracedDiscovery discovery{{{"s-1", draining.server.port}, {"s-2", other.server.port}}};
    const std::string settings = with_deadlines(kReadMs, kReadMs);

    /// Sends reads through the broker, each with a piece of its own. Returns how many were served.
    static int read_many(const Program &program) {
        Socket client = program.client();
        int served = 0;
        for (int n = 0; n < kProbeReads; ++n) {
            client.send(get(fmt::format("{:016x}", n), 0, kReadMs));
            served += client.value()->text.starts_with("BUSY") ? 0 : 1;
        }
        return served;
    }
    /// Asserts that requests are served, and none by the draining node.
    void assert_avoided_by(const Program &program) const {
        const std::size_t before = draining.taken().size();
        assert(read_many(program) > 0);
        assert(draining.taken().size() == before);
    }
};

void end(Program &program) {
    program.signal(SIGTERM);
    assert(program.exit_code() == 0);
}

// Guards against issue 74: a drain that only the predecessor was told of, while its successor's first call
// waits.
void drain_told_to_predecessor() {
    Fleet fleet;
    Program predecessor(fleet.discovery, "", fleet.settings);
    fleet.discovery.await_call(1);
    fleet.discovery.answer_connections_before(fleet.discovery.connections() + 1);
    Program successor(predecessor);
    const auto serves_since = Clock::now();
    predecessor.signal(SIGTERM);
    const int revision = fleet.discovery.set_phase("s-1", "draining");
    const auto told = fleet.discovery.await_written(revision);
    assert(predecessor.exit_code() == 0);
    std::this_thread::sleep_until(std::max(told, serves_since + kBindsAfterYes) + kDrainGrace);
    fleet.assert_avoided_by(successor);
}

// Guards against a successor that forgets a drain which its predecessor was told of as its last act.
void drain_told_as_predecessor_ends() {
    Fleet fleet;
    Program predecessor(fleet.discovery, "", fleet.settings);
    fleet.discovery.await_call(1);
    fleet.discovery.answer_connections_before(fleet.discovery.connections() + 1);
    Program successor(predecessor);
    const auto serves_since = Clock::now();
    predecessor.signal(SIGTERM);
    predecessor.await_log("stopped listening");
    predecessor.signal(SIGSTOP);
    const int revision = fleet.discovery.set_phase("s-1", "draining");
    std::this_thread::sleep_for(100ms);
    predecessor.signal(SIGCONT);
    predecessor.exit_code();
    const auto told = fleet.discovery.await_written(revision);
    std::this_thread::sleep_until(std::max(told, serves_since + kBindsAfterYes) + kDrainGrace);
    fleet.assert_avoided_by(successor);
}

// Guards against a broker without a watch: the predecessor's watch has to outlive it until the successor's is
// answered.
void watch_outlives_predecessor() {
    Fleet fleet;
    Program predecessor(fleet.discovery, "", fleet.settings);
    fleet.discovery.await_call(1);
    fleet.discovery.answer_connections_before(fleet.discovery.connections() + 1);
    Program successor(predecessor);
    end(predecessor);
    std::this_thread::sleep_for(kBindsAfterYes);
    const auto changed = Clock::now();
    const int revision = fleet.discovery.set_phase("s-1", "draining");
    const auto told = fleet.discovery.await_written(revision);
    assert(told - changed < 1s);
    std::this_thread::sleep_until(told + kDrainGrace);
    fleet.assert_avoided_by(successor);
}

// Guards against a predecessor that retries at a node whose drain only its successor was told of.
void drain_told_to_successor() {
    std::atomic<bool> answers = false;
    std::atomic<int> first = -1;
    const auto script = [&](int number) {
        return [&, number](const auto &words, int) {
            int none = -1;
            if (!first.compare_exchange_strong(none, number))
                return RespNode::served(words[2]);
            while (!answers)
                std::this_thread::sleep_for(5ms);
            return std::string("-BUSY\r\n");
        };
    };
    RespNode nodes[] = {RespNode(script(0)), RespNode(script(1))};
    TracedDiscovery discovery({{"s-0", nodes[0].server.port}, {"s-1", nodes[1].server.port}});
    Program predecessor(discovery, "", settings_with_relaxed_reads());
    discovery.await_call(1);
    Socket busy = predecessor.client();
    busy.send(get(kPiece, 0, kRelaxedReadWaitMs));
    while (first < 0)
        std::this_thread::sleep_for(5ms);
    discovery.answer_connections_after(discovery.connections());
    Program successor(predecessor);
    const int other = 1 - first;
    const int revision = discovery.set_phase(fmt::format("s-{}", other), "draining");
    std::this_thread::sleep_until(discovery.await_written(revision) + kBindsAfterYes + kDrainGrace);
    answers = true;
    assert(busy.value().has_value());
    assert(nodes[other].taken().empty());
}

// Guards against a successor that asks for changes since the configured list, and not since the one it was
// handed.
void successor_asks_from_the_handed_revision() {
    Fleet fleet;
    Program predecessor(fleet.discovery, "", fleet.settings);
    fleet.discovery.set_phase("s-1", "draining");
    const int revision = fleet.discovery.set_phase("s-1", "up");
    fleet.discovery.await_written(revision);
    predecessor.await_log(fmt::format("endpoint_list_applied revision={}", revision));
    const int connections = fleet.discovery.connections();
    Program successor(predecessor);
    assert(fleet.discovery.await_call(connections + 1).since == revision);
}

// Guards against a change that only the configured list has: the older list that is handed over replaces it,
// and it has to be asked for again.
void drain_known_to_the_configuration_alone() {
    Fleet fleet;
    Program predecessor(fleet.discovery, "", fleet.settings);
    const auto first = fleet.discovery.await_call(1);
    fleet.discovery.answer_connections_after(first.connection);
    const int revision = fleet.discovery.set_phase("s-1", "draining");
    predecessor.configure(fleet.discovery.port(), fleet.discovery.current(), fleet.settings);
    Program successor(predecessor);
    assert(fleet.discovery.await_call(first.connection + 1).since < revision);
    successor.await_log(
        fmt::format("discovery_answered address=127.0.0.1:{} revision={}", fleet.discovery.port(), revision));
    fleet.assert_avoided_by(successor);
}

// Guards against changes that are lost between a process and the next but one.
void drain_told_to_the_first_of_three() {
    Fleet fleet;
    Program first(fleet.discovery, "", fleet.settings);
    fleet.discovery.await_call(1);
    fleet.discovery.answer_connections_before(fleet.discovery.connections() + 1);
    Program second(first);
    Program third(second);
    const auto serves_since = Clock::now();
    const int revision = fleet.discovery.set_phase("s-1", "draining");
    const auto told = fleet.discovery.await_written(revision);
    std::this_thread::sleep_until(std::max(told, serves_since + kBindsAfterYes) + kDrainGrace);
    fleet.assert_avoided_by(third);
}

// Guards against a change that is too long for one message between the processes.
void long_change_told_to_predecessor() {
    constexpr int kAdded = 1500;
    Fleet fleet;
    Program predecessor(fleet.discovery, "", fleet.settings);
    fleet.discovery.await_call(1);
    fleet.discovery.answer_connections_before(fleet.discovery.connections() + 1);
    Program successor(predecessor);
    const auto serves_since = Clock::now();
    std::vector<ListedNode> added;
    for (int n = 0; n < kAdded; ++n)
        added.push_back({fmt::format("s-added-{}", n), 1, 1});
    added.push_back({"s-1", fleet.draining.server.port, 0, "draining"});
    const int revision = fleet.discovery.publish(added);
    const auto told = fleet.discovery.await_written(revision);
    std::this_thread::sleep_until(std::max(told, serves_since + kBindsAfterYes) + kDrainGrace);
    fleet.assert_avoided_by(successor);
    assert(successor.figures().at("cluster_size") == kAdded + 2);
}

/// A discovery service that the configuration names, and one that it names after a reload.
struct MovingDiscovery {
    RespNode node{serve_at_once()};
    TracedDiscovery before{{{"s-1", node.server.port}}};
    TracedDiscovery after{{{"s-1", node.server.port}}};
    const std::string settings = with_deadlines(kReadMs, kReadMs);

    void change_configuration(const Program &program) const { program.configure(after, settings); }
};

/// Has one process of a hot restart reload its configuration, and asserts that both move to the new
/// discovery.
void assert_both_move(bool signal_to_predecessor) {
    MovingDiscovery discovery;
    Program predecessor(discovery.before, "", discovery.settings);
    Program successor(predecessor);
    discovery.change_configuration(predecessor);
    (signal_to_predecessor ? predecessor : successor).signal(SIGHUP);
    predecessor.await_log("config_reloaded");
    successor.await_log("config_reloaded");
    discovery.after.await_connections(2);
    assert(predecessor.figures().at("conf_loaded") == (signal_to_predecessor ? 1 : 0));
    assert(successor.figures().at("conf_loaded") == (signal_to_predecessor ? 0 : 1));
}

// Guards against a successor that goes on watching a discovery which only its predecessor was told has moved.
void reload_of_predecessor() {
    assert_both_move(true);
}
// Guards against a predecessor that goes on watching a discovery which only its successor was told has moved.
void reload_of_successor() {
    assert_both_move(false);
}

// Guards against a successor that has read the configuration before a reload, and takes over after it.
void reload_while_successor_starts() {
    MovingDiscovery discovery;
    Program predecessor(discovery.before, "", discovery.settings);
    discovery.before.await_call(1);
    predecessor.signal(SIGSTOP);
    std::thread reload([&] {
        std::this_thread::sleep_for(500ms); // the successor waits for the state
        discovery.change_configuration(predecessor);
        predecessor.signal(SIGHUP);
        predecessor.signal(SIGCONT);
    });
    Program successor(predecessor);
    reload.join();
    end(predecessor);
    const int connections = discovery.after.connections();
    discovery.after.await_connections(std::max(connections, 1));
    const int revision = discovery.after.set_phase("s-1", "draining");
    successor.await_log(fmt::format("revision={}", revision));
    assert(successor.log().find(fmt::format("address=127.0.0.1:{}", discovery.after.port())) !=
           std::string::npos);
}

} // namespace

int main(int argc, char **argv) {
    constexpr Scenario kScenarios[] = {
        {"drain_told_to_predecessor", drain_told_to_predecessor},
        {"drain_told_as_predecessor_ends", drain_told_as_predecessor_ends},
        {"watch_outlives_predecessor", watch_outlives_predecessor},
        {"drain_told_to_successor", drain_told_to_successor},
        {"successor_asks_from_the_handed_revision", successor_asks_from_the_handed_revision},
        {"drain_known_to_the_configuration_alone", drain_known_to_the_configuration_alone},
        {"drain_told_to_the_first_of_three", drain_told_to_the_first_of_three},
        {"reload_of_predecessor", reload_of_predecessor},
        {"reload_of_successor", reload_of_successor},
        {"reload_while_successor_starts", reload_while_successor_starts},
        {"long_change_told_to_predecessor", long_change_told_to_predecessor},
    };
    return run_scenario(kScenarios, argc, argv);
}
