#include "policy/health_checks.hpp"

#include <gtest/gtest.h>

namespace marblewood::policy {
namespace {

Settings settings_with_checks() {
    Settings settings;
    settings.probes = true;
    return settings;
}

TEST(HealthChecks, ChecksOneNodeFourTimesASecondAtTheMost) {
    HealthChecks checks(settings_with_checks());
    HealthCheckState node;
    EXPECT_TRUE(checks.try_check(node, 0));
    EXPECT_FALSE(checks.try_check(node, 249'999));
    EXPECT_TRUE(checks.try_check(node, 250'000));
    EXPECT_EQ(node.next_send_without_evidence, 270'000); // when the answer to the health check is overdue
}

TEST(HealthChecks, StayInProportionToTheRequests) {
    HealthChecks checks(settings_with_checks());
    for (int sent = 0; sent < 4; ++sent) {
        HealthCheckState node;
        EXPECT_TRUE(checks.try_check(node, 0));
    }
    HealthCheckState another;
    EXPECT_FALSE(checks.try_check(another, 0));
    for (int request = 0; request < 6; ++request)
        checks.record_request();
    EXPECT_TRUE(checks.try_check(another, 0));
}

TEST(HealthChecks, AreOffWhereNodesDoNotAnswerThem) {
    HealthChecks checks{Settings{}};
    HealthCheckState node;
    EXPECT_FALSE(checks.try_check(node, 0));
}

} // namespace
} // namespace marblewood::policy
