#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(NodeTable, NothingNewToADrainingNode) {
    TestHost host(basic_settings());
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    const RequestId id = host.submit(0);
    host.advance(1600 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 0u);
    EXPECT_TRUE(TestHost::has(host.refused, id));
}

TEST(NodeTable, MissingFromAFullListIsGone) {
    TestHost host(basic_settings());
    host.handle(ListUpdate{ListUpdate::Kind::Full, {TestHost::entry(1)}});
    EXPECT_EQ(host.attempt_count(host.submit(0)), 0u);
    EXPECT_EQ(host.attempt_count(host.submit(1)), 1u);
}

TEST(NodeTable, AReplacementTakesOverTheShardAndItsQueue) {
    TestHost host(basic_settings());
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Gone)}});
    const RequestId id = host.submit(0);
    NodeEntry fresh = TestHost::entry(7);
    fresh.shard = ShardId{0};
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {fresh}});
    ASSERT_EQ(host.attempt_count(id), 1u);
    EXPECT_EQ(host.attempts[id][0], NodeId{7});
}

// Guards against a node missing from its shard if it is listed again while an attempt is in flight there,
// which made map::at throw.
TEST(NodeTable, ANodeBackFromGoneWhileWorkWasOutServesItsShardAgain) {
    TestHost host(basic_settings());
    const RequestId out = host.submit(0);
    ASSERT_EQ(host.attempt_count(out), 1u);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Gone)}});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    host.finish(out);
    host.advance(3 * kSecond); // several sweeps run
    EXPECT_NO_THROW(host.submit(-1));
    const RequestId again = host.submit(0);
    ASSERT_EQ(host.attempt_count(again), 1u);
    EXPECT_EQ(host.attempts[again][0], NodeId{0});
}

// Applies random updates of the endpoint list, partial and full, while attempts are in flight. When all nodes
// are listed as ready again, each shard's requests must go to that shard's node. No update may throw.
TEST(NodeTable, AfterAnyOrderOfListsEveryReadyNodeServesItsShard) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::uint64_t x = seed * 0x9E3779B97F4A7C15ULL;
        const auto draw = [&x](std::uint64_t n) { return (x ^= x << 13, x ^= x >> 7, x ^= x << 17) % n; };
        TestHost host(basic_settings(), 3);
        std::vector<RequestId> out;
        for (int step = 0; step < 12; ++step) {
            const int node = static_cast<int>(draw(3));
            const auto state = static_cast<NodeState>(draw(3));
            if (draw(4) == 0) {
                ListUpdate full{ListUpdate::Kind::Full, {}};
                for (int n = 0; n < 3; ++n)
                    if (n != node)
                        full.entries.push_back(TestHost::entry(n, state));
                host.handle(full);
            } else {
                host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(node, state)}});
            }
            if (draw(2) == 0)
                out.push_back(host.submit(static_cast<int>(draw(3))));
            if (!out.empty() && draw(3) == 0) {
                const RequestId id = out[draw(out.size())];
                if (host.attempt_count(id) > 0)
                    host.finish(id);
            }
            ASSERT_NO_THROW(host.advance(static_cast<Micros>(draw(1500)) * kMillisecond)) << "step " << step;
        }
        host.handle(
            ListUpdate{ListUpdate::Kind::Full, {TestHost::entry(0), TestHost::entry(1), TestHost::entry(2)}});
        host.advance(2 * kSecond);
        for (int shard = 0; shard < 3; ++shard) {
            const RequestId id = host.submit(shard);
            ASSERT_EQ(host.attempt_count(id), 1u) << "shard " << shard;
            EXPECT_EQ(host.attempts[id][0], NodeId(shard));
        }
        ASSERT_NO_THROW(host.submit(-1));
    }
}

} // namespace
} // namespace marblewood::policy_test
