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
    s.classes[0].latency_objective = 400 * kMillisecond; // has not passed yet when the bucket is full enough
    TestHost host(s);
    host.hosts = 2;
    const RequestId id = host.submit(0, 0, 1);
    EXPECT_EQ(host.attempt_count(id), 0u);
    host.advance(90 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 0u);
    EXPECT_TRUE(host.logged("rate_limit_reached"));
    host.advance(20 * kMillisecond); // this host's part of the limit, 10 units/s, adds one unit in 100 ms
    EXPECT_EQ(host.attempt_count(id), 1u);
}

TEST(QuotaLedger, LateWorkLeavesTheBucketToTimelyWork) {
    TestHost host(rate_limited_settings());
    const RequestId early = host.submit(0, 0, 4);
    host.advance(170 * kMillisecond); // the bucket holds 3.4 units: too few
    host.advance(190 * kMillisecond); // 7 units, but the latency objective of the request has passed
    EXPECT_EQ(host.attempt_count(early), 0u);
    const RequestId timely = host.submit(0, 0, 4);
    EXPECT_EQ(host.attempt_count(timely), 1u);
}

} // namespace
} // namespace marblewood::policy_test
