#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(NodeSelector, NewObjectsGoWhereTheLeastIsToDo) {
    TestHost host(basic_settings());
    for (int k = 0; k < 6; ++k)
        host.ask(0);
    const RequestId id = host.ask(-1);
    EXPECT_EQ(host.attempts[id][0], NodeId{1});
}

// Guards against all new objects going to the few nodes that are not warming up.
TEST(NodeSelector, WarmingNodesAreNotShunnedByNewObjects) {
    TestHost host(basic_settings());
    host.run(2 * kSecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, host.now)}});
    int cold = 0;
    for (int k = 0; k < 20; ++k) {
        host.run(kSecond / 2);
        const RequestId id = host.ask(-1);
        if (host.attempt_count(id) && host.attempts[id][0] == NodeId{0})
            ++cold;
        if (host.attempt_count(id))
            host.end(id, Status::Ok, 200 * kMillisecond);
    }
    EXPECT_GE(cold, 3);
}

// Guards against all hosts placing new objects on the same node.
TEST(NodeSelector, HostsThatSeeTheSameSpreadNewObjects) {
    std::map<NodeId, int> chosen;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Settings s = basic_settings();
        s.seed = seed;
        TestHost host(s, 10);
        const RequestId id = host.ask(-1);
        ++chosen[host.attempts[id][0]];
    }
    EXPECT_EQ(chosen.size(), 10u);
    for (const auto &[node, times] : chosen)
        EXPECT_LE(times, 50) << static_cast<std::uint32_t>(node);
}

// Guards against a read that names its object's former shard being rejected there for ever.
TEST(NodeSelector, ARejectedReadGoesWhereItsObjectWasPlaced) {
    TestHost host(basic_settings());
    const RequestId write = host.ask(-1, 0, 1, DataKey{7});
    const NodeId placed = host.attempts.at(write).front();
    host.end(write);
    const int other = placed == NodeId{0} ? 1 : 0;
    for (const std::uint64_t key : {7u, 8u}) { // placed here; never seen
        const RequestId read = host.ask(other, 0, 1, DataKey{key});
        host.end(read, Status::Rejected, kMillisecond);
        host.run(100 * kMillisecond);
        const NodeId next = key == 7 ? placed : NodeId(other);
        EXPECT_EQ(host.attempts.at(read), (std::vector<NodeId>{NodeId(other), next}));
        host.end(read);
    }
}

} // namespace
} // namespace marblewood::policy_test
