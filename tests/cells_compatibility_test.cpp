/// \file
/// Bytes that earlier versions wrote: state files of coordinators and members, and every message of the link.
/// The fixtures were written by commit 98b3caf; a test that fails here means that an upgrade would lose state
/// or that two versions could not talk to each other.
#include "cells_samples.hpp"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

using namespace test;

namespace {

const std::string kFolder = MARBLEWOOD_FIXTURES_FOLDER "/cells/";

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

// Encoding fixes the bytes of each field; encoding what was decoded gives the same bytes again, so decoding
// finds each field where encoding put it.
TEST(CellsCompatibility, EveryMessageKeepsItsBytes) {
    std::istringstream lines(fixture("messages.hex"));
    std::map<std::string, std::string> golden;
    for (std::string name, bytes; lines >> name >> bytes;)
        golden[name] = bytes;
    const auto samples = sample_frames();
    EXPECT_EQ(golden.size(), samples.size());
    for (const auto &[name, frame] : samples) {
        EXPECT_EQ(hex(link::encode(frame)), golden[name]) << name;
        const link::Frame read = link::decode(from_hex(golden[name]));
        EXPECT_EQ(read.from, frame.from) << name;
        EXPECT_EQ(read.body.index(), frame.body.index()) << name;
        EXPECT_EQ(hex(link::encode(read)), golden[name]) << name;
    }
}

TEST(CellsCompatibility, AMembersStateFileIsRead) {
    const std::string bytes = fixture("member.cells");
    EXPECT_EQ(hex(link::encode(sample_member_state())), hex(bytes));
    const Resident::State wanted = sample_member_state();
    const Resident::State read = link::decode_resident(bytes);
    EXPECT_EQ(hex(link::encode(read)), hex(bytes));
    ASSERT_TRUE(read.map);
    EXPECT_EQ(read.map->epoch, wanted.map->epoch);
    EXPECT_EQ(read.map->spread, 2);
    EXPECT_EQ(read.map->cells, wanted.map->cells);
    EXPECT_EQ(read.map->spare, wanted.map->spare);
    EXPECT_EQ(read.map->pins, wanted.map->pins);
    EXPECT_EQ(read.greatest, 47u);
    EXPECT_EQ(read.moving, (std::set<std::uint64_t>{39, 40}));
    ASSERT_EQ(read.records.size(), 7u);
    const Resident::Stage stages[] = {
        Resident::Stage::Ready,   Resident::Stage::Adopted, Resident::Stage::Opened, Resident::Stage::Fenced,
        Resident::Stage::Drained, Resident::Stage::Gone,    Resident::Stage::Over};
    for (unsigned n = 0; n < 7; ++n) {
        const Resident::Record &record = read.records.at(VolumeId{100 + n});
        EXPECT_EQ(record.move, (Epoch{40 + n, 0x99}));
        EXPECT_EQ(record.stage, stages[n]);
        EXPECT_EQ(record.from, "a");
        EXPECT_EQ(record.to, "b");
        EXPECT_EQ(record.teller, "b1");
        EXPECT_EQ(record.left, sample_left());
        EXPECT_EQ(record.since, 123'456'789 + n);
        EXPECT_EQ(record.home, "b");
        EXPECT_EQ(record.home_number, 30 + n);
    }
}

TEST(CellsCompatibility, ACoordinatorsStateFileIsRead) {
    const std::string bytes = fixture("coordinator.cells");
    EXPECT_EQ(hex(link::encode(sample_coordinator_state())), hex(bytes));
    const Keeper::State wanted = sample_coordinator_state();
    const Keeper::State read = link::decode_keeper(bytes);
    EXPECT_EQ(hex(link::encode(read)), hex(bytes));
    EXPECT_EQ(read.map.epoch, wanted.map.epoch);
    EXPECT_EQ(read.map.cells, wanted.map.cells);
    EXPECT_EQ(read.map.pins, wanted.map.pins);
    EXPECT_EQ(read.counter, 48u);
    EXPECT_EQ(read.by_operator, wanted.by_operator);
    ASSERT_EQ(read.moves.size(), 8u);
    const Keeper::Stage stages[] = {
        Keeper::Stage::Preparing, Keeper::Stage::Fencing, Keeper::Stage::Draining,   Keeper::Stage::Adopting,
        Keeper::Stage::Deciding,  Keeper::Stage::Opening, Keeper::Stage::Forgetting, Keeper::Stage::Aborting};
    for (unsigned n = 0; n < 8; ++n) {
        const Keeper::Move &move = read.moves.at(VolumeId{200 + n});
        EXPECT_EQ(move.epoch, (Epoch{40 + n, 0x99}));
        EXPECT_EQ(move.stage, stages[n]);
        EXPECT_EQ(move.from, "a");
        EXPECT_EQ(move.to, "b");
        EXPECT_EQ(move.teller, "b1");
        EXPECT_EQ(move.by_operator, n % 2 == 0);
        EXPECT_EQ(move.sources, (std::vector<std::string>{"a1", "a2"}));
        EXPECT_EQ(move.targets, (std::vector<std::string>{"b1"}));
        EXPECT_EQ(move.left.at("a1"), sample_left());
        EXPECT_EQ(move.open_sent, n > 3);
        EXPECT_EQ(move.why.empty(), n < 7);
    }
}

// Files of processes that ran: the volume was moved by hand from cell a to cell b, and is pinned there.
TEST(CellsCompatibility, FilesOfARunningInstallationAreRead) {
    const VolumeId volume{0x3b4d60021};
    const Keeper::State coordinator = link::decode_keeper(fixture("run/keeper.cells"));
    ASSERT_EQ(coordinator.map.cells.size(), 2u);
    EXPECT_EQ(coordinator.map.home(volume)->name, "b");
    EXPECT_TRUE(coordinator.by_operator.contains(volume));
    EXPECT_TRUE(coordinator.moves.empty());
    Keeper restored(coordinator.map, 1, {});
    restored.restore(coordinator);
    EXPECT_EQ(restored.map().home(volume)->name, "b");
    for (const char *name : {"n-a", "n-b"}) {
        const Resident::State member = link::decode_resident(fixture(fmt::format("run/{}.cells", name)));
        ASSERT_TRUE(member.map) << name;
        EXPECT_EQ(member.map->epoch, coordinator.map.epoch) << name;
        EXPECT_EQ(member.map->home(volume)->name, "b") << name;
        EXPECT_EQ(member.map->cell_of_broker(name)->name, name == std::string("n-a") ? "a" : "b");
    }
}
