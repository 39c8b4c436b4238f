#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(SlowStart, HeldToThisHostsPartOfAWindow) {
    Settings s = basic_settings();
    s.hosts = 2;
    s.classes[0].deadline = 5 * kSecond; // unsent requests are held for a fraction of it
    TestHost host(s);
    host.advance(2 * kSecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, host.now)}});
    for (int k = 0; k < 5; ++k)
        if (const RequestId id = host.submit(0, 0, 2); host.attempt_count(id))
            host.finish(id);
    EXPECT_EQ(host.sent.size(), 3u); // six of the twelve units of all hosts
    host.advance(1100 * kMillisecond);
    EXPECT_GT(host.sent.size(), 3u);
}

TEST(SlowStart, ARestartedHostCountsItsPartAsSpent) {
    Settings s = basic_settings();
    s.classes[0].deadline = 5 * kSecond; // unsent requests are held for a fraction of it
    TestHost host(s);
    host.handle(ListUpdate{ListUpdate::Kind::Saved,
                           {TestHost::entry(0, NodeState::Ready, host.now - 100 * kMillisecond)}});
    const RequestId id = host.submit(0);
    EXPECT_EQ(host.attempt_count(id), 0u);
    host.advance(1100 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 1u);
}

TEST(SlowStart, FailedConnectsThenAnAnswerCountAsAStart) {
    TestHost host(basic_settings());
    host.advance(2 * kSecond);
    const RequestId one = host.submit(0), two = host.submit(0);
    host.advance(100 * kMillisecond);
    host.finish(one, Status::ConnectFailed);
    host.finish(two, Status::ConnectFailed);
    host.advance(120 * kMillisecond);
    EXPECT_EQ(host.sent.size(), 3u); // of which one is a probe request
    host.finish(host.sent.back().id);
    EXPECT_TRUE(host.logged("slow_start_began node=0"));
}

// Guards against a host treating a node as warm if its last connect to the node failed after the listed
// start.
TEST(SlowStart, AListedStartOlderThanTheLastRefusalStillCountsAsAStart) {
    TestHost host(basic_settings());
    host.advance(2 * kSecond);
    const Micros listed = host.now;
    host.advance(10 * kMillisecond);
    host.finish(host.submit(0, 0, 4), Status::ConnectFailed, 1 * kMillisecond);
    host.advance(200 * kMillisecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, listed)}});
    EXPECT_TRUE(host.logged("slow_start_began node=0"));
    double units = 0;
    for (int k = 0; k < 20; ++k) {
        const auto before = host.sent.size();
        const RequestId id = host.submit(0, 0, 4);
        units += 4.0 * static_cast<double>(host.sent.size() - before);
        if (host.attempt_count(id))
            host.finish(id);
    }
    EXPECT_LE(units, 12);
}

// Guards against useless datagrams: a host requests a grant only if slow start alone holds a request back.
TEST(SlowStart, AGrantIsRequestedOnlyWhereItWouldHelp) {
    for (const bool limited : {false, true}) {
        Settings s = basic_settings();
        s.peers = true, s.hosts = 40, s.position = 7;
        if (limited)
            s.plans[0].limit = 0.001, s.plans[0].limit_burst = 1;
        TestHost host(s);
        host.advance(3 * kSecond); // sends of a predecessor no longer count
        const Micros started = host.now - 2 * kSecond;
        host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, started)}});
        for (int k = 0; k < 10; ++k)
            host.submit(0), host.advance(50 * kMillisecond);
        EXPECT_EQ(host.peer_messages > 0, !limited);
    }
}

// Guards against full load on a node that may have restarted while an operator had taken it out of service.
TEST(SlowStart, ANodePutBackByHandWarmsUp) {
    TestHost host(basic_settings(), 1);
    host.advance(5 * kSecond);
    for (const NodeState state : {NodeState::Draining, NodeState::Ready}) {
        NodeEntry entry = TestHost::entry(0, state);
        entry.restored = state == NodeState::Ready;
        host.handle(ListUpdate{ListUpdate::Kind::Changes, {entry}});
        EXPECT_EQ(host.scheduler.is_avoided(NodeId{0}), state == NodeState::Draining);
    }
    double units = 0;
    for (int k = 0; k < 40; ++k) {
        const RequestId id = host.submit(0);
        if (host.attempt_count(id))
            host.finish(id), units += 1;
    }
    EXPECT_GT(units, 0);
    EXPECT_LE(units, 12); // the units that a warming node may be sent in a window
}

// Guards against ignoring a node start that is listed while the node drains.
TEST(SlowStart, AStartListedDuringADrainIsNotForgotten) {
    TestHost host(basic_settings(), 1);
    host.advance(5 * kSecond);
    const Micros start = host.now - kSecond;
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining, start)}});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, start)}});
    EXPECT_TRUE(host.logged("slow_start_began node=0"));
}

} // namespace
} // namespace marblewood::policy_test
