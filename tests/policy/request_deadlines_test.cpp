#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against a timer that ends attempts in flight before the client's deadline. Clients with little time
// left lost a tenth of it that way.
TEST(RequestDeadlines, AnAttemptInFlightHasUntilTheClientsDeadline) {
    Settings s = basic_settings();
    s.answer_slack = 8 * kMillisecond;
    TestHost host(s);
    host.time_left = 100 * kMillisecond;
    const RequestId id = host.submit(0);
    EXPECT_EQ(host.sent.back().expires, host.now + 100 * kMillisecond);
    host.advance(100 * kMillisecond);
    EXPECT_FALSE(TestHost::has(host.refused, id));
    host.advance(5 * kMillisecond); // the attempt has not timed out: the answer comes within the slack anyway
    EXPECT_TRUE(TestHost::has(host.refused, id));
}

// Guards against client connections occupied by requests that cannot be served: such a request is refused
// while its client has most of its time left.
TEST(RequestDeadlines, UnsentWorkIsRefusedEarly) {
    TestHost host(basic_settings(), 0); // no node at all
    host.submit(0);
    host.advance(500 * kMillisecond); // of the client's 1.5 s
    EXPECT_EQ(host.refused.size(), 1u);
}

TEST(RequestDeadlines, EveryRequestIsAnsweredBeforeItsDeadline) {
    TestHost host(basic_settings(), 0); // no node at all
    const RequestId id = host.submit(0);
    host.advance(1500 * kMillisecond);
    EXPECT_TRUE(TestHost::has(host.refused, id));
    EXPECT_EQ(host.scheduler.entry_counts().requests, 0u);
}

} // namespace
} // namespace marblewood::policy_test
