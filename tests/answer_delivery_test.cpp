// What a connection owes its client, and when the client counts as one that does not read.
#include "net/answer_delivery.hpp"

#include <gtest/gtest.h>

using namespace marblewood;
using net::AnswerDelivery;
using net::DeliveryState;

namespace {

constexpr Micros kStart = 1'000'000;
constexpr Micros kGrace = AnswerDelivery::kReaderGrace;
constexpr Micros kTimeout = AnswerDelivery::kStallTimeout;

// Queues `bytes`, which the system accepts at once and holds.
AnswerDelivery delivery_of(std::size_t bytes) {
    AnswerDelivery delivery;
    delivery.queue(std::string(bytes, 'v'), 1, kStart);
    delivery.on_accepted(delivery.begin_batch().bytes.size());
    delivery.end_batch();
    return delivery;
}

TEST(AnswerDelivery, OwesBytesUntilTheClientsSideHasAcknowledgedThem) {
    AnswerDelivery delivery;
    EXPECT_TRUE(delivery.is_delivered());
    delivery.queue("abc", 1, kStart);
    EXPECT_EQ(delivery.unsent_bytes(), 3u);
    const AnswerDelivery::Batch batch = delivery.begin_batch();
    EXPECT_EQ(batch.bytes, "abc");
    EXPECT_EQ(batch.answers, 1u);
    EXPECT_EQ(delivery.unsent_bytes(), 3u); // the process still holds them
    delivery.on_accepted(3);
    delivery.end_batch();
    EXPECT_EQ(delivery.unsent_bytes(), 0u);
    EXPECT_FALSE(delivery.is_delivered());
    EXPECT_TRUE(delivery.on_unacknowledged(0, kStart + 1));
    EXPECT_TRUE(delivery.is_delivered());
    EXPECT_EQ(delivery.state(kStart + kTimeout), DeliveryState::Delivered);
}

TEST(AnswerDelivery, StallsOnceTheClientTakesNothing) {
    AnswerDelivery delivery = delivery_of(100);
    EXPECT_FALSE(delivery.on_unacknowledged(100, kStart + kGrace));
    EXPECT_FALSE(delivery.is_stalled(kStart + kTimeout - 1, kTimeout));
    EXPECT_TRUE(delivery.is_stalled(kStart + kTimeout, kTimeout));
    EXPECT_TRUE(delivery.on_unacknowledged(99, kStart + kTimeout));
    EXPECT_FALSE(delivery.is_stalled(kStart + kTimeout, kTimeout));
    EXPECT_EQ(delivery.last_acknowledged_at(), kStart + kTimeout);
}

// What goes into the client's receive buffer at first says nothing of the client.
TEST(AnswerDelivery, CallsAClientAReaderOnceItTakesMoreThanItsSystemDidAtFirst) {
    AnswerDelivery delivery = delivery_of(100);
    EXPECT_EQ(delivery.state(kStart), DeliveryState::Unread);
    EXPECT_TRUE(delivery.on_unacknowledged(60, kStart + 1));
    EXPECT_EQ(delivery.state(kStart + 1), DeliveryState::Unread);
    EXPECT_TRUE(delivery.on_unacknowledged(50, kStart + 2));
    EXPECT_EQ(delivery.state(kStart + 2), DeliveryState::Reading);
    EXPECT_EQ(delivery.state(kStart + 2 + kGrace - 1), DeliveryState::Reading);
    EXPECT_EQ(delivery.state(kStart + 2 + kGrace), DeliveryState::Unread);
}

TEST(AnswerDelivery, CountsWhatIsTakenWhileTheSystemAcceptsAsMuch) {
    AnswerDelivery delivery = delivery_of(100);
    delivery.on_unacknowledged(100, kStart);
    delivery.queue(std::string(40, 'v'), 1, kStart + kGrace);
    EXPECT_EQ(delivery.last_acknowledged_at(), kStart); // more to take is no progress
    delivery.begin_batch();
    delivery.on_accepted(40);
    EXPECT_TRUE(delivery.on_unacknowledged(100, kStart + kGrace));
    EXPECT_EQ(delivery.state(kStart + kGrace), DeliveryState::Reading);
}

TEST(AnswerDelivery, TimesANewAnswerFromItsBegin) {
    AnswerDelivery delivery = delivery_of(100);
    delivery.on_unacknowledged(0, kStart + 1);
    const Micros later = kStart + 2 * kTimeout;
    delivery.queue("v", 1, later);
    EXPECT_FALSE(delivery.is_stalled(later + kTimeout - 1, kTimeout));
}

TEST(AnswerDelivery, TimesWhatAnotherProcessHasWrittenFromTheFirstLook) {
    AnswerDelivery delivery;
    EXPECT_FALSE(delivery.on_unacknowledged(500, kStart));
    EXPECT_FALSE(delivery.is_delivered());
    EXPECT_FALSE(delivery.is_stalled(kStart + kTimeout - 1, kTimeout));
    EXPECT_TRUE(delivery.is_stalled(kStart + kTimeout, kTimeout));
}

} // namespace
