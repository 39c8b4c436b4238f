/// \file
/// Messages between the cell coordinator and the cell members (brokers). Any of them may be lost, duplicated,
/// reordered or late; receivers are idempotent. Encoding: net/link/codec.hpp.
#pragma once

#include "cells/cell_map.hpp"

#include <variant>

namespace marblewood::cells {

/// Name by which messages address the coordinator; brokers have names that are not empty.
inline const std::string kCoordinator;

/// An idempotency key whose deduplication window is still open.
struct TransferredKey {
    std::uint64_t hash = 0;
    Micros expires_at = 0; ///< Unix time, us.
    std::string broker;    ///< Serves the repeats of this key.
    bool operator==(const TransferredKey &) const = default;
};

/// What source brokers give up of a volume and its target brokers take over. Units are the sum over all
/// sources; each target gets an even part.
struct TransferredQuota {
    double limit_units = 0;   ///< Left in the plan's limit.
    double reserve_units = 0; ///< Left in the plan's reserve.
    std::vector<TransferredKey> keys;
    bool operator==(const TransferredQuota &) const = default;
};

/// Numbers are part of the wire format.
enum class StepKind : std::uint8_t { Prepare, Fence, Adopt, Open, Release, Abort };

/// Coordinator to member: carry out one step of a migration. Sent again until it is answered.
struct MigrationStep {
    StepKind kind = StepKind::Prepare;
    VolumeId volume{};
    Epoch migration;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;    ///< Target broker whose record decides whether the migration happened.
    TransferredQuota quota; ///< Adopt: this broker's part.
    bool operator==(const MigrationStep &) const = default;
};

/// Numbers are part of the wire format.
enum class StepStatus : std::uint8_t {
    Ready,     ///< Target: accepts the volume.
    Declined,  ///< Target: cannot accept it.
    Fenced,    ///< Source: takes nothing new, requests are still open.
    Drained,   ///< Source: nothing is open, the quota is given up.
    Adopted,   ///< Target: holds its part of the quota.
    Opened,    ///< Target: serves the volume.
    Released,  ///< Source: has forgotten the volume.
    Aborted,   ///< The migration never happens here.
    Superseded ///< The step belongs to a migration that is over here.
};

/// Member to coordinator: the result of a step.
struct StepReply {
    StepStatus status = StepStatus::Superseded;
    VolumeId volume{};
    Epoch migration;
    TransferredQuota quota; ///< Drained.
    std::string reason;     ///< Declined.
    bool operator==(const StepReply &) const = default;
};

/// A volume's load as one broker sees it.
struct VolumeLoad {
    VolumeId volume{};
    double reserve_rate = 0;    ///< Units a second, by its plan.
    double rate = 0;            ///< Units a second, served through this broker.
    double priority_weight = 0; ///< Of one unit.
    bool operator==(const VolumeLoad &) const = default;
};

/// Member to coordinator: at its start, at each reconnection, and once per heartbeat interval. Member to
/// member: a request for a newer map.
struct Heartbeat {
    Epoch map_epoch;                 ///< Of the map that it holds.
    std::uint64_t highest_epoch = 0; ///< Number it has seen, of maps and migrations.
    std::vector<VolumeLoad> volumes; ///< The busiest that it served lately; bounded.
    std::uint64_t unlisted_volumes = 0;
    std::uint32_t ready_nodes = 0; ///< Nodes of its cell that take requests.
};

struct ActiveMigration {
    VolumeId volume{};
    Epoch migration;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;
    bool operator==(const ActiveMigration &) const = default;
};

/// The whole map, with the migrations under way, so that a broker that restarts knows what is fenced.
struct MapSnapshot {
    CellMap map;
    std::vector<ActiveMigration> migrations;
};

struct PinChange {
    VolumeId volume{};
    std::string cell; ///< Empty: the pin is removed.
};

/// Difference to the previous map where only pins have changed, for brokers that hold that map. Others answer
/// with a heartbeat and get a snapshot.
struct MapDelta {
    Epoch base;
    Epoch epoch;
    std::vector<PinChange> pins;
    std::vector<ActiveMigration> migrations;
};

/// Member to coordinator: the snapshot just received is not newer than the map already held. The coordinator
/// continues above its epoch.
struct StaleMap {
    Epoch map_epoch;
    std::uint64_t highest_epoch = 0;
    CellMap held_map;
};

/// Fenced source, which hears nothing, to the arbiter: how did the migration end?
struct OutcomeQuery {
    VolumeId volume{};
    Epoch migration;
    std::string source_cell;
    std::string target_cell;
};

/// The arbiter's answer; durable before it is sent.
struct OutcomeReply {
    VolumeId volume{};
    Epoch migration;
    bool opened = false; ///< Otherwise it never will be.
};

using Message = std::variant<MigrationStep, StepReply, Heartbeat, MapSnapshot, MapDelta, StaleMap,
                             OutcomeQuery, OutcomeReply>;

/// Action of a state machine: send this message. It may be lost.
struct OutgoingMessage {
    std::string to; ///< A broker's name, or kCoordinator.
    Message message;
};

/// Action of a state machine: its state must be durable before any message behind this action goes out.
struct SaveState {};

} // namespace marblewood::cells
