/// \file
/// Samples of every message and state that net/link encodes, with a distinct value in every field. The files
/// under tests/fixtures/cells/ were written from them.
#pragma once

#include "net/link/codec.hpp"

#include <utility>

namespace test {

namespace link = marblewood::net::link;
using marblewood::VolumeId;
using namespace marblewood::cells;

inline CellMap sample_map() {
    CellMap map;
    map.epoch = {41, 0x1122334455667788};
    map.brokers_per_volume = 2;
    map.cells.push_back(
        {"a",
         1000.5,
         {{"a1", "127.0.0.1:6001", "127.0.0.1:7001"}, {"a2", "127.0.0.1:6002", "127.0.0.1:7002"}},
         {"node-1", "node-2"},
         true,
         false});
    map.cells.push_back({"b", 2000, {{"b1", "127.0.0.1:6003", "127.0.0.1:7003"}}, {"node-3"}, false, true});
    map.spare_nodes = {"node-9"};
    map.pins = {{VolumeId{0x3b4d60021}, "a"}, {VolumeId{0xffeeddccbbaa9988}, "b"}, {VolumeId{7}, "a"}};
    return map;
}
inline TransferredQuota sample_quota() {
    return {12.25, 3.5, {{0xabcdef, 1'700'000'000'000'000, "a1"}, {0x1234, 1'700'000'000'500'000, "a2"}}};
}
inline std::vector<ActiveMigration> sample_active_migrations() {
    return {{VolumeId{0x3b4d60021}, {40, 0x99}, "a", "b", "b1"}, {VolumeId{9}, {39, 0x98}, "b", "a", "a2"}};
}

/// Samples of every message, with the names and in the order of the lines in messages.hex.
inline std::vector<std::pair<std::string, link::Frame>> sample_frames() {
    const VolumeId volume{0x3b4d60021};
    const Epoch migration{40, 0x99};
    std::vector<std::pair<std::string, link::Frame>> all;
    for (int kind = 0; kind <= 5; ++kind)
        all.emplace_back("step-" + std::to_string(kind),
                         link::Frame{"", Message(MigrationStep{static_cast<StepKind>(kind), volume, migration,
                                                               "a", "b", "b1", sample_quota()})});
    for (int status = 0; status <= 8; ++status)
        all.emplace_back(
            "step-reply-" + std::to_string(status),
            link::Frame{"a1", Message(StepReply{static_cast<StepStatus>(status), volume, migration,
                                                sample_quota(), "not a broker of the cell"})});
    all.emplace_back(
        "heartbeat",
        link::Frame{"a1", Message(Heartbeat{
                              {41, 0x77}, 43, {{volume, 200, 110.5, 1.25}, {VolumeId{8}, 1, 2, 3}}, 17, 4})});
    all.emplace_back("map-snapshot",
                     link::Frame{"", Message(MapSnapshot{sample_map(), sample_active_migrations()})});
    all.emplace_back(
        "map-delta",
        link::Frame{"", Message(MapDelta{{41, 0x77},
                                         {42, 0x78},
                                         {{VolumeId{1}, "a"}, {VolumeId{2}, ""}, {VolumeId{3}, "a"}},
                                         sample_active_migrations()})});
    all.emplace_back("stale-map", link::Frame{"b1", Message(StaleMap{{41, 0x77}, 43, sample_map()})});
    all.emplace_back("outcome-query", link::Frame{"a2", Message(OutcomeQuery{volume, migration, "a", "b"})});
    all.emplace_back("outcome-reply-opened",
                     link::Frame{"b1", Message(OutcomeReply{volume, migration, true})});
    all.emplace_back("outcome-reply-never",
                     link::Frame{"b1", Message(OutcomeReply{volume, migration, false})});
    all.emplace_back("operator-call",
                     link::Frame{"a1", link::OperatorCall{12, "move", "00000003b4d60021 b"}});
    all.emplace_back("operator-reply", link::Frame{"", link::OperatorReply{12, true, "move 40 has begun\n"}});
    return all;
}

/// A broker's state with a record in each of the seven stages.
inline MemberState sample_member_state() {
    MemberState state;
    state.map = sample_map();
    state.highest_epoch = 47;
    for (int stage = 0; stage <= 6; ++stage)
        state.records[VolumeId{100u + static_cast<unsigned>(stage)}] = {
            {40u + static_cast<unsigned>(stage), 0x99},
            static_cast<MemberStage>(stage),
            "a",
            "b",
            "b1",
            sample_quota(),
            123'456'789 + stage,
            "b",
            30u + static_cast<unsigned>(stage)};
    state.active_migrations = {39, 40};
    return state;
}

/// A coordinator's state with a migration in each of the eight stages.
inline CoordinatorState sample_coordinator_state() {
    CoordinatorState state;
    state.map = sample_map();
    state.epoch_counter = 48;
    state.operator_pins = {VolumeId{7}, VolumeId{0x3b4d60021}};
    for (int stage = 0; stage <= 7; ++stage) {
        Migration migration;
        migration.epoch = {40u + static_cast<unsigned>(stage), 0x99};
        migration.source_cell = "a";
        migration.target_cell = "b";
        migration.arbiter = "b1";
        migration.by_operator = stage % 2 == 0;
        migration.stage = static_cast<MigrationStage>(stage);
        migration.sources = {"a1", "a2"};
        migration.targets = {"b1"};
        migration.quota_by_source["a1"] = sample_quota();
        migration.open_sent = stage > 3;
        migration.abort_reason = stage == 7 ? "b1 declines: no node of the cell takes requests" : "";
        state.migrations[VolumeId{200u + static_cast<unsigned>(stage)}] = std::move(migration);
    }
    return state;
}

} // namespace test
