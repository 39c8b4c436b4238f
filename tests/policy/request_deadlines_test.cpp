#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Clients with little time left lost a tenth of it to a timer that ended what was still out.
TEST(RequestDeadlines, AnAttemptInFlightHasUntilTheClientsDeadline) {
    Settings s = basic_settings();
    s.answer_slack = 8 * kMillisecond;
    TestHost host(s);
    host.time_left = 100 * kMillisecond;
    const RequestId id = host.ask(0);
    EXPECT_EQ(host.sent.back().expires, host.now + 100 * kMillisecond);
    host.run(100 * kMillisecond);
    EXPECT_FALSE(TestHost::has(host.refused, id));
    host.run(5 * kMillisecond); // no time-out came: answered within the slack all the same
    EXPECT_TRUE(TestHost::has(host.refused, id));
}

// Guards against clients' connections filled with work that has no prospect: it is answered while they have
// most of their time.
TEST(RequestDeadlines, UnsentWorkIsRefusedEarly) {
    TestHost host(basic_settings(), 0); // no node at all
    host.ask(0);
    host.run(500 * kMillisecond); // of 1.5 s
    EXPECT_EQ(host.refused.size(), 1u);
}

TEST(RequestDeadlines, EveryRequestIsAnsweredBeforeItsDeadline) {
    TestHost host(basic_settings(), 0); // no node at all
    const RequestId id = host.ask(0);
    host.run(1500 * kMillisecond);
    EXPECT_TRUE(TestHost::has(host.refused, id));
    EXPECT_EQ(host.scheduler.held().requests, 0u);
}

} // namespace
} // namespace marblewood::policy_test
