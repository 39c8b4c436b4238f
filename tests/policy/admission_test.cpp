#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against late and surplus work taking the nodes that other hosts' reserves need.
TEST(Admission, LateWorkWaitsWhileTheNodeIsNotQuiet) {
    TestHost host(basic_settings());
    const RequestId one = host.ask(0), two = host.ask(0);
    host.end(one, Status::Ok, 240 * kMillisecond); // mean latency ratio 0.8
    host.end(two, Status::Ok, 240 * kMillisecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    const RequestId late = host.ask(0);
    host.run(350 * kMillisecond); // its latency objective passes while nothing can be sent
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    EXPECT_EQ(host.attempt_count(late), 0u);
    EXPECT_EQ(host.attempt_count(host.ask(0)), 1u);
}

TEST(Admission, SurplusWorkWaitsWhileTheNodeIsNotQuiet) {
    Settings s = basic_settings();
    s.share_priority_factor = 0.35;
    s.surplus_priority_factor = 0.1;
    for (const Micros latency : {200 * kMillisecond, 30 * kMillisecond}) {
        TestHost host(s);
        for (int k = 0; k < 40; ++k) { // past the volume's reserve and share
            const RequestId id = host.ask(1, 0, 4);
            if (host.attempt_count(id))
                host.end(id, Status::Ok, 30 * kMillisecond);
        }
        const std::uint64_t spender = host.volume;
        host.volume = 2;
        host.end(host.ask(0), Status::Ok, latency); // mean latency ratio 0.67, then 0.1
        host.volume = spender;
        EXPECT_EQ(host.attempt_count(host.ask(0, 0, 4)), latency < 100 * kMillisecond ? 1u : 0u);
        host.volume = 3;
        EXPECT_EQ(host.attempt_count(host.ask(0)), 1u); // within its reserve
    }
}

// Guards against requests with a short objective being late behind long ones that could have waited.
TEST(Admission, PatientWorkLeavesAPlaceToTightWork) {
    Settings s = basic_settings();
    s.classes.push_back({1500 * kMillisecond, 5000 * kMillisecond, 1, 0.1, Idempotency::Idempotent,
                         DeduplicationScope::All, 0, false, false});
    TestHost host(s);
    for (int k = 0; k < 5; ++k)
        host.ask(0, 2);
    EXPECT_EQ(host.sent.size(), 1u);
    EXPECT_EQ(host.attempt_count(host.ask(0, 0)), 1u);
}

} // namespace
} // namespace marblewood::policy_test
