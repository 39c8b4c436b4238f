/// \file
/// The cell map: rendezvous hashing, pins, validation, and how changes are published.
#include "cell_cluster.hpp"
#include "cell_maps.hpp"

using namespace test;

TEST(CellMap, AJoiningCellGetsItsPartAndMovesNothingElse) {
    constexpr int kVolumes = 20'000;
    for (const int cells : {2, 5, 9}) {
        const CellMap before = many_cells(cells, 2);
        const CellMap after = many_cells(cells + 1, 2);
        const std::string joined = fmt::format("cell-{}", cells);
        int moved = 0;
        for (int n = 1; n <= kVolumes; ++n) {
            const std::string &from = before.home_cell(nth_volume(n))->name;
            const std::string &to = after.home_cell(nth_volume(n))->name;
            if (from == to)
                continue;
            EXPECT_EQ(to, joined); // no volume migrates between existing cells
            ++moved;
        }
        const double part = static_cast<double>(moved) / kVolumes;
        const double wanted = 1.0 / (cells + 1);
        EXPECT_NEAR(part, wanted, 4 * std::sqrt(wanted * (1 - wanted) / kVolumes)) << cells;
    }
}

TEST(CellMap, VolumesAreProportionalToCapacity) {
    CellMap map = many_cells(2, 1);
    map.cells[0].capacity = 3000;
    int first = 0;
    for (int n = 1; n <= 10'000; ++n)
        first += map.home_cell(nth_volume(n)) == &map.cells[0];
    EXPECT_NEAR(first, 7500, 4 * std::sqrt(10'000 * 0.75 * 0.25));
}

TEST(CellMap, TwoVolumesRarelyShareAllTheirBrokers) {
    const CellMap map = many_cells(1, 6, 2); // 15 possible pairs of brokers
    int same = 0;
    constexpr int kPairs = 6000;
    for (int n = 1; n <= kPairs; ++n) {
        std::set<std::string> a;
        std::set<std::string> b;
        for (const Broker *x : map.brokers_of(nth_volume(2 * n), map.cells[0]))
            a.insert(x->name);
        for (const Broker *x : map.brokers_of(nth_volume(2 * n + 1), map.cells[0]))
            b.insert(x->name);
        ASSERT_EQ(a.size(), 2u);
        same += a == b;
    }
    EXPECT_NEAR(same, kPairs / 15.0, 5 * std::sqrt(kPairs / 15.0));
}

TEST(CellMap, PinsOverrideTheHashAndEvacuatedCellsGetNothingNew) {
    CellMap map = many_cells(3, 1);
    const VolumeId volume = nth_volume(1);
    const std::string home = map.home_cell(volume)->name;
    map.pins[volume] = home == "cell-0" ? "cell-1" : "cell-0";
    EXPECT_EQ(map.home_cell(volume)->name, map.pins[volume]);
    for (Cell &cell : map.cells)
        cell.evacuated = cell.name == home;
    EXPECT_NE(map.hashed_cell(volume)->name, home);
}

TEST(CellMap, ValidationNamesTheFault) {
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
    EXPECT_NE(why([](CellMap &m) { m.pins[nth_volume(1)] = "x"; }).find("cell 'x'"), std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.brokers_per_volume = 0; }).find("spread"), std::string::npos);
    EXPECT_NE(why([](CellMap &m) { m.cells.clear(); }).find("no cell"), std::string::npos);
}

// When one volume migrates, brokers get a delta. A broker that missed a delta gets a snapshot.
TEST(CellMap, ADeltaIsSentToBrokersThatHoldTheLastMap) {
    CellMap map = two_cells(2, 2);
    for (std::uint64_t n = 1; n <= 4000; ++n)
        map.pins[nth_volume(n)] = n % 2 ? "a" : "b";
    CellCluster cluster(map);
    ASSERT_TRUE(cluster.move("b").ok);
    std::size_t deltas = 0;
    std::size_t snapshots = 0;
    while (!cluster.in_flight.empty()) {
        const Message &m = cluster.in_flight[0].message;
        if (std::holds_alternative<MapDelta>(m))
            ++deltas;
        snapshots += std::holds_alternative<MapSnapshot>(m);
        if (std::holds_alternative<MapDelta>(m)) {
            const std::size_t bytes = net::link::encode(net::link::Frame{"", m}).size();
            fmt::print("a map delta: {} bytes\n", bytes);
            EXPECT_LT(bytes, 200u);
        }
        cluster.deliver(0);
    }
    EXPECT_EQ(deltas, 4u);
    EXPECT_EQ(snapshots, 0u);
    for (const auto &[name, broker] : cluster.brokers) {
        EXPECT_EQ(broker.map()->epoch, cluster.coordinator.map().epoch) << name;
        EXPECT_EQ(broker.map()->pins, cluster.coordinator.map().pins) << name;
    }
    // One delta is lost. The next one does not apply to the broker's map, so the broker gets a snapshot.
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
