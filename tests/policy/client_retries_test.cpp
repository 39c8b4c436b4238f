#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against recognising a first attempt as a retry because it lost a little time on the way to the host.
TEST(ClientRetries, TimeLostOnTheWayIsNoSignOfARetry) {
    Settings s = basic_settings();
    s.period = 2 * kMillisecond;
    TestHost host(s);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    const RequestId first = host.submit(0, 0, 1, DataKey{8});
    host.advance(400 * kMillisecond); // past its latency objective
    host.handle(ClientDisconnected{first});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    host.finish(host.submit(0), Status::Ok, 240 * kMillisecond);
    host.time_left = s.classes[0].deadline - kMillisecond;
    EXPECT_EQ(host.attempt_count(host.submit(0, 0, 1, DataKey{8})), 1u);
}

TEST(ClientRetries, LittleTimeLeftIsNewWorkUnlessItRetriesWhatEndedHere) {
    TestHost host(basic_settings());
    for (const Micros latency : {240 * kMillisecond, 240 * kMillisecond})
        host.finish(host.submit(0), Status::Ok, latency); // mean latency ratio 0.8
    host.time_left = 180 * kMillisecond;
    const RequestId fresh = host.submit(0, 0, 1, DataKey{7});
    ASSERT_EQ(host.attempt_count(fresh), 1u);
    host.finish(fresh, Status::Ok, 140 * kMillisecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    host.time_left = 0;
    const RequestId first = host.submit(0, 0, 1, DataKey{8});
    host.advance(400 * kMillisecond); // past its latency objective
    host.handle(ClientDisconnected{first});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    host.finish(host.submit(0), Status::Ok, 240 * kMillisecond);
    host.time_left = 1000 * kMillisecond;
    // The latency objective of the retry counts from the first attempt, so the retry is late and waits.
    EXPECT_EQ(host.attempt_count(host.submit(0, 0, 1, DataKey{8})), 0u);
}

} // namespace
} // namespace marblewood::policy_test
