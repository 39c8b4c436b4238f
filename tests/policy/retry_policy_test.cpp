#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(RetryPolicy, ANonIdempotentRequestThatMayHaveRunFailsAndIsNotRetried) {
    TestHost host(basic_settings());
    const RequestId id = host.ask(0, 1);
    host.end(id, Status::Reset);
    host.run(2 * kSecond);
    EXPECT_EQ(host.attempt_count(id), 1u);
    EXPECT_TRUE(TestHost::has(host.failed, id));
    EXPECT_FALSE(TestHost::has(host.refused, id));
}

TEST(RetryPolicy, ANonIdempotentRequestThatNeverRanIsRetried) {
    TestHost host(basic_settings());
    const RequestId id = host.ask(0, 1);
    host.end(id, Status::Rejected);
    host.run(50 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 2u);
}

TEST(RetryPolicy, ARequestWithAKeyIsRetriedOnlyWithinItsWindow) {
    Settings s = basic_settings();
    s.classes[0].idempotency = Idempotency::WithKey;
    s.classes[0].deduplication_scope = DeduplicationScope::Cell;
    s.classes[0].deduplication_window = 200 * kMillisecond;
    TestHost host(s);
    const RequestId soon = host.ask(0), late = host.ask(0);
    host.end(soon, Status::Error, 10 * kMillisecond);
    host.run(50 * kMillisecond);
    EXPECT_EQ(host.attempt_count(soon), 2u);
    host.run(200 * kMillisecond);
    host.end(late, Status::Error, 250 * kMillisecond);
    host.run(2 * kSecond);
    EXPECT_EQ(host.attempt_count(late), 1u);
    EXPECT_TRUE(TestHost::has(host.failed, late)); // group cell: no refusal once it may have run
}

TEST(RetryPolicy, AttemptsStayWithinTheMost) {
    TestHost host(basic_settings());
    const RequestId id = host.ask(0);
    for (int k = 0; k < 3; ++k) {
        ASSERT_EQ(host.attempt_count(id), static_cast<std::size_t>(k + 1));
        host.end(id, Status::Error, 1 * kMillisecond);
        host.run(50 * kMillisecond);
    }
    EXPECT_EQ(host.attempt_count(id), 3u);
    EXPECT_TRUE(TestHost::has(host.refused, id));
}

TEST(RetryPolicy, RetriesStayWithinTheBudget) {
    Settings s = basic_settings();
    s.retry_budget_window = 5 * kSecond;
    s.retry_budget_free = 1;
    s.retry_budget_fraction = 0;
    TestHost host(s);
    const RequestId one = host.ask(0), two = host.ask(0);
    host.end(one, Status::Error, 1 * kMillisecond);
    host.end(two, Status::Error, 1 * kMillisecond);
    host.run(100 * kMillisecond);
    EXPECT_EQ(host.attempt_count(one) + host.attempt_count(two), 3u);
}

} // namespace
} // namespace marblewood::policy_test
