#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against late and surplus requests occupying node capacity that other hosts need for requests within
// their volumes' reserves.
TEST(Admission, LateWorkWaitsWhileTheNodeIsNotQuiet) {
    TestHost host(basic_settings());
    const RequestId one = host.submit(0), two = host.submit(0);
    host.finish(one, Status::Ok, 240 * kMillisecond); // mean latency ratio 0.8
    host.finish(two, Status::Ok, 240 * kMillisecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    const RequestId late = host.submit(0);
    host.advance(350 * kMillisecond); // its latency objective passes while no node is ready
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    EXPECT_EQ(host.attempt_count(late), 0u);
    EXPECT_EQ(host.attempt_count(host.submit(0)), 1u);
}

TEST(Admission, SurplusWorkWaitsWhileTheNodeIsNotQuiet) {
    Settings s = basic_settings();
    s.share_priority_factor = 0.35;
    s.surplus_priority_factor = 0.1;
    for (const Micros latency : {200 * kMillisecond, 30 * kMillisecond}) {
        TestHost host(s);
        for (int k = 0; k < 40; ++k) { // uses up the volume's reserve and share
            const RequestId id = host.submit(1, 0, 4);
            if (host.attempt_count(id))
                host.finish(id, Status::Ok, 30 * kMillisecond);
        }
        const std::uint64_t surplus_volume = host.volume;
        host.volume = 2;
        // The mean latency ratio is 0.67 in the first round and 0.1 in the second.
        host.finish(host.submit(0), Status::Ok, latency);
        host.volume = surplus_volume;
        EXPECT_EQ(host.attempt_count(host.submit(0, 0, 4)), latency < 100 * kMillisecond ? 1u : 0u);
        host.volume = 3;
        EXPECT_EQ(host.attempt_count(host.submit(0)), 1u); // within its reserve
    }
}

// Guards against requests with a short latency objective being late because requests with a long one, which
// could have waited, occupy all slots of the node.
TEST(Admission, PatientWorkLeavesAPlaceToTightWork) {
    Settings s = basic_settings();
    s.classes.push_back({1500 * kMillisecond, 5000 * kMillisecond, 1, 0.1, Idempotency::Idempotent,
                         DeduplicationScope::All, 0, false, false});
    TestHost host(s);
    for (int k = 0; k < 5; ++k)
        host.submit(0, 2);
    EXPECT_EQ(host.sent.size(), 1u);
    EXPECT_EQ(host.attempt_count(host.submit(0, 0)), 1u);
}

} // namespace
} // namespace marblewood::policy_test
