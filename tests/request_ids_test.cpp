// How long an id that a client has chosen stays taken.
#include "net/resp/request_ids.hpp"

#include <gtest/gtest.h>

namespace marblewood::net::resp {
namespace {

constexpr std::size_t kMaxKept = 3;

struct RequestIdsTest : testing::Test {
    core::Clock clock;
    RequestIds ids{clock, kMaxKept};
    void pass(Micros time) { clock.continue_from(clock.now() + time); }
};

TEST_F(RequestIdsTest, AnIdIsTakenWhileItsRequestIsOpen) {
    EXPECT_TRUE(ids.open("a"));
    EXPECT_FALSE(ids.open("a"));
    pass(10 * RequestIds::kRetention);
    EXPECT_FALSE(ids.open("a"));
}

TEST_F(RequestIdsTest, AnIdWhoseClientHasLeftIsKept) {
    ids.open("a");
    ids.keep("a");
    ids.release("a");
    EXPECT_FALSE(ids.open("a"));
    pass(RequestIds::kRetention + 1);
    EXPECT_TRUE(ids.open("a"));
}

TEST_F(RequestIdsTest, AnIdIsFreeOnceItsRequestHasItsAnswer) {
    ids.open("a");
    ids.release("a");
    EXPECT_TRUE(ids.open("a"));
}

TEST_F(RequestIdsTest, KeepsTheNewestAndAllOpenOnes) {
    ids.open("open");
    for (const char *id : {"a", "b", "c", "d"}) {
        ids.open(id);
        ids.keep(id);
    }
    EXPECT_EQ(ids.all().size(), kMaxKept + 1);
    EXPECT_TRUE(ids.open("a"));
    EXPECT_FALSE(ids.open("b"));
    EXPECT_FALSE(ids.open("open"));
}

TEST_F(RequestIdsTest, IdsOfAnotherProcessAreKept) {
    std::vector<std::string> told;
    ids.on_opened = [&](const std::string &id) { told.push_back(id); };
    ids.keep("a");
    ids.keep("a");
    EXPECT_FALSE(ids.open("a"));
    EXPECT_TRUE(ids.open("b"));
    EXPECT_EQ(told, std::vector<std::string>{"b"});
}

} // namespace
} // namespace marblewood::net::resp
