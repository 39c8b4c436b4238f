#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against one volume's surge holding every connection that clients have.
TEST(LoadShedder, BeyondWhatMayWaitTheLowestPriorityIsRefusedAtOnce) {
    Settings s = basic_settings();
    s.surplus_priority_factor = 0.1;
    s.max_queued_requests = 2;
    TestHost host(s);
    const RequestId one = host.ask(0), two = host.ask(0); // in flight: the concurrency limit is reached
    const RequestId first = host.ask(0), second = host.ask(0);
    EXPECT_TRUE(host.refused.empty());
    host.run(10 * kMillisecond);
    const RequestId third = host.ask(0); // of the same priority, due last
    ASSERT_EQ(host.refused, std::vector{third});
    for (int k = 0; k < 30; ++k)
        host.ask(0, 0, 4); // spends the volume's reserve and share
    EXPECT_EQ(host.refused.size(), 31u);
    EXPECT_FALSE(TestHost::has(host.refused, first) || TestHost::has(host.refused, second));
    host.end(one), host.end(two);
    EXPECT_EQ(host.attempt_count(first) + host.attempt_count(second), 2u);
    const RequestId spare = host.ask(0, 0, 4), more = host.ask(0, 0, 4);
    host.volume = 2;
    const RequestId dear = host.ask(0); // within its reserve: one of what is beyond goes for it
    EXPECT_FALSE(TestHost::has(host.refused, dear));
    EXPECT_TRUE(TestHost::has(host.refused, spare) || TestHost::has(host.refused, more));
    EXPECT_LE(host.scheduler.held().requests, s.max_queued_requests + 2); // and what is out
}

TEST(LoadShedder, WhatWasSentBeforeIsTheLastToBeShed) {
    Settings s = basic_settings();
    s.surplus_priority_factor = 0.1;
    s.max_queued_requests = 1;
    TestHost host(s);
    for (int k = 0; k < 30; ++k)
        host.ask(1, 0, 4); // spends the volume's reserve and share elsewhere
    const RequestId sent = host.ask(0);
    ASSERT_EQ(host.attempt_count(sent), 1u);
    host.end(sent, Status::Error); // waits for its second attempt, and has a low priority
    host.volume = 2;
    host.ask(0), host.ask(0), host.ask(0), host.ask(0);
    EXPECT_FALSE(TestHost::has(host.refused, sent) || TestHost::has(host.failed, sent));
    EXPECT_GE(host.refused.size(), 2u);
}

} // namespace
} // namespace marblewood::policy_test
