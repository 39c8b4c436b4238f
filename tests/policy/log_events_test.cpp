#include "policy/log_events.hpp"

#include <gtest/gtest.h>

namespace marblewood::policy {
namespace {

TEST(LogEvents, AreStable) {
    const NodeId node{7};
    EXPECT_EQ(log_no_ready_node().text, "no_ready_node");
    EXPECT_EQ(log_node_withdrawn(node, NodeState::Gone).text, "node_withdrawn node=7 state=gone");
    EXPECT_EQ(log_node_withdrawn(node, NodeState::Draining).text, "node_withdrawn node=7 state=draining");
    EXPECT_EQ(log_slow_start_began(node).text, "slow_start_began node=7");
    EXPECT_EQ(log_health_change(node, HealthChange::EjectedSilent).text,
              "node_ejected node=7 reason=no_answers");
    EXPECT_EQ(log_health_change(node, HealthChange::EjectedFailures).text,
              "node_ejected node=7 reason=consecutive_failures");
    EXPECT_EQ(log_health_change(node, HealthChange::EjectedFailedConnects).text,
              "node_ejected node=7 reason=failed_connects");
    EXPECT_EQ(log_health_change(node, HealthChange::Recovered).text, "node_recovered node=7");
    EXPECT_EQ(log_rate_limit_reached().text, "rate_limit_reached reason=host_share_spent");
}

} // namespace
} // namespace marblewood::policy
