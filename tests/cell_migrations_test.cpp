/// \file
/// Migrations of volumes between cells: all orders of events in a small cluster, and random orders in a
/// larger one.
#include "cell_cluster.hpp"

#include <unordered_set>

using namespace test;

namespace {

// Explores every order of message delivery, with up to the given numbers of losses, duplicates, timeouts and
// restarts.
struct Explorer {
    int drops = 0;
    int duplicates = 0;
    int waits = 0;
    int restarts = 0;
    bool disks = true;            // whether a restarted process still has its state file
    bool second_operator = false; // whether a second operator moves the volume back to its first cell
    bool complete = true;         // whether to require that max_states suffices for all states
    std::size_t max_states = 25'000;
    std::size_t seen_states = 0, checked_ends = 0;
    std::unordered_set<std::size_t> seen = {};

    // d, u, w and k are the remaining drops, duplicates, waits and restarts. `open` is whether the request at
    // a1 is still open, `rivals` whether the second operator has yet to act.
    std::string explore(CellCluster cluster, const std::string &path, int d, int u, int w, int k, bool open,
                        bool rivals) {
        const std::size_t print = std::hash<std::string>()(
            cluster.fingerprint() + fmt::format("|{}{}{}{}{}{}", d, u, w, k, open, rivals));
        if (!seen.insert(print).second || seen.size() > max_states)
            return {};
        ++seen_states;
        if (const auto why = cluster.violation())
            return path + ": " + *why;
        if (print % 16 == 0) {
            ++checked_ends;
            CellCluster end = cluster;
            if (open)
                end.end("a1", false, 9);
            if (const auto why = end.violation_at_end())
                return path + ", then without further faults: " + *why;
        }
        const auto go = [&](const std::string &step, auto change, int dd, int uu, int ww, int kk, bool oo,
                            bool rr) {
            CellCluster next = cluster;
            change(next);
            return explore(std::move(next), path + " " + step, dd, uu, ww, kk, oo, rr);
        };
        std::set<std::string> same; // equal messages are tried only once
        for (std::size_t n = 0; n < cluster.in_flight.size(); ++n) {
            const CellCluster::InFlight &f = cluster.in_flight[n];
            if (!same.insert(f.to + net::link::encode(net::link::Frame{f.from, f.message})).second)
                continue;
            const std::string name =
                fmt::format("{}>{}:{}{}", f.from, f.to, f.message.index(),
                            std::holds_alternative<MigrationStep>(f.message)
                                ? static_cast<int>(std::get<MigrationStep>(f.message).kind)
                                : 0);
            if (auto bad = go(
                    name, [&](CellCluster &x) { x.deliver(n); }, d, u, w, k, open, rivals);
                !bad.empty())
                return bad;
            if (d > 0)
                if (auto bad = go(
                        "lose " + name,
                        [&](CellCluster &x) {
                            x.in_flight.erase(x.in_flight.begin() + static_cast<std::ptrdiff_t>(n));
                        },
                        d - 1, u, w, k, open, rivals);
                    !bad.empty())
                    return bad;
            if (u > 0)
                if (auto bad = go(
                        "twice " + name, [&](CellCluster &x) { x.deliver(n, true); }, d, u - 1, w, k, open,
                        rivals);
                    !bad.empty())
                    return bad;
        }
        if (open)
            if (auto bad = go(
                    "end", [](CellCluster &x) { x.end("a1", false, 9); }, d, u, w, k, false, rivals);
                !bad.empty())
                return bad;
        if (w > 0)
            if (auto bad = go(
                    "wait", [](CellCluster &x) { x.tick(CellCluster::kBeyondStepTimeout); }, d, u, w - 1, k,
                    open, rivals);
                !bad.empty())
                return bad;
        if (rivals)
            if (auto bad = go(
                    "second operator", [](CellCluster &x) { x.move("a"); }, d, u, w, k, open, false);
                !bad.empty())
                return bad;
        if (k > 0)
            for (const std::string who : {"", "a1", "b1"}) {
                const bool gone = who == "a1"; // its open request ends
                if (auto bad = go(
                        "restart " + who, [&](CellCluster &x) { x.restart(who, disks); }, d, u, w, k - 1,
                        open && !gone, rivals);
                    !bad.empty())
                    return bad;
            }
        return {};
    }
    void run() {
        // By default the larger state spaces are explored only in part, because all states take minutes.
        if (std::getenv("MARBLEWOOD_EXHAUSTIVE")) {
            complete = true;
            max_states = 50'000'000;
        }
        CellCluster cluster(two_cells(1, 1));
        cluster.drop_heartbeats = true;
        cluster.begin("a1", 9);
        ASSERT_TRUE(cluster.move("b").ok);
        const std::string failure =
            explore(cluster, "", drops, duplicates, waits, restarts, true, second_operator);
        EXPECT_EQ(failure, "");
        if (complete)
            EXPECT_LT(seen.size(), max_states) << "not explored to the end";
        fmt::print("{} states, {} run to their end\n", seen_states, checked_ends);
        EXPECT_GT(checked_ends, 0u);
    }
};

} // namespace

TEST(CellMigrations, AllOrders) {
    Explorer{}.run();
}
TEST(CellMigrations, AllOrdersWithLosses) {
    Explorer{.drops = 1, .waits = 1, .max_states = 40'000}.run();
}
TEST(CellMigrations, AllOrdersWithDuplicates) {
    Explorer{.duplicates = 1, .waits = 1, .complete = false}.run();
}
TEST(CellMigrations, AllOrdersWithWaits) {
    Explorer{.waits = 2, .complete = false}.run();
}
TEST(CellMigrations, AllOrdersWithARestart) {
    Explorer{.waits = 1, .restarts = 1, .complete = false}.run();
}
TEST(CellMigrations, AllOrdersWithARestartAndALoss) {
    Explorer{.drops = 1, .waits = 1, .restarts = 1, .complete = false}.run();
}
TEST(CellMigrations, AllOrdersWithTwoOperators) {
    Explorer{.waits = 1, .second_operator = true, .complete = false}.run();
}

TEST(CellMigrations, CompletesAndTransfersTheQuota) {
    CellCluster cluster(two_cells(2, 2));
    ASSERT_TRUE(cluster.move("b").ok);
    cluster.deliver_all();
    EXPECT_TRUE(cluster.coordinator.migrations().empty());
    EXPECT_EQ(cluster.units["a1"] + cluster.units["a2"], 0);
    EXPECT_DOUBLE_EQ(cluster.units["b1"], CellCluster::kUnits);
    EXPECT_DOUBLE_EQ(cluster.units["b2"], CellCluster::kUnits);
    EXPECT_EQ(cluster.brokers.at("b1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Forward);
    EXPECT_EQ(cluster.coordinator.map().home_cell(kVolume)->name, "b");
    EXPECT_NE(cluster.coordinator.where(kVolume).find("pinned by an operator"), std::string::npos);
}

TEST(CellMigrations, NewRequestsWaitWhileOpenOnesEnd) {
    CellCluster cluster(two_cells(1, 1));
    cluster.begin("a1");
    ASSERT_TRUE(cluster.move("b").ok);
    cluster.deliver_all();
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Wait);
    EXPECT_EQ(cluster.brokers.at("b1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Forward); // to the home cell
    cluster.end("a1", true);
    cluster.deliver_all();
    EXPECT_EQ(cluster.brokers.at("b1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
}

// A write with an idempotency key fails before the volume migrates. Its repeat is routed back to the source,
// which has retained the units for it.
TEST(CellMigrations, ARepeatGoesWhereTheFirstAttemptMayHaveRun) {
    CellCluster cluster(two_cells(1, 1));
    cluster.begin("a1", 9);
    ASSERT_TRUE(cluster.move("b").ok);
    cluster.deliver_all();
    cluster.end("a1", false, 9);
    cluster.deliver_all();
    ASSERT_TRUE(cluster.coordinator.migrations().empty());
    EXPECT_DOUBLE_EQ(cluster.units["b1"], CellCluster::kUnits - 2 - 2);
    const auto repeat = cluster.routing_request(9);
    const auto at_b = cluster.brokers.at("b1").route(cluster.now, repeat);
    EXPECT_EQ(at_b.kind, RoutingDecision::Kind::Forward);
    EXPECT_EQ(at_b.broker, "a1");
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, repeat).kind, RoutingDecision::Kind::Serve);
    cluster.activate();
    cluster.brokers.at("a1").on_request_started(cluster.now, repeat);
    EXPECT_DOUBLE_EQ(cluster.units["a1"], 2); // only the retained units
    EXPECT_NE(cluster.brokers.at("a1").route(cluster.now, repeat).kind,
              RoutingDecision::Kind::Serve); // it is spent
    // Another key is served as a new request, and so is this key once its window has closed.
    EXPECT_EQ(cluster.brokers.at("b1").route(cluster.now, cluster.routing_request(10)).kind,
              RoutingDecision::Kind::Serve);
    cluster.now += 6'000'000;
    EXPECT_EQ(cluster.brokers.at("b1").route(cluster.now, repeat).kind, RoutingDecision::Kind::Serve);
}

TEST(CellMigrations, ASourceThatMayHaveForgottenKeysDoesNotDrain) {
    CellCluster cluster(two_cells(1, 1));
    cluster.brokers.erase("a1");
    cluster.brokers.emplace("a1", CellMember("a1", cluster.quota_store("a1"),
                                             {4'000'000, 5'000'000, 1'000'000, 1'000'000}, cluster.now));
    cluster.brokers.at("a1").set_ready_nodes(1);
    cluster.tick(10);
    cluster.deliver_all();
    ASSERT_TRUE(cluster.move("b").ok);
    cluster.deliver_all();
    EXPECT_EQ(cluster.coordinator.migrations().at(kVolume).stage, MigrationStage::Draining);
    for (int n = 0; n < 18; ++n) {
        cluster.tick(250'000); // 4.5 s in total, longer than drain_timeout
        cluster.deliver_all();
    }
    EXPECT_EQ(cluster.coordinator.counters().aborted, 1u);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
    for (int n = 0; n < 4; ++n) {
        cluster.tick(250'000);
        cluster.deliver_all();
    }
    ASSERT_TRUE(cluster.move("b").ok);
    cluster.deliver_all();
    EXPECT_EQ(cluster.coordinator.map().home_cell(kVolume)->name, "b");
}

TEST(CellMigrations, ATargetThatNeverAnswersAbortsIt) {
    CellCluster cluster(two_cells(1, 1));
    cluster.brokers.erase("b1");
    ASSERT_TRUE(cluster.move("b").ok);
    for (int n = 0; n < 20; ++n) {
        cluster.tick(250'000);
        cluster.deliver_all();
    }
    EXPECT_EQ(cluster.coordinator.counters().aborted, 1u);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
    EXPECT_DOUBLE_EQ(cluster.units["a1"], CellCluster::kUnits);
}

// The coordinator becomes unreachable once the source has drained. The source asks the arbiter and resumes
// serving the volume, and the return of the coordinator does not change that.
TEST(CellMigrations, AFencedSourceWithoutACoordinatorAsksTheArbiter) {
    CellCluster cluster(two_cells(1, 1));
    ASSERT_TRUE(cluster.move("b").ok);
    const auto drained = [&] {
        const auto records = cluster.brokers.at("a1").state().records;
        const auto at = records.find(kVolume);
        return at != records.end() && at->second.stage == MemberStage::Drained;
    };
    while (!drained())
        cluster.deliver(0);
    cluster.in_flight.clear();
    const auto drop_coordinator_messages = [&] {
        std::erase_if(cluster.in_flight, [](const auto &f) { return f.to.empty() || f.from.empty(); });
    };
    for (int n = 0; n < 8; ++n) {
        cluster.tick(250'000);
        drop_coordinator_messages();
        while (!cluster.in_flight.empty()) {
            cluster.deliver(0);
            drop_coordinator_messages();
        }
    }
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
    EXPECT_DOUBLE_EQ(cluster.units["a1"], CellCluster::kUnits);
    EXPECT_EQ(cluster.violation_at_end(), std::nullopt);
    EXPECT_EQ(cluster.coordinator.map().home_cell(kVolume)->name, "a");
}

TEST(CellMigrations, TwoOperators) {
    CellCluster cluster(two_cells(1, 1));
    ASSERT_TRUE(cluster.move("b").ok);
    EXPECT_FALSE(cluster.move("b").ok);
    EXPECT_FALSE(cluster.move("a").ok);
    EXPECT_FALSE(cluster.move("nowhere").ok);
    cluster.deliver_all();
    EXPECT_EQ(cluster.coordinator.counters().completed, 1u);
    EXPECT_TRUE(cluster.move("b").ok); // the volume is already in that cell, and is pinned there
    EXPECT_TRUE(cluster.move("a").ok);
    cluster.deliver_all();
    EXPECT_EQ(cluster.coordinator.map().home_cell(kVolume)->name, "a");
}

TEST(CellMigrations, FrozenAndFullCellsAcceptNothing) {
    CellCluster cluster(two_cells(1, 1));
    CoordinatorActions actions;
    ASSERT_TRUE(cluster.coordinator.set_frozen("b", true, actions).ok);
    EXPECT_FALSE(cluster.move("b").ok);
    ASSERT_TRUE(cluster.coordinator.set_frozen("b", false, actions).ok);
    Heartbeat hello{cluster.coordinator.map().epoch, 0, {{kVolume, 900, 10, 1}}, 0, 2};
    cluster.coordinator.on_message(cluster.now, "a1", hello, actions);
    const auto reply =
        cluster.move("b"); // a reserve of 900, where 850 of the capacity of 1000 may be reserved
    EXPECT_FALSE(reply.ok);
    EXPECT_NE(reply.text.find("does not fit"), std::string::npos) << reply.text;
}

// A coordinator restored from an older state file assigns no epoch that a broker has seen, and adopts the
// brokers' map.
TEST(CellMigrations, ACoordinatorWithAnOlderFileContinuesAboveWhatBrokersHaveSeen) {
    CellCluster cluster(two_cells(2, 1));
    const std::string older = cluster.disks[""];
    for (const char *to : {"b", "a", "b"}) {
        ASSERT_TRUE(cluster.move(to).ok);
        cluster.deliver_all();
    }
    const std::uint64_t greatest = cluster.brokers.at("a1").state().highest_epoch;
    cluster.disks[""] = older;
    cluster.restart("");
    EXPECT_FALSE(cluster.move("a").ok); // no epoch is assigned before a majority of brokers has reported
    std::set<std::uint64_t> given;
    for (int n = 0; n < 8; ++n) {
        cluster.tick(500'000);
        while (!cluster.in_flight.empty()) {
            if (cluster.in_flight[0].from.empty())
                if (const auto *news = std::get_if<MapSnapshot>(&cluster.in_flight[0].message))
                    if (news->map.epoch.origin == cluster.origin)
                        given.insert(news->map.epoch.number);
            cluster.deliver(0);
        }
    }
    ASSERT_FALSE(given.empty());
    EXPECT_GT(*given.begin(), greatest);
    EXPECT_EQ(cluster.coordinator.map().home_cell(kVolume)->name, "b");
    ASSERT_TRUE(cluster.move("a").ok);
    EXPECT_EQ(cluster.violation_at_end(), std::nullopt);
}

// A broker with an old map gets the newer map from another broker, and forwards according to it.
TEST(CellMigrations, ABrokerWithAnOldMapLearnsFromTheOthers) {
    CellCluster cluster(two_cells(2, 1));
    const auto old = cluster.brokers.at("a2").state();
    ASSERT_TRUE(cluster.move("b").ok);
    cluster.deliver_all();
    const std::string user =
        cluster.coordinator.map().brokers_of(kVolume, *cluster.coordinator.map().cell("b"))[0]->name;
    CellMember late("a2", cluster.quota_store("a2"), {4'000'000, 0, 1'000'000, 1'000'000}, cluster.now);
    late.restore(old);
    late.set_ready_nodes(1);
    MemberActions actions;
    cluster.brokers.at(user).on_message(cluster.now, "a2",
                                        Heartbeat{old.map->epoch, old.highest_epoch, {}, 0, 1}, actions);
    ASSERT_EQ(actions.size(), 1u);
    const Message told = std::get<OutgoingMessage>(actions[0]).message;
    late.on_message(cluster.now, user, told, actions);
    EXPECT_EQ(late.map()->epoch, cluster.coordinator.map().epoch);
    const auto route = late.route(cluster.now, cluster.routing_request());
    EXPECT_EQ(route.kind, RoutingDecision::Kind::Forward);
    EXPECT_EQ(route.broker, user);
    RoutingRequest far = cluster.routing_request();
    far.hops = CellMember::kMaxHops;
    EXPECT_EQ(late.route(cluster.now, far).kind,
              RoutingDecision::Kind::Reject); // limits forwarding loops
}

// Runs random migrations, losses, duplicates and restarts in two cells of two brokers each.
TEST(CellMigrations, AtRandom) {
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        std::mt19937_64 random(seed);
        const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
        CellCluster cluster(two_cells(2, 2));
        const std::vector<std::string> names{"a1", "a2", "b1", "b2"};
        std::string story;
        for (int step = 0; step < 150; ++step) {
            const std::size_t what = pick(100);
            if (what < 60 && !cluster.in_flight.empty()) {
                cluster.deliver(pick(cluster.in_flight.size()), pick(10) == 0);
            } else if (what < 65 && !cluster.in_flight.empty()) {
                cluster.in_flight.erase(cluster.in_flight.begin() +
                                        static_cast<std::ptrdiff_t>(pick(cluster.in_flight.size())));
            } else if (what < 85) {
                cluster.tick(static_cast<Micros>(10'000 + pick(700'000)));
            } else if (what < 95) {
                cluster.move(pick(2) ? "a" : "b");
            } else if (what < 97) {
                cluster.restart(names[pick(4)]);
            } else if (what < 98) {
                cluster.restart("");
            }
            const auto why = cluster.violation();
            ASSERT_EQ(why, std::nullopt) << "seed " << seed << " step " << step;
        }
        ASSERT_EQ(cluster.violation_at_end(), std::nullopt) << "seed " << seed;
    }
}
