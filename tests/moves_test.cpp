// Moves of volumes between cells, through all orders of their events at small size, and at random at larger
// size.
#include "cells_world.hpp"

#include <unordered_set>

using namespace test;

namespace {

// Explores every order in which messages arrive, with as many losses, repeats, waits and deaths as are
// allowed.
struct Explorer {
    int drops = 0, doubles = 0, waits = 0, deaths = 0;
    bool disks = true;  // a process that dies finds its file again
    bool rival = false; // a second operator moves the volume elsewhere
    bool whole = true;  // else only as many states as are allowed
    std::size_t most = 25'000;
    std::size_t seen_states = 0, checked_ends = 0;
    std::unordered_set<std::size_t> seen = {};

    std::string explore(World world, const std::string &path, int d, int u, int w, int k, bool open,
                        bool rivals) {
        const std::size_t print = std::hash<std::string>()(
            world.fingerprint() + fmt::format("|{}{}{}{}{}{}", d, u, w, k, open, rivals));
        if (!seen.insert(print).second || seen.size() > most)
            return {};
        ++seen_states;
        if (const auto why = world.broken())
            return path + ": " + *why;
        if (print % 16 == 0) {
            ++checked_ends;
            World end = world;
            if (open)
                end.end("a1", false, 9);
            if (const auto why = end.ends_well())
                return path + ", then quiet: " + *why;
        }
        const auto go = [&](const std::string &step, auto change, int dd, int uu, int ww, int kk, bool oo,
                            bool rr) {
            World next = world;
            change(next);
            return explore(std::move(next), path + " " + step, dd, uu, ww, kk, oo, rr);
        };
        std::set<std::string> same; // equal messages need one try
        for (std::size_t n = 0; n < world.flights.size(); ++n) {
            const World::Flight &f = world.flights[n];
            if (!same.insert(f.to + net::link::encode(net::link::Frame{f.from, f.message})).second)
                continue;
            const std::string name = fmt::format("{}>{}:{}{}", f.from, f.to, f.message.index(),
                                                 std::holds_alternative<Order>(f.message)
                                                     ? static_cast<int>(std::get<Order>(f.message).verb)
                                                     : 0);
            if (auto bad = go(
                    name, [&](World &x) { x.deliver(n); }, d, u, w, k, open, rivals);
                !bad.empty())
                return bad;
            if (d > 0)
                if (auto bad = go(
                        "lose " + name,
                        [&](World &x) {
                            x.flights.erase(x.flights.begin() + static_cast<std::ptrdiff_t>(n));
                        },
                        d - 1, u, w, k, open, rivals);
                    !bad.empty())
                    return bad;
            if (u > 0)
                if (auto bad = go(
                        "twice " + name, [&](World &x) { x.deliver(n, true); }, d, u - 1, w, k, open, rivals);
                    !bad.empty())
                    return bad;
        }
        if (open)
            if (auto bad = go(
                    "end", [](World &x) { x.end("a1", false, 9); }, d, u, w, k, false, rivals);
                !bad.empty())
                return bad;
        if (w > 0)
            if (auto bad = go(
                    "wait", [](World &x) { x.tick(World::kStep); }, d, u, w - 1, k, open, rivals);
                !bad.empty())
                return bad;
        if (rivals)
            if (auto bad = go(
                    "rival", [](World &x) { x.move("a"); }, d, u, w, k, open, false);
                !bad.empty())
                return bad;
        if (k > 0)
            for (const std::string who : {"", "a1", "b1"}) {
                const bool gone = who == "a1"; // its open request dies with it
                if (auto bad = go(
                        "restart " + who, [&](World &x) { x.restart(who, disks); }, d, u, w, k - 1,
                        open && !gone, rivals);
                    !bad.empty())
                    return bad;
            }
        return {};
    }
    void run() {
        // The larger spaces are cut off, unless somebody has the minutes for them.
        if (std::getenv("MARBLEWOOD_EXHAUSTIVE"))
            whole = true, most = 50'000'000;
        World world(two_cells(1, 1));
        world.quiet = true;
        world.begin("a1", 9);
        ASSERT_TRUE(world.move("b").ok);
        const std::string bad = explore(world, "", drops, doubles, waits, deaths, true, rival);
        EXPECT_EQ(bad, "");
        if (whole)
            EXPECT_LT(seen.size(), most) << "not explored to the end";
        fmt::print("{} states, {} run to their end\n", seen_states, checked_ends);
        EXPECT_GT(checked_ends, 0u);
    }
};

} // namespace

TEST(Moves, AllOrders) {
    Explorer{}.run();
}
TEST(Moves, AllOrdersWithLosses) {
    Explorer{.drops = 1, .waits = 1, .most = 40'000}.run();
}
TEST(Moves, AllOrdersWithRepeats) {
    Explorer{.doubles = 1, .waits = 1, .whole = false}.run();
}
TEST(Moves, AllOrdersWithWaits) {
    Explorer{.waits = 2, .whole = false}.run();
}
TEST(Moves, AllOrdersWithADeath) {
    Explorer{.waits = 1, .deaths = 1, .whole = false}.run();
}
TEST(Moves, AllOrdersWithADeathAndALoss) {
    Explorer{.drops = 1, .waits = 1, .deaths = 1, .whole = false}.run();
}
TEST(Moves, AllOrdersWithTwoOperators) {
    Explorer{.waits = 1, .rival = true, .whole = false}.run();
}

TEST(Moves, CompletesAndHandsOverWhatIsLeft) {
    World world(two_cells(2, 2));
    ASSERT_TRUE(world.move("b").ok);
    world.deliver_all();
    EXPECT_TRUE(world.keeper.moves().empty());
    EXPECT_EQ(world.units["a1"] + world.units["a2"], 0);
    EXPECT_DOUBLE_EQ(world.units["b1"], World::kUnits);
    EXPECT_DOUBLE_EQ(world.units["b2"], World::kUnits);
    EXPECT_EQ(world.brokers.at("b1").route(world.now, world.asked()).kind, Route::Kind::Serve);
    EXPECT_EQ(world.brokers.at("a1").route(world.now, world.asked()).kind, Route::Kind::Forward);
    EXPECT_EQ(world.keeper.map().home(kVolume)->name, "b");
    EXPECT_NE(world.keeper.where(kVolume).find("pinned by an operator"), std::string::npos);
}

TEST(Moves, WhatIsNewWaitsWhileWhatIsOpenEnds) {
    World world(two_cells(1, 1));
    world.begin("a1");
    ASSERT_TRUE(world.move("b").ok);
    world.deliver_all();
    EXPECT_EQ(world.brokers.at("a1").route(world.now, world.asked()).kind, Route::Kind::Wait);
    EXPECT_EQ(world.brokers.at("b1").route(world.now, world.asked()).kind,
              Route::Kind::Forward); // to where it lives
    world.end("a1", true);
    world.deliver_all();
    EXPECT_EQ(world.brokers.at("b1").route(world.now, world.asked()).kind, Route::Kind::Serve);
}

// A keyed write that was sent before the fence and had no good answer: its repeat goes back to its source,
// and its units were kept there.
TEST(Moves, AKeysRepeatGoesWhereItMayHaveRun) {
    World world(two_cells(1, 1));
    world.begin("a1", 9);
    ASSERT_TRUE(world.move("b").ok);
    world.deliver_all();
    world.end("a1", false, 9);
    world.deliver_all();
    ASSERT_TRUE(world.keeper.moves().empty());
    EXPECT_DOUBLE_EQ(world.units["b1"], World::kUnits - 2 - 2);
    const auto repeat = world.asked(9);
    const auto at_b = world.brokers.at("b1").route(world.now, repeat);
    EXPECT_EQ(at_b.kind, Route::Kind::Forward);
    EXPECT_EQ(at_b.broker, "a1");
    EXPECT_EQ(world.brokers.at("a1").route(world.now, repeat).kind, Route::Kind::Serve);
    world.act();
    world.brokers.at("a1").began(world.now, repeat);
    EXPECT_DOUBLE_EQ(world.units["a1"], 2); // what was kept, and no more
    EXPECT_NE(world.brokers.at("a1").route(world.now, repeat).kind, Route::Kind::Serve); // it is spent
    // Another key is as new, and so is this one once its window has closed.
    EXPECT_EQ(world.brokers.at("b1").route(world.now, world.asked(10)).kind, Route::Kind::Serve);
    world.now += 6'000'000;
    EXPECT_EQ(world.brokers.at("b1").route(world.now, repeat).kind, Route::Kind::Serve);
}

TEST(Moves, ASourceThatMayHaveForgottenKeysDoesNotVouch) {
    World world(two_cells(1, 1));
    world.brokers.erase("a1");
    world.brokers.emplace(
        "a1", Resident("a1", world.purse("a1"), {4'000'000, 5'000'000, 1'000'000, 1'000'000}, world.now));
    world.brokers.at("a1").ready_nodes(1);
    world.tick(10);
    world.deliver_all();
    ASSERT_TRUE(world.move("b").ok);
    world.deliver_all();
    EXPECT_EQ(world.keeper.moves().at(kVolume).stage, Keeper::Stage::Draining);
    for (int n = 0; n < 18; ++n)
        world.tick(250'000), world.deliver_all(); // over the drain's time
    EXPECT_EQ(world.keeper.figures().aborted, 1u);
    EXPECT_EQ(world.brokers.at("a1").route(world.now, world.asked()).kind, Route::Kind::Serve);
    for (int n = 0; n < 4; ++n)
        world.tick(250'000), world.deliver_all();
    ASSERT_TRUE(world.move("b").ok);
    world.deliver_all();
    EXPECT_EQ(world.keeper.map().home(kVolume)->name, "b");
}

TEST(Moves, ATargetThatNeverAnswersSendsItBack) {
    World world(two_cells(1, 1));
    world.brokers.erase("b1");
    ASSERT_TRUE(world.move("b").ok);
    for (int n = 0; n < 20; ++n)
        world.tick(250'000), world.deliver_all();
    EXPECT_EQ(world.keeper.figures().aborted, 1u);
    EXPECT_EQ(world.brokers.at("a1").route(world.now, world.asked()).kind, Route::Kind::Serve);
    EXPECT_DOUBLE_EQ(world.units["a1"], World::kUnits);
}

// The keeper dies once the source is drained: the source asks the teller, takes the volume back, and the
// keeper's return changes nothing of that.
TEST(Moves, AFencedSourceWithoutAKeeperAsksTheTeller) {
    World world(two_cells(1, 1));
    ASSERT_TRUE(world.move("b").ok);
    const auto drained = [&] {
        const auto records = world.brokers.at("a1").state().records;
        const auto at = records.find(kVolume);
        return at != records.end() && at->second.stage == Resident::Stage::Drained;
    };
    while (!drained())
        world.deliver(0);
    world.flights.clear();
    const auto no_keeper = [&] {
        std::erase_if(world.flights, [](const auto &f) { return f.to.empty() || f.from.empty(); });
    };
    for (int n = 0; n < 8; ++n) {
        world.tick(250'000);
        no_keeper();
        while (!world.flights.empty())
            world.deliver(0), no_keeper();
    }
    EXPECT_EQ(world.brokers.at("a1").route(world.now, world.asked()).kind, Route::Kind::Serve);
    EXPECT_DOUBLE_EQ(world.units["a1"], World::kUnits);
    EXPECT_EQ(world.ends_well(), std::nullopt);
    EXPECT_EQ(world.keeper.map().home(kVolume)->name, "a");
}

TEST(Moves, TwoOperators) {
    World world(two_cells(1, 1));
    ASSERT_TRUE(world.move("b").ok);
    EXPECT_FALSE(world.move("b").ok);
    EXPECT_FALSE(world.move("a").ok);
    EXPECT_FALSE(world.move("nowhere").ok);
    world.deliver_all();
    EXPECT_EQ(world.keeper.figures().completed, 1u);
    EXPECT_TRUE(world.move("b").ok); // it is there: pinned already
    EXPECT_TRUE(world.move("a").ok);
    world.deliver_all();
    EXPECT_EQ(world.keeper.map().home(kVolume)->name, "a");
}

TEST(Moves, FrozenCellsAndFullCellsTakeNothing) {
    World world(two_cells(1, 1));
    std::vector<KeeperAction> actions;
    ASSERT_TRUE(world.keeper.freeze("b", true, actions).ok);
    EXPECT_FALSE(world.move("b").ok);
    ASSERT_TRUE(world.keeper.freeze("b", false, actions).ok);
    Hello hello{world.keeper.map().epoch, 0, {{kVolume, 900, 10, 1}}, 0, 2};
    world.keeper.handle(world.now, "a1", hello, actions);
    const auto reply = world.move("b"); // 900 of a capacity of 1000, of which 850 may be promised
    EXPECT_FALSE(reply.ok);
    EXPECT_NE(reply.text.find("does not fit"), std::string::npos) << reply.text;
}

// A keeper restored with an older file: it hands out no number that a broker has met, and takes over their
// map.
TEST(Moves, AKeeperWithAnOlderFileGoesOnAboveWhatBrokersHaveSeen) {
    World world(two_cells(2, 1));
    const std::string older = world.disks[""];
    for (const char *to : {"b", "a", "b"}) {
        ASSERT_TRUE(world.move(to).ok);
        world.deliver_all();
    }
    const std::uint64_t greatest = world.brokers.at("a1").state().greatest;
    world.disks[""] = older;
    world.restart("");
    EXPECT_FALSE(world.move("a").ok); // no number before a majority is heard
    std::set<std::uint64_t> given;
    for (int n = 0; n < 8; ++n) {
        world.tick(500'000);
        while (!world.flights.empty()) {
            if (world.flights[0].from.empty())
                if (const auto *news = std::get_if<News>(&world.flights[0].message))
                    if (news->map.epoch.origin == world.origin)
                        given.insert(news->map.epoch.number);
            world.deliver(0);
        }
    }
    ASSERT_FALSE(given.empty());
    EXPECT_GT(*given.begin(), greatest);
    EXPECT_EQ(world.keeper.map().home(kVolume)->name, "b");
    ASSERT_TRUE(world.move("a").ok);
    EXPECT_EQ(world.ends_well(), std::nullopt);
}

// A broker that missed everything since an old map forwards by it, and is told by the broker it asked.
TEST(Moves, ABrokerWithAnOldMapLearnsFromTheOthers) {
    World world(two_cells(2, 1));
    const auto old = world.brokers.at("a2").state();
    ASSERT_TRUE(world.move("b").ok);
    world.deliver_all();
    const std::string user = world.keeper.map().brokers_of(kVolume, *world.keeper.map().cell("b"))[0]->name;
    Resident late("a2", world.purse("a2"), {4'000'000, 0, 1'000'000, 1'000'000}, world.now);
    late.restore(old);
    late.ready_nodes(1);
    std::vector<Action> actions;
    world.brokers.at(user).handle(world.now, "a2", Hello{old.map->epoch, old.greatest, {}, 0, 1}, actions);
    ASSERT_EQ(actions.size(), 1u);
    const Message told = std::get<Post>(actions[0]).message;
    late.handle(world.now, user, told, actions);
    EXPECT_EQ(late.map()->epoch, world.keeper.map().epoch);
    const auto route = late.route(world.now, world.asked());
    EXPECT_EQ(route.kind, Route::Kind::Forward);
    EXPECT_EQ(route.broker, user);
    Asked far = world.asked();
    far.hops = Resident::kMostHops;
    EXPECT_EQ(late.route(world.now, far).kind, Route::Kind::Refuse); // no request goes round for ever
}

// At random, at larger size: two brokers of each cell, moves there and back, every kind of trouble.
TEST(Moves, AtRandom) {
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        std::mt19937_64 random(seed);
        const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
        World world(two_cells(2, 2));
        const std::vector<std::string> names{"a1", "a2", "b1", "b2"};
        std::string story;
        for (int step = 0; step < 150; ++step) {
            const std::size_t what = pick(100);
            if (what < 60 && !world.flights.empty()) {
                world.deliver(pick(world.flights.size()), pick(10) == 0);
            } else if (what < 65 && !world.flights.empty()) {
                world.flights.erase(world.flights.begin() +
                                    static_cast<std::ptrdiff_t>(pick(world.flights.size())));
            } else if (what < 85) {
                world.tick(static_cast<Micros>(10'000 + pick(700'000)));
            } else if (what < 95) {
                world.move(pick(2) ? "a" : "b");
            } else if (what < 97) {
                world.restart(names[pick(4)]);
            } else if (what < 98) {
                world.restart("");
            }
            const auto why = world.broken();
            ASSERT_EQ(why, std::nullopt) << "seed " << seed << " step " << step;
        }
        ASSERT_EQ(world.ends_well(), std::nullopt) << "seed " << seed;
    }
}
