/// \file
/// Compatibility with the encoding of earlier versions: state files of coordinators and members, and every
/// message between them. The fixtures were written by commit 98b3caf. A failure means that an upgrade would
/// lose state or that two versions could not exchange messages.
#include "cells/cell_coordinator.hpp"
#include "cells_samples.hpp"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

using namespace test;

namespace {

const std::string kFolder = MARBLEWOOD_FIXTURES "/cells/";

std::string fixture(const std::string &name) {
    std::ifstream file(kFolder + name, std::ios::binary);
    EXPECT_TRUE(file.good()) << kFolder + name;
    std::ostringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}
std::string hex(const std::string &bytes) {
    std::string text;
    for (const unsigned char byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}
std::string from_hex(const std::string &text) {
    std::string bytes;
    for (std::size_t at = 0; at + 1 < text.size(); at += 2)
        bytes += static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16));
    return bytes;
}

} // namespace

// Each sample must encode to the recorded bytes, and the decoded bytes must encode to the same bytes again.
// This verifies the position of each field in both directions.
TEST(CellsCompatibility, EveryMessageKeepsItsBytes) {
    std::istringstream lines(fixture("messages.hex"));
    std::map<std::string, std::string> golden;
    for (std::string name, bytes; lines >> name >> bytes;)
        golden[name] = bytes;
    const auto samples = sample_frames();
    EXPECT_EQ(golden.size(), samples.size());
    for (const auto &[name, frame] : samples) {
        EXPECT_EQ(hex(link::encode(frame)), golden[name]) << name;
        const link::Frame read = link::decode_frame(from_hex(golden[name]));
        EXPECT_EQ(read.sender, frame.sender) << name;
        EXPECT_EQ(read.body.index(), frame.body.index()) << name;
        EXPECT_EQ(hex(link::encode(read)), golden[name]) << name;
    }
}

TEST(CellsCompatibility, AMembersStateFileIsRead) {
    const std::string bytes = fixture("member.cells");
    EXPECT_EQ(hex(link::encode(sample_member_state())), hex(bytes));
    const MemberState wanted = sample_member_state();
    const MemberState read = link::decode_member_state(bytes);
    EXPECT_EQ(hex(link::encode(read)), hex(bytes));
    ASSERT_TRUE(read.map);
    EXPECT_EQ(read.map->epoch, wanted.map->epoch);
    EXPECT_EQ(read.map->brokers_per_volume, 2);
    EXPECT_EQ(read.map->cells, wanted.map->cells);
    EXPECT_EQ(read.map->spare_nodes, wanted.map->spare_nodes);
    EXPECT_EQ(read.map->pins, wanted.map->pins);
    EXPECT_EQ(read.highest_epoch, 47u);
    EXPECT_EQ(read.active_migrations, (std::set<std::uint64_t>{39, 40}));
    ASSERT_EQ(read.records.size(), 7u);
    const MemberStage stages[] = {MemberStage::Ready,  MemberStage::Adopted, MemberStage::Opened,
                                  MemberStage::Fenced, MemberStage::Drained, MemberStage::Released,
                                  MemberStage::Ended};
    for (unsigned n = 0; n < 7; ++n) {
        const MigrationRecord &record = read.records.at(VolumeId{100 + n});
        EXPECT_EQ(record.migration, (Epoch{40 + n, 0x99}));
        EXPECT_EQ(record.stage, stages[n]);
        EXPECT_EQ(record.source_cell, "a");
        EXPECT_EQ(record.target_cell, "b");
        EXPECT_EQ(record.arbiter, "b1");
        EXPECT_EQ(record.quota, sample_quota());
        EXPECT_EQ(record.last_progress, 123'456'789 + n);
        EXPECT_EQ(record.home_cell, "b");
        EXPECT_EQ(record.home_epoch, 30 + n);
    }
}

TEST(CellsCompatibility, ACoordinatorsStateFileIsRead) {
    const std::string bytes = fixture("coordinator.cells");
    EXPECT_EQ(hex(link::encode(sample_coordinator_state())), hex(bytes));
    const CoordinatorState wanted = sample_coordinator_state();
    const CoordinatorState read = link::decode_coordinator_state(bytes);
    EXPECT_EQ(hex(link::encode(read)), hex(bytes));
    EXPECT_EQ(read.map.epoch, wanted.map.epoch);
    EXPECT_EQ(read.map.cells, wanted.map.cells);
    EXPECT_EQ(read.map.pins, wanted.map.pins);
    EXPECT_EQ(read.epoch_counter, 48u);
    EXPECT_EQ(read.operator_pins, wanted.operator_pins);
    ASSERT_EQ(read.migrations.size(), 8u);
    const MigrationStage stages[] = {MigrationStage::Preparing, MigrationStage::Fencing,
                                     MigrationStage::Draining,  MigrationStage::Adopting,
                                     MigrationStage::Deciding,  MigrationStage::Opening,
                                     MigrationStage::Releasing, MigrationStage::Aborting};
    for (unsigned n = 0; n < 8; ++n) {
        const Migration &migration = read.migrations.at(VolumeId{200 + n});
        EXPECT_EQ(migration.epoch, (Epoch{40 + n, 0x99}));
        EXPECT_EQ(migration.stage, stages[n]);
        EXPECT_EQ(migration.source_cell, "a");
        EXPECT_EQ(migration.target_cell, "b");
        EXPECT_EQ(migration.arbiter, "b1");
        EXPECT_EQ(migration.by_operator, n % 2 == 0);
        EXPECT_EQ(migration.sources, (std::vector<std::string>{"a1", "a2"}));
        EXPECT_EQ(migration.targets, (std::vector<std::string>{"b1"}));
        EXPECT_EQ(migration.quota_by_source.at("a1"), sample_quota());
        EXPECT_EQ(migration.open_sent, n > 3);
        EXPECT_EQ(migration.abort_reason.empty(), n < 7);
    }
}

// Reads state files written by running processes, after an operator had moved the volume from cell a to cell
// b, where it is pinned.
TEST(CellsCompatibility, FilesOfARunningInstallationAreRead) {
    const VolumeId volume{0x3b4d60021};
    const CoordinatorState coordinator = link::decode_coordinator_state(fixture("run/keeper.cells"));
    ASSERT_EQ(coordinator.map.cells.size(), 2u);
    EXPECT_EQ(coordinator.map.home_cell(volume)->name, "b");
    EXPECT_TRUE(coordinator.operator_pins.contains(volume));
    EXPECT_TRUE(coordinator.migrations.empty());
    CellCoordinator restored(coordinator.map, 1, {});
    restored.restore(coordinator);
    EXPECT_EQ(restored.map().home_cell(volume)->name, "b");
    for (const char *name : {"n-a", "n-b"}) {
        const MemberState member = link::decode_member_state(fixture(fmt::format("run/{}.cells", name)));
        ASSERT_TRUE(member.map) << name;
        EXPECT_EQ(member.map->epoch, coordinator.map.epoch) << name;
        EXPECT_EQ(member.map->home_cell(volume)->name, "b") << name;
        EXPECT_EQ(member.map->cell_of_broker(name)->name, name == std::string("n-a") ? "a" : "b");
    }
}
