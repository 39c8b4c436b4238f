#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against an attempt on a stalled connection occupying a slot, and keeping its client waiting, until
// it times out.
TEST(LostAttempts, AnAttemptThatLaterOnesOvertookIsCancelled) {
    Settings settings = basic_settings();
    settings.cancel = true;
    TestHost host(settings);
    const RequestId lost = host.submit(0);
    for (int n = 0; n < 5; ++n) {
        host.advance(40 * kMillisecond);
        EXPECT_TRUE(host.cancelled.empty()) << n;
        host.finish(host.submit(0));
    }
    EXPECT_EQ(host.cancelled, std::vector<RequestId>{lost});
    host.finish(lost, Status::Cancelled);
    host.advance(30 * kMillisecond);
    EXPECT_EQ(host.attempt_count(lost), 2u);

    TestHost slow(settings);
    slow.submit(0);
    slow.advance(kSecond);
    EXPECT_TRUE(slow.cancelled.empty());
}

} // namespace
} // namespace marblewood::policy_test
