#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(OrderedKeys, OneKeyRunsInTurnAndPausesAfterATimeout) {
    TestHost host(basic_settings());
    const DataKey key{5};
    const RequestId first = host.submit(0, 1, 1, key), second = host.submit(0, 1, 1, key);
    EXPECT_EQ(host.attempt_count(second), 0u);
    host.finish(first, Status::Timeout, 50 * kMillisecond);
    host.advance(90 * kMillisecond);
    EXPECT_EQ(host.attempt_count(second), 0u);
    host.advance(20 * kMillisecond);
    EXPECT_EQ(host.attempt_count(second), 1u);
}

TEST(OrderedKeys, AnAttemptStillOutAfterTheEndHoldsTheKey) {
    TestHost host(basic_settings()); // attempts cannot be cancelled, so this one stays in flight
    const DataKey key{5};
    const RequestId first = host.submit(0, 1, 1, key);
    host.advance(1900 * kMillisecond);
    const RequestId second = host.submit(0, 1, 1, key);
    host.advance(100 * kMillisecond);
    EXPECT_TRUE(TestHost::has(host.failed, first));
    EXPECT_EQ(host.attempt_count(second), 0u);
    host.finish(first, Status::Timeout, 2000 * kMillisecond);
    host.advance(150 * kMillisecond);
    EXPECT_EQ(host.attempt_count(second), 1u);
}

} // namespace
} // namespace marblewood::policy_test
