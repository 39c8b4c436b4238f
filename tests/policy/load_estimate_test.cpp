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

// Asks past a volume's reserve and share, so that what comes next is surplus work; nothing stays in flight.
void spend(TestHost &host) {
    for (int k = 0; k < 40; ++k)
        if (const RequestId id = host.ask(1, 0, 4); host.attempt_count(id))
            host.end(id);
}

TEST(LoadEstimate, AHealthCheckIsSentWhereSurplusWorkLacksEvidenceAndItsReportDecides) {
    Settings s = basic_settings();
    s.share_priority_factor = 0.35;
    s.surplus_priority_factor = 0.1;
    s.probes = true;
    for (const double inflight : {0.0, 200.0}) {
        TestHost host(s);
        spend(host);
        host.run(2 * kSecond);
        spend(host);
        const RequestId held = host.ask(0, 0, 4), more = host.ask(0, 0, 4);
        ASSERT_EQ(host.attempt_count(held) + host.attempt_count(more), 1u); // the second lacks evidence
        ASSERT_FALSE(host.probed.empty());
        host.handle(ProbeEnded{NodeId{0}, Status::Ok, 1 * kMillisecond, report(inflight, 60 * kMillisecond)});
        EXPECT_EQ(host.attempt_count(held) + host.attempt_count(more), inflight > 0 ? 1u : 2u);
    }
}

TEST(LoadEstimate, ImplausibleOrFrozenReportsChangeNothing) {
    Settings s = basic_settings();
    const double inf = std::numeric_limits<double>::infinity();
    const auto bound_after = [&](const std::optional<LoadReport> &load, Micros length) {
        TestHost host(s);
        host.report = load;
        for (Micros t = 0; t < length; t += kSecond)
            host.end(host.ask(0), Status::Ok, 240 * kMillisecond), host.run(kSecond);
        const RequestId one = host.ask(0), two = host.ask(0);
        host.end(one, Status::Ok, 390 * kMillisecond);
        host.end(two, Status::Ok, 30 * kMillisecond);
        return *host.scheduler.concurrency_limit(NodeId{0});
    };
    const double without = bound_after({}, kSecond);
    for (const LoadReport &load :
         {report(-1, 60 * kMillisecond), report(inf, 60 * kMillisecond),
          report(std::nan(""), 60 * kMillisecond), report(3, -kMillisecond), report(3, 0),
          report(3, INT64_MAX), LoadReport{}, report(1e12, 60 * kMillisecond)})
        EXPECT_DOUBLE_EQ(bound_after(load, kSecond), without);
    EXPECT_NE(bound_after(report(3, 900 * kMillisecond), kSecond), without); // a plausible one does change it
    EXPECT_NEAR(bound_after(report(3, 900 * kMillisecond), 60 * kSecond), bound_after({}, 60 * kSecond),
                1e-3);
}

} // namespace
} // namespace marblewood::policy_test
