#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

// Guards against taking a first attempt for a retry because its way here has cost it a little time.
TEST(ClientRetries, TimeLostOnTheWayIsNoSignOfARetry) {
    Settings s = basic_settings();
    s.period = 2 * kMillisecond;
    TestHost host(s);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    const RequestId first = host.ask(0, 0, 1, DataKey{8});
    host.run(400 * kMillisecond); // past its latency objective
    host.handle(ClientDisconnected{first});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    host.end(host.ask(0), Status::Ok, 240 * kMillisecond);
    host.time_left = s.classes[0].deadline - kMillisecond;
    EXPECT_EQ(host.attempt_count(host.ask(0, 0, 1, DataKey{8})), 1u);
}

TEST(ClientRetries, LittleTimeLeftIsNewWorkUnlessItRetriesWhatEndedHere) {
    TestHost host(basic_settings());
    for (const Micros latency : {240 * kMillisecond, 240 * kMillisecond})
        host.end(host.ask(0), Status::Ok, latency); // mean latency ratio 0.8
    host.time_left = 180 * kMillisecond;
    const RequestId fresh = host.ask(0, 0, 1, DataKey{7});
    ASSERT_EQ(host.attempt_count(fresh), 1u);
    host.end(fresh, Status::Ok, 140 * kMillisecond);
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0, NodeState::Draining)}});
    host.time_left = 0;
    const RequestId first = host.ask(0, 0, 1, DataKey{8});
    host.run(400 * kMillisecond); // past its latency objective
    host.handle(ClientDisconnected{first});
    host.handle(ListUpdate{ListUpdate::Kind::Changes, {TestHost::entry(0)}});
    host.end(host.ask(0), Status::Ok, 240 * kMillisecond);
    host.time_left = 1000 * kMillisecond;
    EXPECT_EQ(host.attempt_count(host.ask(0, 0, 1, DataKey{8})),
              0u); // its objective counts from the first attempt: late, so it waits
}

} // namespace
} // namespace marblewood::policy_test
