#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against a surge of requests of one volume occupying all client connections.
TEST(LoadShedder, BeyondWhatMayWaitTheLowestPriorityIsRefusedAtOnce) {
    Settings s = basic_settings();
    s.surplus_priority_factor = 0.1;
    s.max_queued_requests = 2;
    TestHost host(s);
    const RequestId one = host.submit(0), two = host.submit(0); // in flight: the concurrency limit is reached
    const RequestId first = host.submit(0), second = host.submit(0);
    EXPECT_TRUE(host.refused.empty());
    host.advance(10 * kMillisecond);
    const RequestId third = host.submit(0); // of the same priority, with the latest objective deadline
    ASSERT_EQ(host.refused, std::vector{third});
    for (int k = 0; k < 30; ++k)
        host.submit(0, 0, 4); // uses up the volume's reserve and share
    EXPECT_EQ(host.refused.size(), 31u);
    EXPECT_FALSE(TestHost::has(host.refused, first) || TestHost::has(host.refused, second));
    host.finish(one), host.finish(two);
    EXPECT_EQ(host.attempt_count(first) + host.attempt_count(second), 2u);
    const RequestId surplus = host.submit(0, 0, 4), more_surplus = host.submit(0, 0, 4);
    host.volume = 2;
    const RequestId within_reserve = host.submit(0); // a surplus request is shed instead of this one
    EXPECT_FALSE(TestHost::has(host.refused, within_reserve));
    EXPECT_TRUE(TestHost::has(host.refused, surplus) || TestHost::has(host.refused, more_surplus));
    // Two requests may be in flight besides the queued ones.
    EXPECT_LE(host.scheduler.entry_counts().requests, s.max_queued_requests + 2);
}

TEST(LoadShedder, WhatWasSentBeforeIsTheLastToBeShed) {
    Settings s = basic_settings();
    s.surplus_priority_factor = 0.1;
    s.max_queued_requests = 1;
    TestHost host(s);
    for (int k = 0; k < 30; ++k)
        host.submit(1, 0, 4); // uses up the volume's reserve and share at another node
    const RequestId sent = host.submit(0);
    ASSERT_EQ(host.attempt_count(sent), 1u);
    host.finish(sent, Status::Error); // queued for its second attempt, with a low priority
    host.volume = 2;
    host.submit(0), host.submit(0), host.submit(0), host.submit(0);
    EXPECT_FALSE(TestHost::has(host.refused, sent) || TestHost::has(host.failed, sent));
    EXPECT_GE(host.refused.size(), 2u);
}

} // namespace
} // namespace marblewood::policy_test
