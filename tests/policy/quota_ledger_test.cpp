#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

Settings rate_limited_settings() {
    Settings s = basic_settings();
    s.plans[0].limit = 20;
    s.plans[0].limit_burst = 20;
    return s;
}

TEST(QuotaLedger, ANewHostStartsWithAnEmptyBucketAndFillsItsPart) {
    Settings s = rate_limited_settings();
    s.classes[0].latency_objective = 400 * kMillisecond; // still within reach when the bucket has filled
    TestHost host(s);
    host.hosts = 2;
    const RequestId id = host.ask(0, 0, 1);
    EXPECT_EQ(host.attempt_count(id), 0u);
    host.run(90 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 0u);
    EXPECT_TRUE(host.logged("rate_limit_reached"));
    host.run(20 * kMillisecond); // one unit at ten a second
    EXPECT_EQ(host.attempt_count(id), 1u);
}

TEST(QuotaLedger, LateWorkLeavesTheBucketToTimelyWork) {
    TestHost host(rate_limited_settings());
    const RequestId early = host.ask(0, 0, 4);
    host.run(170 * kMillisecond); // 3.4 units: too few
    host.run(190 * kMillisecond); // seven units by now, but the first one's objective has passed
    EXPECT_EQ(host.attempt_count(early), 0u);
    const RequestId timely = host.ask(0, 0, 4);
    EXPECT_EQ(host.attempt_count(timely), 1u);
}

} // namespace
} // namespace marblewood::policy_test
