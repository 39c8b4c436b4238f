#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(RetryPolicy, ANonIdempotentRequestThatMayHaveRunFailsAndIsNotRetried) {
    TestHost host(basic_settings());
    const RequestId id = host.submit(0, 1);
    host.finish(id, Status::Reset);
    host.advance(2 * kSecond);
    EXPECT_EQ(host.attempt_count(id), 1u);
    EXPECT_TRUE(TestHost::has(host.failed, id));
    EXPECT_FALSE(TestHost::has(host.refused, id));
}

TEST(RetryPolicy, ANonIdempotentRequestThatNeverRanIsRetried) {
    TestHost host(basic_settings());
    const RequestId id = host.submit(0, 1);
    host.finish(id, Status::Rejected);
    host.advance(50 * kMillisecond);
    EXPECT_EQ(host.attempt_count(id), 2u);
}

TEST(RetryPolicy, ARequestWithAKeyIsRetriedOnlyWithinItsWindow) {
    Settings s = basic_settings();
    s.classes[0].idempotency = Idempotency::WithKey;
    s.classes[0].deduplication_scope = DeduplicationScope::Cell;
    s.classes[0].deduplication_window = 200 * kMillisecond;
    TestHost host(s);
    const RequestId soon = host.submit(0), late = host.submit(0);
    host.finish(soon, Status::Error, 10 * kMillisecond);
    host.advance(50 * kMillisecond);
    EXPECT_EQ(host.attempt_count(soon), 2u);
    host.advance(200 * kMillisecond);
    host.finish(late, Status::Error, 250 * kMillisecond);
    host.advance(2 * kSecond);
    EXPECT_EQ(host.attempt_count(late), 1u);
    // With the deduplication scope Cell, a request is not refused once it may have run.
    EXPECT_TRUE(TestHost::has(host.failed, late));
}

TEST(RetryPolicy, AttemptsStayWithinTheMost) {
    TestHost host(basic_settings());
    const RequestId id = host.submit(0);
    for (int k = 0; k < 3; ++k) {
        ASSERT_EQ(host.attempt_count(id), static_cast<std::size_t>(k + 1));
        host.finish(id, Status::Error, 1 * kMillisecond);
        host.advance(50 * kMillisecond);
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
    const RequestId one = host.submit(0), two = host.submit(0);
    host.finish(one, Status::Error, 1 * kMillisecond);
    host.finish(two, Status::Error, 1 * kMillisecond);
    host.advance(100 * kMillisecond);
    EXPECT_EQ(host.attempt_count(one) + host.attempt_count(two), 3u);
}

} // namespace
} // namespace marblewood::policy_test
