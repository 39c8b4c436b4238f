#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(Priority, HigherPriorityGoesFirst) {
    Settings s = basic_settings();
    s.share_priority_factor = 0.3;
    s.surplus_priority_factor = 0.05;
    s.classes[0].priority_weight = 2;
    s.classes.push_back({300 * kMillisecond, 1500 * kMillisecond, 0.2, 0.1, Idempotency::Idempotent,
                         DeduplicationScope::All, 0, false, false});
    TestHost host(s);
    std::vector<RequestId> first;
    for (int k = 0; k < 2; ++k)
        first.push_back(host.submit(0));
    host.volume = 2;
    const RequestId low_priority = host.submit(0, 2), high_priority = host.submit(0, 0);
    host.finish(first[0], Status::Ok, 250 * kMillisecond);
    EXPECT_EQ(host.attempt_count(high_priority), 1u);
    EXPECT_EQ(host.attempt_count(low_priority), 0u);
}

} // namespace
} // namespace marblewood::policy_test
