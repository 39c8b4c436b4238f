#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(ConcurrencyLimit, StartsAtTwoAndExcessWaits) {
    TestHost host(basic_settings());
    for (int k = 0; k < 7; ++k)
        host.ask(0);
    EXPECT_EQ(host.sent.size(), 2u);
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 2);
}

TEST(ConcurrencyLimit, FollowsEquationSixOne) {
    TestHost host(basic_settings());
    const RequestId one = host.ask(0), two = host.ask(0);
    host.end(one, Status::Ok,
             360 * kMillisecond); // mean ratio 1.2, two in flight with it: 2 / (1 + 0.8 * 0.2)
    EXPECT_NEAR(*host.scheduler.concurrency_limit(NodeId{0}), 2 / 1.16, 1e-9);
    host.end(two, Status::Ok, 600 * kMillisecond); // mean ratio 1.6, one in flight: under the floor
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 1);
    host.end(host.ask(0), Status::Ok, 30 * kMillisecond);
    host.end(host.ask(0), Status::Ok, 30 * kMillisecond); // the mean of 1.2, 2, 0.1 and 0.1 is 0.85
    EXPECT_NEAR(*host.scheduler.concurrency_limit(NodeId{0}), 1 / 0.88, 1e-9);
}

TEST(ConcurrencyLimit, QuickErrorsDoNotRaiseIt) {
    TestHost host(basic_settings());
    std::vector<RequestId> ids;
    for (int k = 0; k < 4; ++k)
        ids.push_back(host.ask(0));
    host.end(ids[0], Status::Error, 1 * kMillisecond);
    EXPECT_LE(*host.scheduler.concurrency_limit(NodeId{0}), 4); // L stays at the target: N_e, four
}

TEST(ConcurrencyLimit, OverdueAttemptsLowerItWithoutAnAnswer) {
    TestHost host(basic_settings());
    for (int k = 0; k < 2; ++k)
        host.ask(0);
    host.run(700 * kMillisecond);
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 1);
}

// Guards against one silent connection keeping everything from a node whose other answers are quick, and
// against resets, which tell nothing of load, closing the bound.
TEST(ConcurrencyLimit, ALostAttemptHoldsNoPlaceWhereOthersAreQuick) {
    TestHost host(basic_settings());
    for (int n = 0; n < 10; ++n) {
        host.end(host.ask(0));
        host.end(host.ask(0), Status::Reset, kMillisecond);
        host.run(50 * kMillisecond); // the repeat
        host.end(RequestId{static_cast<std::uint64_t>(2 * n + 2)});
    }
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId(0)), 2);
    const RequestId lost = host.ask(0), other = host.ask(0);
    host.run(500 * kMillisecond);
    host.end(other, Status::Reset, 500 * kMillisecond);
    const std::size_t before = host.sent.size();
    host.ask(0);
    host.ask(0);
    EXPECT_EQ(host.sent.size(), before + 2);
    EXPECT_EQ(host.attempt_count(lost), 1u);
}

// Guards against rejections by a node without a full queue lowering its limit.
TEST(ConcurrencyLimit, AQuickNodesRefusalsSayNothingOfItsLoad) {
    TestHost host(basic_settings());
    for (int k = 0; k < 10; ++k)
        host.end(host.ask(0), Status::Ok, 30 * kMillisecond);
    for (int k = 0; k < 10; ++k)
        host.end(host.ask(0), Status::Rejected, 1 * kMillisecond);
    host.ask(0), host.ask(0);
    host.end(host.ask(0, 0, 1), Status::Ok, 30 * kMillisecond, 0);
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 2);
}

} // namespace
} // namespace marblewood::policy_test
