// The order in which connections that send much get their turns.
#include "net/input_turns.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <vector>

namespace marblewood::net {
namespace {

struct InputTurnsTest : testing::Test {
    asio::io_context io;
    core::Clock clock;
    InputTurns turns{io.get_executor(), clock};
    std::vector<int> order;

    // Takes a turn, and ends it at once unless it is held.
    void take(InputTurns::Account &account, int name, bool hold = false, std::size_t input_bytes = 0,
              Micros duration = 0) {
        asio::co_spawn(
            io,
            [this, &account, name, hold, input_bytes, duration]() -> asio::awaitable<void> {
                co_await account.take_turn(input_bytes);
                order.push_back(name);
                account.charge(clock.now() - duration);
                if (!hold)
                    account.end_turn();
            },
            asio::detached);
        io.poll();
        io.restart();
    }

    // How often the loop gets round to other work while `waiting` connections have turns of `duration`.
    int passes_for(int waiting, Micros duration) {
        std::list<InputTurns::Account> accounts;
        take(accounts.emplace_back(turns), 0, true);
        for (int n = 1; n <= waiting; ++n)
            take(accounts.emplace_back(turns), n, false, 0, duration);
        int passes = 0;
        std::function<void()> count = [&] {
            ++passes;
            if (turns.waiting() > 0)
                asio::post(io, count);
        };
        asio::post(io, count);
        accounts.front().end_turn();
        io.poll();
        return passes;
    }
};

TEST_F(InputTurnsTest, LittleInputNeedsNoTurnUntilItHasTakenMuchTime) {
    InputTurns::Account account(turns);
    EXPECT_FALSE(account.needs_turn(200));
    EXPECT_TRUE(account.needs_turn(10'000));
    account.charge(clock.now() - 500'000);
    EXPECT_TRUE(account.needs_turn(200));
}

TEST_F(InputTurnsTest, OneTurnAtATimeAndTheLeastUseFirst) {
    InputTurns::Account first(turns), heavy(turns), light(turns);
    heavy.charge(clock.now() - 500'000);
    take(first, 1, true);
    take(heavy, 2);
    take(light, 3);
    EXPECT_EQ(order, std::vector<int>{1});
    EXPECT_EQ(turns.waiting(), 2u);
    first.end_turn();
    io.poll();
    EXPECT_EQ(order, (std::vector<int>{1, 3, 2}));
}

TEST_F(InputTurnsTest, ManyShortTurnsDoNotWaitForAPassOfTheLoopEach) {
    EXPECT_LE(passes_for(64, 0), 16);
}

TEST_F(InputTurnsTest, OtherWorkGoesBetweenLongTurns) {
    EXPECT_GE(passes_for(64, 5'000), 62);
}

TEST_F(InputTurnsTest, OfTheSameUseTheLeastInputFirst) {
    InputTurns::Account first(turns), large(turns), small(turns);
    take(first, 1, true);
    take(large, 2, false, 16'000);
    take(small, 3, false, 4'000);
    first.end_turn();
    io.poll();
    EXPECT_EQ(order, (std::vector<int>{1, 3, 2}));
}

TEST_F(InputTurnsTest, AConnectionThatIsClosedDoesNotWait) {
    InputTurns::Account first(turns), closing(turns), next(turns);
    take(first, 1, true);
    take(closing, 2);
    take(next, 3);
    closing.skip();
    io.poll();
    EXPECT_EQ(order, (std::vector<int>{1, 2})); // without a turn
    io.restart();
    first.end_turn();
    io.poll();
    EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST_F(InputTurnsTest, AConnectionThatFailsDuringItsTurnEndsIt) {
    InputTurns::Account next(turns);
    {
        InputTurns::Account first(turns);
        take(first, 1, true);
        take(next, 2);
        EXPECT_EQ(order, std::vector<int>{1});
    }
    io.poll();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

} // namespace
} // namespace marblewood::net
