// The map of cells, placement, and what of both goes over the wire.
#include "cell_cluster.hpp"

using namespace test;

namespace {

CellMap many_cells(int cells, int brokers, int spread = 2) {
    CellMap map;
    map.brokers_per_volume = spread;
    for (int c = 0; c < cells; ++c) {
        Cell cell{fmt::format("cell-{}", c), 1000, {}, {}, false, false};
        for (int b = 0; b < brokers; ++b)
            cell.brokers.push_back({fmt::format("broker-{}-{}", c, b), "127.0.0.1:6379", "127.0.0.1:7000"});
        for (int n = 0; n < 4; ++n)
            cell.nodes.insert(fmt::format("s-{:02}{:02}", c, n));
        map.cells.push_back(std::move(cell));
    }
    return map;
}
VolumeId nth(std::uint64_t n) {
    return VolumeId{n * 0x9e3779b97f4a7c15};
}

} // namespace

TEST(CellMap, AJoiningCellTakesItsShareAndMovesNothingElse) {
    constexpr int kVolumes = 20'000;
    for (const int cells : {2, 5, 9}) {
        const CellMap before = many_cells(cells, 2), after = many_cells(cells + 1, 2);
        const std::string joined = fmt::format("cell-{}", cells);
        int moved = 0;
        for (int n = 1; n <= kVolumes; ++n) {
            const std::string &from = before.home_cell(nth(n))->name, &to = after.home_cell(nth(n))->name;
            if (from == to)
                continue;
            EXPECT_EQ(to, joined); // none between old cells
            ++moved;
        }
        const double share = static_cast<double>(moved) / kVolumes, wanted = 1.0 / (cells + 1);
        EXPECT_NEAR(share, wanted, 4 * std::sqrt(wanted * (1 - wanted) / kVolumes)) << cells;
    }
}

TEST(CellMap, CapacityWeighs) {
    CellMap map = many_cells(2, 1);
    map.cells[0].capacity = 3000;
    int first = 0;
    for (int n = 1; n <= 10'000; ++n)
        first += map.home_cell(nth(n)) == &map.cells[0];
    EXPECT_NEAR(first, 7500, 4 * std::sqrt(10'000 * 0.75 * 0.25));
}

TEST(CellMap, TwoVolumesRarelyShareAllTheirBrokers) {
    const CellMap map = many_cells(1, 6, 2); // 15 pairs of brokers
    int same = 0;
    constexpr int kPairs = 6000;
    for (int n = 1; n <= kPairs; ++n) {
        std::set<std::string> a, b;
        for (const Broker *x : map.brokers_of(nth(2 * n), map.cells[0]))
            a.insert(x->name);
        for (const Broker *x : map.brokers_of(nth(2 * n + 1), map.cells[0]))
            b.insert(x->name);
        ASSERT_EQ(a.size(), 2u);
        same += a == b;
    }
    EXPECT_NEAR(same, kPairs / 15.0, 5 * std::sqrt(kPairs / 15.0));
}

TEST(CellMap, PinsStandOverTheHashAndEvacuatedCellsTakeNothingNew) {
    CellMap map = many_cells(3, 1);
    const VolumeId volume = nth(1);
    const std::string home = map.home_cell(volume)->name;
    map.pins[volume] = home == "cell-0" ? "cell-1" : "cell-0";
    EXPECT_EQ(map.home_cell(volume)->name, map.pins[volume]);
    for (Cell &cell : map.cells)
        cell.evacuated = cell.name == home;
    EXPECT_NE(map.hashed_cell(volume)->name, home);
}

TEST(CellMap, WhatIsWrongIsNamed) {
    const auto why = [](auto change) {
        CellMap map = many_cells(2, 2);
        change(map);
        try {
            validate(map);
        } catch (const std::invalid_argument &error) {
            return std::string(error.what());
        }
        return std::string();
    };
    EXPECT_EQ(why([](CellMap &) {}), "");
    EXPECT_NE(why([](CellMap &m) { m.cells[1].name = "cell-0"; }).find("cell 'cell-0'"), std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.cells[1].nodes.insert("s-0000"); }).find("node 's-0000'"),
              std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.spare_nodes.insert("s-0101"); }).find("node 's-0101'"),
              std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.cells[0].brokers[0].name = "broker-1-0"; }).find("broker-1-0"),
              std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.cells[0].capacity = 0; }).find("capacity"), std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.pins[nth(1)] = "x"; }).find("cell 'x'"), std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.brokers_per_volume = 0; }).find("spread"), std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.cells.clear(); }).find("no cell"), std::string::npos);
}

// Thousands of volumes: 4,000 of them pinned in a map of 8 cells.
TEST(CellMap, StaysSmallOnTheWire) {
    CellMap map = many_cells(8, 4);
    const auto bytes = [&] {
        return net::link::encode(net::link::Frame{"", Message(MapSnapshot{map, {}})}).size();
    };
    const std::size_t bare = bytes();
    for (std::uint64_t n = 1; n <= 4000; ++n)
        map.pins[nth(n)] = fmt::format("cell-{}", n % 8);
    const std::size_t full = bytes();
    fmt::print("map of 8 cells: {} bytes, with 4,000 pins {} bytes\n", bare, full);
    EXPECT_LT(bare, 4096u);
    EXPECT_LE(full - bare, 4000 * 8 + 8 * 32u);
    const auto back =
        net::link::decode_frame(net::link::encode(net::link::Frame{"x", Message(MapSnapshot{map, {}})}));
    const CellMap &read = std::get<MapSnapshot>(std::get<Message>(back.body)).map;
    EXPECT_EQ(read.pins, map.pins);
    EXPECT_EQ(read.cells, map.cells);
}

// One volume moved: each broker is told of that alone. One that holds another map gets the whole.
TEST(CellMap, AChangeIsToldByItself) {
    CellMap map = two_cells(2, 2);
    for (std::uint64_t n = 1; n <= 4000; ++n)
        map.pins[nth(n)] = n % 2 ? "a" : "b";
    CellCluster cluster(map);
    ASSERT_TRUE(cluster.move("b").ok);
    std::size_t told = 0, whole = 0;
    while (!cluster.in_flight.empty()) {
        const Message &m = cluster.in_flight[0].message;
        if (std::holds_alternative<MapDelta>(m))
            ++told;
        whole += std::holds_alternative<MapSnapshot>(m);
        if (std::holds_alternative<MapDelta>(m)) {
            const std::size_t bytes = net::link::encode(net::link::Frame{"", m}).size();
            fmt::print("a change: {} bytes\n", bytes);
            EXPECT_LT(bytes, 200u);
        }
        cluster.deliver(0);
    }
    EXPECT_EQ(told, 4u);
    EXPECT_EQ(whole, 0u);
    for (const auto &[name, broker] : cluster.brokers) {
        EXPECT_EQ(broker.map()->epoch, cluster.coordinator.map().epoch) << name;
        EXPECT_EQ(broker.map()->pins, cluster.coordinator.map().pins) << name;
    }
    // A change that is lost: the next finds the broker on another map, and it is given the whole.
    ASSERT_TRUE(cluster.move("a").ok);
    for (std::size_t n = 0; !cluster.in_flight.empty();) {
        if (cluster.in_flight[0].to == "b2" &&
            std::holds_alternative<MapDelta>(cluster.in_flight[0].message) && n++ == 0)
            cluster.in_flight.erase(cluster.in_flight.begin());
        else
            cluster.deliver(0);
    }
    EXPECT_NE(cluster.brokers.at("b2").map()->epoch, cluster.coordinator.map().epoch);
    ASSERT_TRUE(cluster.move("b").ok);
    EXPECT_EQ(cluster.violation_at_end(), std::nullopt);
    EXPECT_EQ(cluster.brokers.at("b2").map()->pins, cluster.coordinator.map().pins);
}

TEST(Placement, TakesTheFirstCellThatHasRoom) {
    CellMap map = many_cells(3, 1);
    const VolumeId volume = nth(7);
    const auto order = cells_by_preference(map, volume);
    ReservedRates promised;
    EXPECT_EQ(choose_cell(map, volume, 800, promised), order[0]->name);
    promised[order[0]->name] = 100;
    EXPECT_EQ(choose_cell(map, volume, 800, promised), order[1]->name); // 850 may be promised
    EXPECT_EQ(choose_cell(map, volume, 800, promised, {order[1]->name}), order[2]->name);
    EXPECT_EQ(choose_cell(map, volume, 851, {}), std::nullopt);
    for (Cell &cell : map.cells)
        cell.frozen = true;
    EXPECT_EQ(choose_cell(map, volume, 1, {}), std::nullopt);
}

TEST(Placement, AnEvacuationTakesWhatIsWorthMostAndNeverOverfills) {
    const CellMap map = many_cells(3, 1);
    std::mt19937_64 random(11);
    for (int round = 0; round < 200; ++round) {
        std::vector<VolumeDemand> demands;
        double asked = 0;
        for (std::uint64_t n = 1; n <= 40; ++n) {
            const double reserve = static_cast<double>(random() % 90);
            demands.push_back({nth(n), reserve, static_cast<double>(random() % 100),
                               1 + static_cast<double>(random() % 3)});
            asked += reserve;
        }
        ReservedRates promised{{"cell-1", static_cast<double>(random() % 850)},
                               {"cell-2", static_cast<double>(random() % 850)}};
        const auto plan = plan_evacuation(map, "cell-0", demands, promised);
        EXPECT_EQ(plan.migrations.size() + plan.unplaced.size(), demands.size());
        for (const auto &[volume, to] : plan.migrations) {
            EXPECT_NE(to, "cell-0");
            const auto t = std::find_if(demands.begin(), demands.end(),
                                        [&, v = volume](const VolumeDemand &x) { return x.volume == v; });
            promised[to] += t->reserve_rate > 0 ? t->reserve_rate : t->rate;
        }
        for (const auto &[cell, units] : promised)
            EXPECT_LE(units, 850 + 1e-9);
        for (const VolumeId volume : plan.unplaced) { // it had no room
            const auto t = std::find_if(demands.begin(), demands.end(),
                                        [&](const VolumeDemand &x) { return x.volume == volume; });
            const double room = t->reserve_rate > 0 ? t->reserve_rate : t->rate;
            EXPECT_GT(promised["cell-1"] + room, 850);
            EXPECT_GT(promised["cell-2"] + room, 850);
        }
    }
}

// A cell whose nodes all drain: by rule, what fits moves away, and home again once it is taken back.
TEST(Evacuation, ByRuleAndHomeAgain) {
    CellMap map = many_cells(2, 1, 1);
    CellCoordinator::Timing timing;
    CellCoordinator coordinator(map, 5, timing);
    CoordinatorActions actions;
    std::vector<VolumeLoad> here;
    for (std::uint64_t n = 1; here.size() < 6; ++n)
        if (map.home_cell(nth(n))->name == "cell-0")
            here.push_back({nth(n), 200, 100, 1});
    Micros now = 1'000'000;
    const auto hello = [&](const std::string &broker, std::uint32_t ready, std::vector<VolumeLoad> volumes) {
        coordinator.on_message(now, broker,
                               Heartbeat{coordinator.map().epoch, 0, std::move(volumes), 0, ready}, actions);
    };
    hello("broker-0-0", 2, here);
    hello("broker-1-0", 3, {});
    coordinator.tick(now, actions);
    EXPECT_FALSE(coordinator.map().cell("cell-0")->evacuated);
    ASSERT_TRUE(coordinator.has_quorum());
    for (int n = 0; n < 4; ++n)
        now += 400'000, hello("broker-0-0", 0, here), coordinator.tick(now, actions);
    EXPECT_TRUE(coordinator.map().cell("cell-0")->evacuated);
    EXPECT_EQ(coordinator.migrations().size(), 4u); // 850 of capacity take four of 200
    for (const auto &[volume, migration] : coordinator.migrations())
        EXPECT_EQ(migration.target_cell, "cell-1");
    CoordinatorActions more;
    EXPECT_FALSE(coordinator.evacuate("cell-1", more).ok); // no other cell is left
    EXPECT_TRUE(coordinator.restore_cell("cell-0", more).ok);
    EXPECT_FALSE(coordinator.map().cell("cell-0")->evacuated);
    for (const auto &v : here)
        EXPECT_EQ(coordinator.map().home_cell(v.volume)->name, "cell-0"); // none was opened elsewhere
}

// More promised than a cell may give: just so much goes elsewhere, and comes home once it fits.
TEST(Placement, AFullCellIsRelieved) {
    CellCoordinator coordinator(many_cells(2, 1, 1), 5, {});
    CoordinatorActions actions;
    std::vector<VolumeLoad> here;
    for (std::uint64_t n = 1; here.size() < 5; ++n)
        if (coordinator.map().home_cell(nth(n))->name == "cell-0")
            here.push_back({nth(n), 200, 100, 1});
    Micros now = 1'000'000;
    const auto hello = [&] {
        coordinator.on_message(now, "broker-0-0", Heartbeat{coordinator.map().epoch, 0, here, 0, 2}, actions);
        coordinator.on_message(now, "broker-1-0", Heartbeat{coordinator.map().epoch, 0, {}, 0, 2}, actions);
    };
    hello();
    coordinator.tick(now, actions);
    ASSERT_EQ(coordinator.migrations().size(), 1u); // 1,000 of 850: one of 200 is enough
    EXPECT_EQ(coordinator.migrations().begin()->second.target_cell, "cell-1");
    coordinator.tick(now + 100'000, actions);
    EXPECT_EQ(coordinator.migrations().size(), 1u);
}

// A cell joins: no volume changes by itself, and about a third is then moved, to the new cell only.
TEST(Layout, AJoiningCellIsMovedInto) {
    CellCoordinator::Timing timing;
    timing.max_migrations = 1000;
    CellCoordinator coordinator(many_cells(2, 1, 1), 5, timing);
    CoordinatorActions actions;
    std::map<std::string, std::vector<VolumeLoad>> served;
    for (std::uint64_t n = 1; n <= 300; ++n)
        served[coordinator.map().home_cell(nth(n))->name].push_back({nth(n), 0, 1, 1});
    Micros now = 1'000'000;
    const auto hello = [&](int cell) {
        coordinator.on_message(
            now, fmt::format("broker-{}-0", cell),
            Heartbeat{coordinator.map().epoch, 0, served[fmt::format("cell-{}", cell)], 0, 2}, actions);
    };
    hello(0), hello(1);
    EXPECT_THROW(coordinator.relayout(CellMap(), actions), std::invalid_argument);
    CellMap other = many_cells(3, 1, 1);
    other.cells[0].brokers[0].name = "another";
    const auto no = coordinator.relayout(other, actions); // under volumes that live there
    EXPECT_FALSE(no.ok);
    EXPECT_NE(no.text.find("'cell-0' would change its brokers"), std::string::npos) << no.text;
    EXPECT_FALSE(coordinator.relayout(many_cells(1, 1, 1), actions).ok); // cell-1 would go
    std::map<VolumeId, std::string> before;
    for (std::uint64_t n = 1; n <= 300; ++n)
        before[nth(n)] = coordinator.map().home_cell(nth(n))->name;
    ASSERT_TRUE(coordinator.relayout(many_cells(3, 1, 1), actions).ok);
    for (const auto &[volume, cell] : before)
        EXPECT_EQ(coordinator.map().home_cell(volume)->name, cell);
    hello(0), hello(1), hello(2);
    coordinator.tick(now += 100'000, actions);
    EXPECT_NEAR(static_cast<double>(coordinator.migrations().size()), 100, 4 * std::sqrt(300 * 2 / 9.0));
    for (const auto &[volume, migration] : coordinator.migrations())
        EXPECT_EQ(migration.target_cell, "cell-2");
    EXPECT_FALSE(coordinator.relayout(many_cells(3, 1, 1), actions).ok); // while they move
}

// Volumes of a cell without a node that takes requests learn at once that they must come again.
TEST(Evacuation, WhatStaysIsRefusedAtOnce) {
    CellCluster cluster(two_cells(1, 1));
    cluster.brokers.at("a1").set_ready_nodes(0);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Reject);
    cluster.brokers.at("a1").set_ready_nodes(1);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
}

TEST(Codec, RefusesWhatIsSpoilt) {
    CellCluster cluster(two_cells(1, 1));
    ASSERT_TRUE(cluster.move("b").ok);
    const std::string coordinator = net::link::encode(cluster.coordinator.state());
    const std::string broker = net::link::encode(cluster.brokers.at("a1").state());
    EXPECT_EQ(net::link::encode(net::link::decode_coordinator_state(coordinator)), coordinator);
    EXPECT_EQ(net::link::encode(net::link::decode_member_state(broker)), broker);
    std::mt19937_64 random(3);
    for (int n = 0; n < 2000; ++n) {
        std::string bad = n % 2 ? coordinator : broker;
        if (n % 3 == 0)
            bad.resize(random() % bad.size());
        else
            bad[random() % bad.size()] ^= static_cast<char>(1 + random() % 255);
        try {
            if (n % 2)
                EXPECT_EQ(net::link::encode(net::link::decode_coordinator_state(bad)), coordinator);
            else
                EXPECT_EQ(net::link::encode(net::link::decode_member_state(bad)), broker);
        } catch (const net::link::DecodeError &) { // as it should be
        }
        try {
            net::link::decode_frame(bad);
        } catch (const net::link::DecodeError &) {}
    }
}
