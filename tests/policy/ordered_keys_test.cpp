#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(OrderedKeys, OneKeyRunsInTurnAndPausesAfterATimeout) {
    TestHost host(basic_settings());
    const DataKey key{5};
    const RequestId first = host.ask(0, 1, 1, key), second = host.ask(0, 1, 1, key);
    EXPECT_EQ(host.attempt_count(second), 0u);
    host.end(first, Status::Timeout, 50 * kMillisecond);
    host.run(90 * kMillisecond);
    EXPECT_EQ(host.attempt_count(second), 0u);
    host.run(20 * kMillisecond);
    EXPECT_EQ(host.attempt_count(second), 1u);
}

TEST(OrderedKeys, AnAttemptStillOutAfterTheEndHoldsTheKey) {
    TestHost host(basic_settings()); // no cancelling: the attempt stays out
    const DataKey key{5};
    const RequestId first = host.ask(0, 1, 1, key);
    host.run(1900 * kMillisecond);
    const RequestId second = host.ask(0, 1, 1, key);
    host.run(100 * kMillisecond);
    EXPECT_TRUE(TestHost::has(host.failed, first));
    EXPECT_EQ(host.attempt_count(second), 0u);
    host.end(first, Status::Timeout, 2000 * kMillisecond);
    host.run(150 * kMillisecond);
    EXPECT_EQ(host.attempt_count(second), 1u);
}

} // namespace
} // namespace marblewood::policy_test
