#include "policy/deadline_agenda.hpp"

#include <gtest/gtest.h>

namespace marblewood::policy {
namespace {

using Kind = DeadlineAgenda::Kind;

TEST(DeadlineAgenda, GivesWhatIsDueInOrderOfTimeThenKindThenSubject) {
    DeadlineAgenda agenda;
    agenda.add(20, Kind::RequestEnd, 1);
    agenda.add(10, Kind::Sweep, 0);
    agenda.add(10, Kind::RequestEnd, 7);
    agenda.add(10, Kind::RequestEnd, 3);
    EXPECT_FALSE(agenda.pop_due(9));
    EXPECT_EQ(agenda.pop_due(15)->subject, 3u);
    EXPECT_EQ(agenda.pop_due(15)->subject, 7u);
    EXPECT_EQ(agenda.pop_due(15)->kind, Kind::Sweep);
    EXPECT_FALSE(agenda.pop_due(15));
    EXPECT_EQ(agenda.pop_due(20)->subject, 1u);
}

TEST(DeadlineAgenda, SetsATimerOnlyForWhatIsDueEarlierThanTheOneSet) {
    DeadlineAgenda agenda;
    EXPECT_FALSE(agenda.arm(0));
    agenda.add(100, Kind::Sweep, 0);
    EXPECT_EQ(agenda.arm(40), 60);
    EXPECT_FALSE(agenda.arm(50));
    agenda.add(70, Kind::RequestEnd, 1);
    EXPECT_EQ(agenda.arm(50), 20);
    agenda.timer_fired(70);
    EXPECT_EQ(agenda.arm(75), 0); // overdue, so the timer is due at once
}

TEST(DeadlineAgenda, HoldsNothingOfARequestThatHasEnded) {
    constexpr Micros kFarAway = 1'000'000'000'000;
    DeadlineAgenda agenda;
    agenda.add(kFarAway, Kind::RequestEnd, 1);
    agenda.add(kFarAway, Kind::RequestEnd, 2);
    agenda.remove(kFarAway, Kind::RequestEnd, 1);
    agenda.remove(kFarAway, Kind::RequestEnd, 3);
    EXPECT_EQ(agenda.size(), 1u);
    EXPECT_EQ(agenda.pop_due(kFarAway)->subject, 2u);
}

} // namespace
} // namespace marblewood::policy
