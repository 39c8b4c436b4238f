#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against a rate limit, or a node's slow-start budget, being spent by both processes.
TEST(Handover, RateLimitsAndSlowStartHoldOverAHandover) {
    Settings s = basic_settings();
    s.plans = {{10, 5, 1, 1, 4, 8, 0}}; // 4 units a second, 8 at once
    s.classes[0].deadline = 60 * kSecond;
    TestHost old(s, 1), fresh(s, 1);
    fresh.ask(0); // both fill their buckets; the successor's counts for nothing before it takes over
    old.end(old.ask(0, 0, 0));
    old.run(10 * kSecond);
    const auto count = [](TestHost &host, int n) {
        std::size_t sent = 0;
        for (int k = 0; k < n; ++k) {
            const RequestId id = host.ask(0);
            if (host.attempt_count(id))
                host.end(id), ++sent;
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
    EXPECT_LE(both, 5u); // 8 at once, less the 3
    old.run(kSecond);
    EXPECT_EQ(count(old, 5), 0u);
    old.handle(
        DrainForSuccessor{false}); // the successor has gone: nothing at once, but the limit's rate again
    EXPECT_EQ(count(old, 5), 0u);
    old.run(kSecond);
    EXPECT_GT(count(old, 5), 0u);
}

} // namespace
} // namespace marblewood::policy_test
