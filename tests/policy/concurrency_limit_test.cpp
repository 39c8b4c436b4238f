#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(ConcurrencyLimit, StartsAtTwoAndExcessWaits) {
    TestHost host(basic_settings());
    for (int k = 0; k < 7; ++k)
        host.submit(0);
    EXPECT_EQ(host.sent.size(), 2u);
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 2);
}

TEST(ConcurrencyLimit, FollowsEquationSixOne) {
    TestHost host(basic_settings());
    const RequestId one = host.submit(0), two = host.submit(0);
    // Mean ratio 1.2, two in flight including this one: 2 / (1 + 0.8 * 0.2).
    host.finish(one, Status::Ok, 360 * kMillisecond);
    EXPECT_NEAR(*host.scheduler.concurrency_limit(NodeId{0}), 2 / 1.16, 1e-9);
    host.finish(two, Status::Ok, 600 * kMillisecond); // mean ratio 1.6, one in flight: the floor applies
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 1);
    host.finish(host.submit(0), Status::Ok, 30 * kMillisecond);
    host.finish(host.submit(0), Status::Ok, 30 * kMillisecond); // the mean of 1.2, 2, 0.1 and 0.1 is 0.85
    EXPECT_NEAR(*host.scheduler.concurrency_limit(NodeId{0}), 1 / 0.88, 1e-9);
}

TEST(ConcurrencyLimit, QuickErrorsDoNotRaiseIt) {
    TestHost host(basic_settings());
    std::vector<RequestId> ids;
    for (int k = 0; k < 4; ++k)
        ids.push_back(host.submit(0));
    host.finish(ids[0], Status::Error, 1 * kMillisecond);
    // The mean ratio stays at the target, so the limit is at most the number in flight.
    EXPECT_LE(*host.scheduler.concurrency_limit(NodeId{0}), 4);
}

TEST(ConcurrencyLimit, OverdueAttemptsLowerItWithoutAnAnswer) {
    TestHost host(basic_settings());
    for (int k = 0; k < 2; ++k)
        host.submit(0);
    host.advance(700 * kMillisecond);
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 1);
}

// Guards against one stalled connection blocking all requests to a node whose other answers are quick, and
// against resets, which say nothing about load, lowering the concurrency limit.
TEST(ConcurrencyLimit, ALostAttemptHoldsNoPlaceWhereOthersAreQuick) {
    TestHost host(basic_settings());
    for (int n = 0; n < 10; ++n) {
        host.finish(host.submit(0));
        host.finish(host.submit(0), Status::Reset, kMillisecond);
        host.advance(50 * kMillisecond); // the retry is sent
        host.finish(RequestId{static_cast<std::uint64_t>(2 * n + 2)});
    }
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId(0)), 2);
    const RequestId lost = host.submit(0), other = host.submit(0);
    host.advance(500 * kMillisecond);
    host.finish(other, Status::Reset, 500 * kMillisecond);
    const std::size_t before = host.sent.size();
    host.submit(0);
    host.submit(0);
    EXPECT_EQ(host.sent.size(), before + 2);
    EXPECT_EQ(host.attempt_count(lost), 1u);
}

// Guards against rejections lowering the concurrency limit of a node whose queue is not full.
TEST(ConcurrencyLimit, AQuickNodesRefusalsSayNothingOfItsLoad) {
    TestHost host(basic_settings());
    for (int k = 0; k < 10; ++k)
        host.finish(host.submit(0), Status::Ok, 30 * kMillisecond);
    for (int k = 0; k < 10; ++k)
        host.finish(host.submit(0), Status::Rejected, 1 * kMillisecond);
    host.submit(0), host.submit(0);
    host.finish(host.submit(0, 0, 1), Status::Ok, 30 * kMillisecond, 0);
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 2);
}

} // namespace
} // namespace marblewood::policy_test
