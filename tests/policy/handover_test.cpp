#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against both processes of a hot restart spending the same rate limit or slow-start budget.
TEST(Handover, RateLimitsAndSlowStartHoldOverAHandover) {
    Settings s = basic_settings();
    s.plans = {{10, 5, 1, 1, 4, 8, 0}}; // 4 units/s, burst of 8 units
    s.classes[0].deadline = 60 * kSecond;
    TestHost old(s, 1), fresh(s, 1);
    // Both processes fill their buckets, but what a successor accrues before the handover does not count.
    fresh.submit(0);
    old.finish(old.submit(0, 0, 0));
    old.advance(10 * kSecond);
    const auto count = [](TestHost &host, int n) {
        std::size_t sent = 0;
        for (int k = 0; k < n; ++k) {
            const RequestId id = host.submit(0);
            if (host.attempt_count(id))
                host.finish(id), ++sent;
        }
        return sent;
    };
    EXPECT_EQ(count(old, 3), 3u);
    TestHost next(s, 1);
    next.now = old.now;
    const HandoverState handover = old.scheduler.handover_state();
    next.handle(handover);
    old.handle(DrainForSuccessor{});
    const std::size_t both = count(next, 20) + count(old, 20);
    EXPECT_GE(both, 4u);
    EXPECT_LE(both, 5u); // the burst of 8 units, less the 3 spent
    old.advance(kSecond);
    EXPECT_EQ(count(old, 5), 0u);
    // The successor has failed: the bucket is empty, but is refilled again.
    old.handle(DrainForSuccessor{false});
    EXPECT_EQ(count(old, 5), 0u);
    old.advance(kSecond);
    EXPECT_GT(count(old, 5), 0u);
}

} // namespace
} // namespace marblewood::policy_test
