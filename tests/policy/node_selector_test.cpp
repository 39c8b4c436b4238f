#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(NodeSelector, NewObjectsGoWhereTheLeastIsToDo) {
    TestHost host(basic_settings());
    for (int k = 0; k < 6; ++k)
        host.submit(0);
    const RequestId id = host.submit(-1);
    EXPECT_EQ(host.attempts[id][0], NodeId{1});
}

// Guards against all new objects being placed on the few nodes that are not warming up.
TEST(NodeSelector, WarmingNodesAreNotShunnedByNewObjects) {
    TestHost host(basic_settings());
    host.advance(2 * kSecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Ready, host.now)}});
    int on_warming_node = 0;
    for (int k = 0; k < 20; ++k) {
        host.advance(kSecond / 2);
        const RequestId id = host.submit(-1);
        if (host.attempt_count(id) && host.attempts[id][0] == NodeId{0})
            ++on_warming_node;
        if (host.attempt_count(id))
            host.finish(id, Status::Ok, 200 * kMillisecond);
    }
    EXPECT_GE(on_warming_node, 3);
}

// Guards against all hosts placing new objects on the same node.
TEST(NodeSelector, HostsThatSeeTheSameSpreadNewObjects) {
    std::map<NodeId, int> chosen;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Settings s = basic_settings();
        s.seed = seed;
        TestHost host(s, 10);
        const RequestId id = host.submit(-1);
        ++chosen[host.attempts[id][0]];
    }
    EXPECT_EQ(chosen.size(), 10u);
    for (const auto &[node, times] : chosen)
        EXPECT_LE(times, 50) << static_cast<std::uint32_t>(node);
}

// Guards against a read that names the former shard of its object being rejected there again and again.
TEST(NodeSelector, ARejectedReadGoesWhereItsObjectWasPlaced) {
    TestHost host(basic_settings());
    const RequestId write = host.submit(-1, 0, 1, DataKey{7});
    const NodeId placed = host.attempts.at(write).front();
    host.finish(write);
    const int other = placed == NodeId{0} ? 1 : 0;
    for (const std::uint64_t key : {7u, 8u}) { // placed by this host; unknown to this host
        const RequestId read = host.submit(other, 0, 1, DataKey{key});
        host.finish(read, Status::Rejected, kMillisecond);
        host.advance(100 * kMillisecond);
        const NodeId next = key == 7 ? placed : NodeId(other);
        EXPECT_EQ(host.attempts.at(read), (std::vector<NodeId>{NodeId(other), next}));
        host.finish(read);
    }
}

} // namespace
} // namespace marblewood::policy_test
