/// \file
/// Placement of volumes in cells: capacity, evacuation, relief, and changes of the layout.
#include "cell_cluster.hpp"
#include "cell_maps.hpp"

using namespace test;

TEST(CellPlacement, ChoosesTheFirstCellWithCapacity) {
    CellMap map = many_cells(3, 1);
    const VolumeId volume = nth_volume(7);
    const auto order = cells_by_preference(map, volume);
    ReservedRates reserved;
    EXPECT_EQ(choose_cell(map, volume, 800, reserved), order[0]->name);
    reserved[order[0]->name] = 100;
    EXPECT_EQ(choose_cell(map, volume, 800, reserved), order[1]->name); // only 850 of 1,000 may be reserved
    EXPECT_EQ(choose_cell(map, volume, 800, reserved, {order[1]->name}), order[2]->name);
    EXPECT_EQ(choose_cell(map, volume, 851, {}), std::nullopt);
    for (Cell &cell : map.cells)
        cell.frozen = true;
    EXPECT_EQ(choose_cell(map, volume, 1, {}), std::nullopt);
}

TEST(CellPlacement, AnEvacuationNeverOvercommitsACell) {
    const CellMap map = many_cells(3, 1);
    std::mt19937_64 random(11);
    for (int round = 0; round < 200; ++round) {
        std::vector<VolumeDemand> demands;
        for (std::uint64_t n = 1; n <= 40; ++n) {
            const double reserve = static_cast<double>(random() % 90);
            demands.push_back({nth_volume(n), reserve, static_cast<double>(random() % 100),
                               1 + static_cast<double>(random() % 3)});
        }
        ReservedRates reserved{{"cell-1", static_cast<double>(random() % 850)},
                               {"cell-2", static_cast<double>(random() % 850)}};
        const auto plan = plan_evacuation(map, "cell-0", demands, reserved);
        EXPECT_EQ(plan.migrations.size() + plan.unplaced.size(), demands.size());
        for (const auto &[volume, to] : plan.migrations) {
            EXPECT_NE(to, "cell-0");
            const auto t = std::find_if(demands.begin(), demands.end(),
                                        [&, v = volume](const VolumeDemand &x) { return x.volume == v; });
            reserved[to] += t->reserve_rate > 0 ? t->reserve_rate : t->rate;
        }
        for (const auto &[cell, units] : reserved)
            EXPECT_LE(units, 850 + 1e-9);
        for (const VolumeId volume : plan.unplaced) { // no cell had the capacity
            const auto t = std::find_if(demands.begin(), demands.end(),
                                        [&](const VolumeDemand &x) { return x.volume == volume; });
            const double room = t->reserve_rate > 0 ? t->reserve_rate : t->rate;
            EXPECT_GT(reserved["cell-1"] + room, 850);
            EXPECT_GT(reserved["cell-2"] + room, 850);
        }
    }
}

// All nodes of a cell drain. The volumes that fit into other cells start to migrate, and keep their home once
// the cell is restored.
TEST(CellPlacement, DrainedCellsAreEvacuatedAndRestored) {
    CellMap map = many_cells(2, 1, 1);
    CellCoordinator::Timing timing;
    CellCoordinator coordinator(map, 5, timing);
    CoordinatorActions actions;
    std::vector<VolumeLoad> here;
    for (std::uint64_t n = 1; here.size() < 6; ++n)
        if (map.home_cell(nth_volume(n))->name == "cell-0")
            here.push_back({nth_volume(n), 200, 100, 1});
    Micros now = 1'000'000;
    const auto heartbeat = [&](const std::string &broker, std::uint32_t ready,
                               std::vector<VolumeLoad> volumes) {
        coordinator.on_message(now, broker,
                               Heartbeat{coordinator.map().epoch, 0, std::move(volumes), 0, ready}, actions);
    };
    heartbeat("broker-0-0", 2, here);
    heartbeat("broker-1-0", 3, {});
    coordinator.tick(now, actions);
    EXPECT_FALSE(coordinator.map().cell("cell-0")->evacuated);
    ASSERT_TRUE(coordinator.has_quorum());
    for (int n = 0; n < 4; ++n) {
        now += 400'000;
        heartbeat("broker-0-0", 0, here);
        coordinator.tick(now, actions);
    }
    EXPECT_TRUE(coordinator.map().cell("cell-0")->evacuated);
    EXPECT_EQ(coordinator.migrations().size(), 4u); // a reservable capacity of 850 fits four volumes of 200
    for (const auto &[volume, migration] : coordinator.migrations())
        EXPECT_EQ(migration.target_cell, "cell-1");
    CoordinatorActions more;
    EXPECT_FALSE(coordinator.evacuate("cell-1", more).ok); // no other cell accepts volumes
    EXPECT_TRUE(coordinator.restore_cell("cell-0", more).ok);
    EXPECT_FALSE(coordinator.map().cell("cell-0")->evacuated);
    for (const auto &v : here)
        EXPECT_EQ(coordinator.map().home_cell(v.volume)->name, "cell-0"); // no migration has opened
}

// A cell's reserves exceed its reservable capacity, so the fewest volumes that suffice migrate elsewhere.
TEST(CellPlacement, AnOvercommittedCellIsRelieved) {
    CellCoordinator coordinator(many_cells(2, 1, 1), 5, {});
    CoordinatorActions actions;
    std::vector<VolumeLoad> here;
    for (std::uint64_t n = 1; here.size() < 5; ++n)
        if (coordinator.map().home_cell(nth_volume(n))->name == "cell-0")
            here.push_back({nth_volume(n), 200, 100, 1});
    Micros now = 1'000'000;
    const auto heartbeat = [&] {
        coordinator.on_message(now, "broker-0-0", Heartbeat{coordinator.map().epoch, 0, here, 0, 2}, actions);
        coordinator.on_message(now, "broker-1-0", Heartbeat{coordinator.map().epoch, 0, {}, 0, 2}, actions);
    };
    heartbeat();
    coordinator.tick(now, actions);
    ASSERT_EQ(coordinator.migrations().size(),
              1u); // 1,000 are reserved of at most 850, so one volume of 200 suffices
    EXPECT_EQ(coordinator.migrations().begin()->second.target_cell, "cell-1");
    coordinator.tick(now + 100'000, actions);
    EXPECT_EQ(coordinator.migrations().size(), 1u);
}

// When a third cell joins, all volumes first stay in their cells. About a third of them then migrate, all to
// the new cell.
TEST(CellPlacement, VolumesMigrateIntoAJoiningCell) {
    CellCoordinator::Timing timing;
    timing.max_migrations = 1000;
    CellCoordinator coordinator(many_cells(2, 1, 1), 5, timing);
    CoordinatorActions actions;
    std::map<std::string, std::vector<VolumeLoad>> served;
    for (std::uint64_t n = 1; n <= 300; ++n)
        served[coordinator.map().home_cell(nth_volume(n))->name].push_back({nth_volume(n), 0, 1, 1});
    Micros now = 1'000'000;
    const auto heartbeat = [&](int cell) {
        coordinator.on_message(
            now, fmt::format("broker-{}-0", cell),
            Heartbeat{coordinator.map().epoch, 0, served[fmt::format("cell-{}", cell)], 0, 2}, actions);
    };
    heartbeat(0);
    heartbeat(1);
    EXPECT_THROW(coordinator.relayout(CellMap(), actions), std::invalid_argument);
    CellMap other = many_cells(3, 1, 1);
    other.cells[0].brokers[0].name = "another";
    const auto refusal = coordinator.relayout(other, actions); // cell-0 has volumes
    EXPECT_FALSE(refusal.ok);
    EXPECT_NE(refusal.text.find("'cell-0' would change its brokers"), std::string::npos) << refusal.text;
    EXPECT_FALSE(
        coordinator.relayout(many_cells(1, 1, 1), actions).ok); // would remove cell-1, which has volumes
    std::map<VolumeId, std::string> before;
    for (std::uint64_t n = 1; n <= 300; ++n)
        before[nth_volume(n)] = coordinator.map().home_cell(nth_volume(n))->name;
    ASSERT_TRUE(coordinator.relayout(many_cells(3, 1, 1), actions).ok);
    for (const auto &[volume, cell] : before)
        EXPECT_EQ(coordinator.map().home_cell(volume)->name, cell);
    heartbeat(0);
    heartbeat(1);
    heartbeat(2);
    now += 100'000;
    coordinator.tick(now, actions);
    EXPECT_NEAR(static_cast<double>(coordinator.migrations().size()), 100, 4 * std::sqrt(300 * 2 / 9.0));
    for (const auto &[volume, migration] : coordinator.migrations())
        EXPECT_EQ(migration.target_cell, "cell-2");
    EXPECT_FALSE(coordinator.relayout(many_cells(3, 1, 1), actions).ok); // refused during migrations
}

// Requests are rejected without delay if the cell has no ready node.
TEST(CellPlacement, AVolumeWithoutReadyNodesIsRejectedAtOnce) {
    CellCluster cluster(two_cells(1, 1));
    cluster.brokers.at("a1").set_ready_nodes(0);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Reject);
    cluster.brokers.at("a1").set_ready_nodes(1);
    EXPECT_EQ(cluster.brokers.at("a1").route(cluster.now, cluster.routing_request()).kind,
              RoutingDecision::Kind::Serve);
}
