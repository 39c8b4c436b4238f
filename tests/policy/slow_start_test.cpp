#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(SlowStart, HeldToThisHostsPartOfAWindow) {
    Settings s = basic_settings();
    s.hosts = 2;
    s.classes[0].deadline = 5 * kSecond; // held unsent for a part of it
    TestHost host(s);
    host.run(2 * kSecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, host.now)}});
    for (int k = 0; k < 5; ++k)
        if (const RequestId id = host.ask(0, 0, 2); host.attempt_count(id))
            host.end(id);
    EXPECT_EQ(host.sent.size(), 3u); // six of twelve units
    host.run(1100 * kMillisecond);
    EXPECT_GT(host.sent.size(), 3u);
}

TEST(SlowStart, ARestartedHostCountsItsPartAsSpent) {
    Settings s = basic_settings();
    s.classes[0].deadline = 5 * kSecond; // held unsent for a part of it
    TestHost host(s);
    host.handle(ListUpdate{ListUpdate::Kind::Saved,
                           {TestHost::entry(0, NodeState::Ready, host.now - 100 * kMillisecond)}});
    const RequestId id = host.ask(0);
    EXPECT_EQ(host.attempt_count(id), 0u);
    host.run(1100 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 1u);
}

TEST(SlowStart, FailedConnectsThenAnAnswerCountAsAStart) {
    TestHost host(basic_settings());
    host.run(2 * kSecond);
    const RequestId one = host.ask(0), two = host.ask(0);
    host.run(100 * kMillisecond);
    host.end(one, Status::ConnectFailed);
    host.end(two, Status::ConnectFailed);
    host.run(120 * kMillisecond);
    EXPECT_EQ(host.sent.size(), 3u); // one probe request
    host.end(host.sent.back().id);
    EXPECT_TRUE(host.logged("slow_start_began node=0"));
}

// Guards against a host whose connect failed after the listed start taking the node for a warm one.
TEST(SlowStart, AListedStartOlderThanTheLastRefusalStillCountsAsAStart) {
    TestHost host(basic_settings());
    host.run(2 * kSecond);
    const Micros listed = host.now;
    host.run(10 * kMillisecond);
    host.end(host.ask(0, 0, 4), Status::ConnectFailed, 1 * kMillisecond);
    host.run(200 * kMillisecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, listed)}});
    EXPECT_TRUE(host.logged("slow_start_began node=0"));
    double units = 0;
    for (int k = 0; k < 20; ++k) {
        const auto before = host.sent.size();
        const RequestId id = host.ask(0, 0, 4);
        units += 4.0 * static_cast<double>(host.sent.size() - before);
        if (host.attempt_count(id))
            host.end(id);
    }
    EXPECT_LE(units, 12);
}

// Guards against datagrams that cannot help: a grant is requested only where slow start holds work back.
TEST(SlowStart, AGrantIsRequestedOnlyWhereItWouldHelp) {
    for (const bool limited : {false, true}) {
        Settings s = basic_settings();
        s.peers = true, s.hosts = 40, s.position = 7;
        if (limited)
            s.plans[0].limit = 0.001, s.plans[0].limit_burst = 1;
        TestHost host(s);
        host.run(3 * kSecond); // no fresh instance any more
        const Micros started = host.now - 2 * kSecond;
        host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, started)}});
        for (int k = 0; k < 10; ++k)
            host.ask(0), host.run(50 * kMillisecond);
        EXPECT_EQ(host.peer_messages > 0, !limited);
    }
}

// Guards against full load on a node that may have restarted while an operator had it out.
TEST(SlowStart, ANodePutBackByHandWarmsUp) {
    TestHost host(basic_settings(), 1);
    host.run(5 * kSecond);
    for (const NodeState state : {NodeState::Draining, NodeState::Ready}) {
        NodeEntry entry = TestHost::entry(0, state);
        entry.restored = state == NodeState::Ready;
        host.handle(ListUpdate{ListUpdate::Kind::Changes, {entry}});
        EXPECT_EQ(host.scheduler.is_avoided(NodeId{0}), state == NodeState::Draining);
    }
    double units = 0;
    for (int k = 0; k < 40; ++k) {
        const RequestId id = host.ask(0);
        if (host.attempt_count(id))
            host.end(id), units += 1;
    }
    EXPECT_GT(units, 0);
    EXPECT_LE(units, 12); // what a warming node may be sent in a window
}

// Guards against forgetting a start that is listed while the node drains.
TEST(SlowStart, AStartListedDuringADrainIsNotForgotten) {
    TestHost host(basic_settings(), 1);
    host.run(5 * kSecond);
    const Micros start = host.now - kSecond;
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining, start)}});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, start)}});
    EXPECT_TRUE(host.logged("slow_start_began node=0"));
}

} // namespace
} // namespace marblewood::policy_test
