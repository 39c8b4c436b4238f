// What a connection owes its client, and when the client counts as one that does not read.
#include "net/answer_delivery.hpp"

#include <gtest/gtest.h>

using namespace marblewood;
using net::AnswerDelivery;
using net::DeliveryState;

namespace {

constexpr Micros kStart = 1'000'000;
constexpr Micros kGrace = AnswerDelivery::kReaderGrace;
constexpr Micros kFirstGrace = AnswerDelivery::kFirstReadGrace;
constexpr std::size_t kRead = AnswerDelivery::kReadBytes;
constexpr bool kHeldBack = true;
constexpr bool kTransmitted = false;
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
    EXPECT_TRUE(delivery.on_unacknowledged(0, kTransmitted, kStart + 1));
    EXPECT_TRUE(delivery.is_delivered());
    EXPECT_EQ(delivery.state(kStart + kTimeout), DeliveryState::Delivered);
}

TEST(AnswerDelivery, StallsOnceTheClientTakesNothing) {
    AnswerDelivery delivery = delivery_of(100);
    EXPECT_FALSE(delivery.on_unacknowledged(100, kHeldBack, kStart + kGrace));
    EXPECT_FALSE(delivery.is_stalled(kStart + kTimeout - 1, kTimeout));
    EXPECT_TRUE(delivery.is_stalled(kStart + kTimeout, kTimeout));
    EXPECT_TRUE(delivery.on_unacknowledged(99, kHeldBack, kStart + kTimeout));
    EXPECT_FALSE(delivery.is_stalled(kStart + kTimeout, kTimeout));
    EXPECT_EQ(delivery.last_acknowledged_at(), kStart + kTimeout);
}

// What goes into the client's receive buffer at first says nothing of the client.
TEST(AnswerDelivery, CallsAClientAReaderOnceItTakesMoreThanItsSystemMayByItself) {
    AnswerDelivery delivery = delivery_of(3 * kRead);
    EXPECT_EQ(delivery.state(kStart), DeliveryState::Pending);
    EXPECT_TRUE(delivery.on_unacknowledged(2 * kRead, kHeldBack, kStart + 1)); // into the receive buffer
    EXPECT_EQ(delivery.state(kStart + 1 + kFirstGrace - 1), DeliveryState::HeldBack);
    EXPECT_EQ(delivery.state(kStart + 1 + kFirstGrace), DeliveryState::Unread);
    EXPECT_TRUE(delivery.on_unacknowledged(kRead + 1, kHeldBack, kStart + 2));
    EXPECT_EQ(delivery.state(kStart + 2 + kFirstGrace), DeliveryState::Unread);
    EXPECT_TRUE(delivery.on_unacknowledged(kRead, kHeldBack, kStart + 3));
    EXPECT_EQ(delivery.state(kStart + 3 + kGrace - 1), DeliveryState::Reading);
    EXPECT_EQ(delivery.state(kStart + 3 + kGrace), DeliveryState::Unread);
}

// Guards against taking a late acknowledgement, which a client's system may delay, for a client that does not
// read.
TEST(AnswerDelivery, DoesNotCallAClientUnreadThatHoldsNothingBack) {
    AnswerDelivery delivery = delivery_of(100);
    EXPECT_FALSE(delivery.on_unacknowledged(100, kTransmitted, kStart + kFirstGrace));
    EXPECT_EQ(delivery.state(kStart + kGrace - 1), DeliveryState::Pending);
    EXPECT_EQ(delivery.state(kStart + kGrace), DeliveryState::Unread);
}

TEST(AnswerDelivery, CountsWhatIsTakenWhileTheSystemAcceptsAsMuch) {
    AnswerDelivery delivery = delivery_of(kRead);
    delivery.on_unacknowledged(kRead, kHeldBack, kStart);
    delivery.queue(std::string(kRead, 'v'), 1, kStart + kGrace);
    EXPECT_EQ(delivery.last_acknowledged_at(), kStart); // more to take is no progress
    delivery.begin_batch();
    delivery.on_accepted(kRead);
    EXPECT_TRUE(delivery.on_unacknowledged(kRead, kHeldBack, kStart + kGrace));
    EXPECT_EQ(delivery.state(kStart + 2 * kGrace - 1), DeliveryState::Reading);
}

TEST(AnswerDelivery, TellsHowFastTheClientReads) {
    constexpr Micros kSecond = 1'000'000;
    AnswerDelivery delivery = delivery_of(4 * kRead);
    delivery.on_unacknowledged(3 * kRead, kHeldBack, kStart);
    delivery.on_unacknowledged(2 * kRead + 1, kHeldBack, kStart + kSecond);
    EXPECT_EQ(delivery.read_rate(kStart + kSecond), 0); // may be its system's buffer
    delivery.on_unacknowledged(kRead, kHeldBack, kStart + 2 * kSecond);
    EXPECT_EQ(delivery.read_rate(kStart + 2 * kSecond), static_cast<std::int64_t>(kRead));
}

TEST(AnswerDelivery, TimesANewAnswerFromItsBegin) {
    AnswerDelivery delivery = delivery_of(100);
    delivery.on_unacknowledged(0, kTransmitted, kStart + 1);
    const Micros later = kStart + 2 * kTimeout;
    delivery.queue("v", 1, later);
    EXPECT_FALSE(delivery.is_stalled(later + kTimeout - 1, kTimeout));
}

TEST(AnswerDelivery, TimesWhatAnotherProcessHasWrittenFromTheFirstLook) {
    AnswerDelivery delivery;
    EXPECT_FALSE(delivery.on_unacknowledged(500, kHeldBack, kStart));
    EXPECT_FALSE(delivery.is_delivered());
    EXPECT_FALSE(delivery.is_stalled(kStart + kTimeout - 1, kTimeout));
    EXPECT_TRUE(delivery.is_stalled(kStart + kTimeout, kTimeout));
}

} // namespace
