/// \file
/// Messages between the cell coordinator and the cell members (brokers). Messages may be lost, duplicated,
/// reordered or delayed; receivers handle them idempotently. net/link/codec.hpp encodes them.
#pragma once

#include "cells/cell_map.hpp"

#include <variant>

namespace marblewood::cells {

/// Name of the coordinator in messages: empty, as no broker's name is.
inline const std::string kCoordinator;

/// An idempotency key whose deduplication window is still open.
struct TransferredKey {
    std::uint64_t hash = 0;
    Micros expires_at = 0; ///< Unix time.
    std::string broker;    ///< The broker that serves repeats of this key.
    bool operator==(const TransferredKey &) const = default;
};

/// The quota of a volume that source brokers give up and target brokers take over. The coordinator adds up
/// the units of all sources and divides them equally among the targets.
struct TransferredQuota {
    double limit_units = 0;   ///< Remaining units of the plan's limit.
    double reserve_units = 0; ///< Remaining units of the plan's reserve.
    std::vector<TransferredKey> keys;
    bool operator==(const TransferredQuota &) const = default;
};

/// The numeric values are part of the wire format.
enum class StepKind : std::uint8_t { Prepare, Fence, Adopt, Open, Release, Abort };

/// Coordinator to member: a request to carry out one step of a migration. It is sent again until the member
/// replies.
struct MigrationStep {
    StepKind kind = StepKind::Prepare;
    VolumeId volume{};
    Epoch migration;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;    ///< Target broker whose record decides whether the migration took effect.
    TransferredQuota quota; ///< Adopt: the receiving broker's share.
    bool operator==(const MigrationStep &) const = default;
};

/// The numeric values are part of the wire format.
enum class StepStatus : std::uint8_t {
    Ready,     ///< Target: accepts the volume.
    Declined,  ///< Target: cannot accept the volume.
    Fenced,    ///< Source: accepts no new requests, but some are still open.
    Drained,   ///< Source: no request is open, and the quota has been given up.
    Adopted,   ///< Target: has recorded its share of the quota.
    Opened,    ///< Target: serves the volume.
    Released,  ///< Source: has released the volume.
    Aborted,   ///< The migration does not take effect at this broker.
    Superseded ///< The step belongs to a migration that has ended at this broker or is older than its record.
};

/// Member to coordinator: the result of a step.
struct StepReply {
    StepStatus status = StepStatus::Superseded;
    VolumeId volume{};
    Epoch migration;
    TransferredQuota quota; ///< Drained: the quota given up.
    std::string reason;     ///< Declined: why the target cannot accept the volume.
    bool operator==(const StepReply &) const = default;
};

/// A volume's load as one broker sees it.
struct VolumeLoad {
    VolumeId volume{};
    double reserve_rate = 0;    ///< Reserve of the volume's plan, in units a second.
    double rate = 0;            ///< Units a second, served through this broker.
    double priority_weight = 0; ///< Per unit.
    bool operator==(const VolumeLoad &) const = default;
};

/// Member to coordinator: sent at the first tick, once per heartbeat interval, and to request a snapshot when
/// a delta cannot be applied. Member to member: a request for a newer map.
struct Heartbeat {
    Epoch map_epoch; ///< Epoch of the map that the sender holds.
    /// Highest epoch number that the sender has seen in maps and migrations.
    std::uint64_t highest_epoch = 0;
    std::vector<VolumeLoad> volumes;    ///< The busiest of its recently used volumes; limited in number.
    std::uint64_t unlisted_volumes = 0; ///< Number of volumes omitted from `volumes`.
    std::uint32_t ready_nodes = 0;      ///< Nodes of its cell that accept requests.
};

/// A migration that had not ended when the map was published.
struct ActiveMigration {
    VolumeId volume{};
    Epoch migration;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;
    bool operator==(const ActiveMigration &) const = default;
};

/// The complete map and the active migrations, from which a restarted broker learns which volumes are fenced.
struct MapSnapshot {
    CellMap map;
    std::vector<ActiveMigration> migrations;
};

struct PinChange {
    VolumeId volume{};
    std::string cell; ///< Empty: the pin is removed.
};

/// A map change that affects only pins, relative to the map with epoch `base`. A broker that holds another
/// map replies with a heartbeat and gets a snapshot.
struct MapDelta {
    Epoch base;
    Epoch epoch;
    std::vector<PinChange> pins;
    std::vector<ActiveMigration> migrations;
};

/// Member to coordinator: the map just received is not newer than the map already held. The coordinator
/// continues with epochs above that of the held map.
struct StaleMap {
    Epoch map_epoch;
    std::uint64_t highest_epoch = 0;
    CellMap held_map;
};

/// Fenced source to arbiter: asks for the outcome of the migration, when the source has received no message
/// about it for a while.
struct OutcomeQuery {
    VolumeId volume{};
    Epoch migration;
    std::string source_cell;
    std::string target_cell;
};

/// The arbiter's reply. The decision is durable before the reply is sent.
struct OutcomeReply {
    VolumeId volume{};
    Epoch migration;
    bool opened = false; ///< If false, the migration will never open.
};

using Message = std::variant<MigrationStep, StepReply, Heartbeat, MapSnapshot, MapDelta, StaleMap,
                             OutcomeQuery, OutcomeReply>;

/// Action of a state machine: send this message. Delivery is not guaranteed.
struct OutgoingMessage {
    std::string to; ///< A broker's name, or kCoordinator.
    Message message;
};

/// Action of a state machine: save its state. The state must be durable before any message that follows in
/// the list is sent.
struct SaveState {};

} // namespace marblewood::cells
