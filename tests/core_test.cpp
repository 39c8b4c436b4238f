// Unit tests of the parts of src/core/ and src/app/ that need no sockets.
#include "app/shutdown_schedule.hpp"
#include "core/backoff.hpp"
#include "core/endpoint_list.hpp"
#include "core/forwarded_fields.hpp"
#include "core/log_rate_limiter.hpp"
#include "core/memory_budget.hpp"
#include "core/metrics.hpp"
#include "core/node_port.hpp"

#include <gtest/gtest.h>

namespace marblewood {
namespace {

constexpr Micros kMillisecond = 1000;

std::vector<ClassSettings> classes_with_deadlines(std::initializer_list<Micros> deadlines) {
    std::vector<ClassSettings> classes;
    for (const Micros deadline : deadlines)
        classes.push_back({.deadline = deadline});
    return classes;
}

TEST(ShutdownSchedule, FollowsTheLongestDeadline) {
    const auto schedule = app::ShutdownSchedule::starting_at(
        1'000'000, classes_with_deadlines({200 * kMillisecond, 1500 * kMillisecond}));
    EXPECT_EQ(schedule.exit_at - 1'000'000, 1500 * kMillisecond + 700 * kMillisecond - 150 * kMillisecond);
    EXPECT_EQ(schedule.exit_at - schedule.answer_all_at, 200 * kMillisecond);
    EXPECT_EQ(schedule.exit_at - schedule.close_connections_at, 400 * kMillisecond);
}

TEST(ShutdownSchedule, CountsNoDeadlineAboveThreeSeconds) {
    const auto schedule =
        app::ShutdownSchedule::starting_at(0, classes_with_deadlines({60'000 * kMillisecond}));
    EXPECT_EQ(schedule.exit_at, 3000 * kMillisecond + 700 * kMillisecond - 150 * kMillisecond);
}

TEST(LogRateLimiter, AllowsLinesAgainInTheNextSecondAndCountsTheOthers) {
    core::LogRateLimiter limiter(2);
    EXPECT_TRUE(limiter.allow(5'000'000));
    EXPECT_TRUE(limiter.allow(5'100'000));
    EXPECT_FALSE(limiter.allow(5'200'000));
    EXPECT_FALSE(limiter.allow(5'999'999));
    EXPECT_TRUE(limiter.allow(6'000'000));
    EXPECT_EQ(limiter.take_suppressed(), 2u);
    EXPECT_EQ(limiter.take_suppressed(), 0u);
}

TEST(Backoff, DoublesUpToItsMaximumLessAtMostHalf) {
    core::Backoff backoff(100, 800, 7);
    for (const Micros wait : {100, 200, 400, 800, 800}) {
        const Micros next = backoff.next();
        EXPECT_LE(next, wait);
        EXPECT_GE(next, wait - wait / 2);
    }
    backoff.reset();
    EXPECT_LE(backoff.next(), 100);
    EXPECT_EQ(backoff.jitter(0), 0);
}

// Guards against two processes that together pass the limit, as each takes memory by itself as well.
TEST(MemoryBudget, LeavesRoomForTheSecondProcessWhileShared) {
    constexpr std::size_t kSecond = core::MemoryBudget::kSecondProcessBytes;
    core::MemoryBudget large(6 * kSecond);
    core::MemoryBudget small(kSecond);
    large.set_shared(true);
    small.set_shared(true);
    EXPECT_EQ(2 * large.limit() + kSecond, 6 * kSecond);
    EXPECT_EQ(4 * small.limit(), kSecond);
}

TEST(MemoryBudget, IsExhaustedAtItsLimitOrAQuarterOfASmallOneWhileShared) {
    core::MemoryBudget budget(1000);
    core::MemoryBudget::Reservation first(budget, 600);
    EXPECT_FALSE(budget.is_exhausted());
    budget.set_shared(true);
    EXPECT_TRUE(budget.is_exhausted());
    first.resize(250);
    EXPECT_TRUE(budget.is_exhausted());
    first.resize(249);
    EXPECT_FALSE(budget.is_exhausted());
    first.resize(600);
    budget.set_shared(false);
    {
        const core::MemoryBudget::Reservation second(budget, 400);
        EXPECT_TRUE(budget.is_exhausted());
    }
    EXPECT_FALSE(budget.is_exhausted());
    first.resize(1000);
    EXPECT_TRUE(budget.is_exhausted());
}

TEST(Attempt, MayHaveRunOnlyOnceItIsFullyWritten) {
    core::Attempt broken;
    EXPECT_EQ(broken.status_when_interrupted(false), Status::ConnectFailed);
    EXPECT_EQ(broken.status_when_interrupted(true), Status::Reset);

    core::Attempt stopped;
    int interruptions = 0;
    stopped.on_stop = [&] { ++interruptions; };
    stopped.stop(Status::Timeout);
    stopped.stop(Status::Cancelled); // the first reason counts
    EXPECT_EQ(interruptions, 1);
    EXPECT_EQ(stopped.status_when_interrupted(false), Status::Superseded);
    EXPECT_EQ(stopped.status_when_interrupted(true), Status::Timeout);
}

TEST(Metrics, TotalsAreOverAllClasses) {
    core::Metrics metrics(2);
    ++metrics.completed_as(0, core::Outcome::Kind::Served);
    ++metrics.completed_as(1, core::Outcome::Kind::Served);
    ++metrics.completed_as(1, core::Outcome::Kind::Failed);
    EXPECT_EQ(metrics.total(core::Outcome::Kind::Served), 2u);
    EXPECT_EQ(metrics.total(core::Outcome::Kind::Refused), 0u);
    EXPECT_EQ(metrics.total(), 3u);
}

TEST(Metrics, StatusNamesAreThoseOfTheStatsInterface) {
    EXPECT_EQ(core::name(Status::Ok), "ok");
    EXPECT_EQ(core::name(Status::Rejected), "full");
    EXPECT_EQ(core::name(Status::Superseded), "moot");
}

TEST(EndpointList, ShowsACordonedNodeAsDrainingWhenItIsListedLater) {
    const NodeId node{1};
    core::EndpointList endpoints;
    EXPECT_TRUE(endpoints.cordon(node).entries.empty()); // not listed yet
    const ListUpdate update = endpoints.apply({ListUpdate::Kind::Full, {{.node = node}}});
    ASSERT_EQ(update.entries.size(), 1u);
    EXPECT_EQ(update.entries[0].state, NodeState::Draining);
    const ListUpdate lifted = endpoints.uncordon(node);
    ASSERT_EQ(lifted.entries.size(), 1u);
    EXPECT_EQ(lifted.entries[0].state, NodeState::Ready);
    EXPECT_TRUE(lifted.entries[0].restored);
    EXPECT_FALSE(endpoints.uncordon(node).entries[0].restored);
}

TEST(ForwardedFields, KeepTheirOrderAndText) {
    core::ForwardedFields fields;
    EXPECT_EQ(fields.text(), "");
    fields.add("a", "1");
    fields.add("hop", "2");
    fields.add("ho", "=3");
    fields.add("", "");
    EXPECT_EQ(fields.text(), ",a=1,hop=2,ho==3,=");
    EXPECT_EQ(fields.find("hop"), "2");
    EXPECT_EQ(fields.find("ho"), "=3");
    EXPECT_EQ(fields.find("h"), std::nullopt);
    fields.add("hop", "4");
    EXPECT_EQ(fields.find("hop"), "4");
    fields.remove("hop");
    EXPECT_EQ(fields.text(), ",a=1,ho==3,=");
    fields.remove("hop");
    EXPECT_EQ(fields.text(), ",a=1,ho==3,=");
}

} // namespace
} // namespace marblewood
