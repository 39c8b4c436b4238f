// Unit tests of OutlierDetector. outlier_detector_test.cpp tests it as part of a Scheduler.
#include "policy/outlier_detector.hpp"

#include <gtest/gtest.h>

namespace marblewood::policy {
namespace {

class NodeHealthTest : public ::testing::Test {
protected:
    HealthChange record(Status status) { return detector_.record_outcome(node_, status, jitter_, 1'000'000); }

    OutlierDetector detector_{1};
    JitterSource jitter_{7};
    NodeHealth node_;
};

TEST_F(NodeHealthTest, TwelveFailuresInARowEject) {
    for (int failure = 1; failure < 12; ++failure)
        EXPECT_EQ(record(Status::Error), HealthChange::None);
    EXPECT_EQ(record(Status::Timeout), HealthChange::EjectedFailures);
    EXPECT_TRUE(node_.ejected);
    EXPECT_GE(node_.next_probe_request, 1'100'000);       // at least 100 ms later
    EXPECT_EQ(record(Status::Reset), HealthChange::None); // already ejected
}

TEST_F(NodeHealthTest, TwoFailedConnectsInARowEject) {
    EXPECT_EQ(record(Status::ConnectFailed), HealthChange::None);
    EXPECT_EQ(record(Status::ConnectFailed), HealthChange::EjectedFailedConnects);
}

TEST_F(NodeHealthTest, AServedAttemptBreaksARowAndBringsANodeBack) {
    EXPECT_EQ(record(Status::ConnectFailed), HealthChange::None);
    EXPECT_EQ(record(Status::Ok), HealthChange::None);
    EXPECT_EQ(record(Status::ConnectFailed), HealthChange::None);
    EXPECT_EQ(record(Status::ConnectFailed), HealthChange::EjectedFailedConnects);
    EXPECT_EQ(record(Status::Ok), HealthChange::Recovered);
    EXPECT_FALSE(node_.ejected);
}

TEST_F(NodeHealthTest, RejectionsAndCancelledAttemptsSpeakNeitherForNorAgainst) {
    for (int outcome = 0; outcome < 50; ++outcome) {
        EXPECT_EQ(record(Status::Rejected), HealthChange::None);
        EXPECT_EQ(record(Status::Cancelled), HealthChange::None);
        EXPECT_EQ(record(Status::Superseded), HealthChange::None);
    }
}

} // namespace
} // namespace marblewood::policy
