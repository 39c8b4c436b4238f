// When the bytes of a session's input arrived, as its requests' deadlines need it.
#include "net/input_arrivals.hpp"

#include <gtest/gtest.h>

using marblewood::Micros;
using marblewood::net::InputArrivals;

namespace {

constexpr Micros kFirst = 5'000'000, kSecond = kFirst + InputArrivals::kResolution,
                 kThird = kSecond + 3 * InputArrivals::kResolution;

// Guards against timing a request from a later read than that of its last byte.
TEST(InputArrivals, TellsTheReadOfTheLastByteBeforeWhatRemains) {
    InputArrivals arrivals;
    arrivals.add(10, kFirst);
    arrivals.add(5, kSecond);
    arrivals.add(1, kThird);
    EXPECT_EQ(arrivals.before(15), kFirst);
    EXPECT_EQ(arrivals.before(6), kFirst);
    EXPECT_EQ(arrivals.before(5), kSecond);
    EXPECT_EQ(arrivals.before(1), kSecond);
    EXPECT_EQ(arrivals.before(0), kThird);
}

TEST(InputArrivals, KeepsTheTimesOfWhatRemains) {
    InputArrivals arrivals;
    arrivals.add(10, kFirst);
    arrivals.add(5, kSecond);
    arrivals.keep(5);
    arrivals.add(5, kThird);
    EXPECT_EQ(arrivals.before(9), kSecond);
    EXPECT_EQ(arrivals.before(5), kSecond);
    EXPECT_EQ(arrivals.before(4), kThird);
    arrivals.keep(0);
    arrivals.add(1, kThird);
    EXPECT_EQ(arrivals.before(0), kThird);
}

// Guards against a later time than the true one where reads count as one.
TEST(InputArrivals, CountsReadsCloseTogetherAsTheFirstOfThem) {
    InputArrivals arrivals;
    arrivals.add(1, kFirst);
    arrivals.add(1, kFirst + InputArrivals::kResolution - 1);
    arrivals.add(1, kFirst + InputArrivals::kResolution);
    EXPECT_EQ(arrivals.before(1), kFirst);
    EXPECT_EQ(arrivals.before(0), kFirst + InputArrivals::kResolution);
}

} // namespace
