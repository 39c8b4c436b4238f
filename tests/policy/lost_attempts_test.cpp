#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against an attempt on a silent connection holding a place and its client until its time-out.
TEST(LostAttempts, AnAttemptThatLaterOnesOvertookIsCancelled) {
    Settings settings = basic_settings();
    settings.cancel = true;
    TestHost host(settings);
    const RequestId lost = host.ask(0);
    for (int n = 0; n < 5; ++n) {
        host.run(40 * kMillisecond);
        EXPECT_TRUE(host.cancelled.empty()) << n;
        host.end(host.ask(0));
    }
    EXPECT_EQ(host.cancelled, std::vector<RequestId>{lost});
    host.end(lost, Status::Cancelled);
    host.run(30 * kMillisecond);
    EXPECT_EQ(host.attempt_count(lost), 2u);

    TestHost slow(settings);
    slow.ask(0);
    slow.run(kSecond);
    EXPECT_TRUE(slow.cancelled.empty());
}

} // namespace
} // namespace marblewood::policy_test
