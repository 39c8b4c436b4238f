#include "test_host.hpp"

#include <cmath>
#include <limits>

namespace marblewood::policy_test {
namespace {

LoadReport report(double inflight, Micros service) {
    LoadReport load;
    load.inflight = inflight;
    load.service = service;
    return load;
}

// Uses up a volume's reserve and share, so that its next requests are surplus. No request stays in flight.
void use_up_reserve_and_share(TestHost &host) {
    for (int k = 0; k < 40; ++k)
        if (const RequestId id = host.submit(1, 0, 4); host.attempt_count(id))
            host.finish(id);
}

TEST(LoadEstimate, AHealthCheckIsSentWhereSurplusWorkLacksEvidenceAndItsReportDecides) {
    Settings s = basic_settings();
    s.share_priority_factor = 0.35;
    s.surplus_priority_factor = 0.1;
    s.probes = true;
    for (const double inflight : {0.0, 200.0}) {
        TestHost host(s);
        use_up_reserve_and_share(host);
        host.advance(2 * kSecond);
        use_up_reserve_and_share(host);
        const RequestId held = host.submit(0, 0, 4), more = host.submit(0, 0, 4);
        // The second request is held back for lack of evidence.
        ASSERT_EQ(host.attempt_count(held) + host.attempt_count(more), 1u);
        ASSERT_FALSE(host.probed.empty());
        host.handle(ProbeEnded{NodeId{0}, Status::Ok, 1 * kMillisecond, report(inflight, 60 * kMillisecond)});
        EXPECT_EQ(host.attempt_count(held) + host.attempt_count(more), inflight > 0 ? 1u : 2u);
    }
}

TEST(LoadEstimate, ImplausibleOrFrozenReportsChangeNothing) {
    Settings s = basic_settings();
    const double inf = std::numeric_limits<double>::infinity();
    const auto limit_after = [&](const std::optional<LoadReport> &load, Micros length) {
        TestHost host(s);
        host.report = load;
        for (Micros t = 0; t < length; t += kSecond)
            host.finish(host.submit(0), Status::Ok, 240 * kMillisecond), host.advance(kSecond);
        const RequestId one = host.submit(0), two = host.submit(0);
        host.finish(one, Status::Ok, 390 * kMillisecond);
        host.finish(two, Status::Ok, 30 * kMillisecond);
        return *host.scheduler.concurrency_limit(NodeId{0});
    };
    const double without = limit_after({}, kSecond);
    for (const LoadReport &load :
         {report(-1, 60 * kMillisecond), report(inf, 60 * kMillisecond),
          report(std::nan(""), 60 * kMillisecond), report(3, -kMillisecond), report(3, 0),
          report(3, INT64_MAX), LoadReport{}, report(1e12, 60 * kMillisecond)})
        EXPECT_DOUBLE_EQ(limit_after(load, kSecond), without);
    // A plausible report does change the limit.
    EXPECT_NE(limit_after(report(3, 900 * kMillisecond), kSecond), without);
    EXPECT_NEAR(limit_after(report(3, 900 * kMillisecond), 60 * kSecond), limit_after({}, 60 * kSecond),
                1e-3);
}

} // namespace
} // namespace marblewood::policy_test
