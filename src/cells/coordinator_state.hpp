/// \file
/// The cell coordinator's persistent state.
#pragma once

#include "cells/messages.hpp"

namespace marblewood::cells {

/// The current stage of a migration. The numeric values are part of the state file's format. A migration can
/// be aborted up to and including Deciding.
enum class MigrationStage : std::uint8_t {
    Preparing, ///< Targets check whether they can accept the volume.
    Fencing,   ///< Sources stop accepting new requests for the volume.
    Draining,  ///< Sources finish open requests.
    Adopting,  ///< Targets record the transferred quota.
    Deciding,  ///< The arbiter opens the volume, which commits the migration.
    Opening,   ///< The other targets open the volume.
    Releasing, ///< Sources release the volume.
    Aborting   ///< Sources resume serving the volume.
};

struct Migration {
    Epoch epoch;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;      ///< Target broker whose record decides whether the migration took effect.
    bool by_operator = false; ///< Whether an operator started it, rather than a rule.
    MigrationStage stage = MigrationStage::Preparing;
    Micros stage_since = 0;
    Micros last_sent = 0; ///< When the current step was last sent.
    std::vector<std::string> sources;
    std::vector<std::string> targets;
    std::set<std::string> acknowledged; ///< Brokers that have acknowledged the current stage.
    std::map<std::string, TransferredQuota> quota_by_source;
    /// Whether Open was sent to the arbiter. If so, the sources may resume after an abort only when the
    /// arbiter has confirmed that it has not opened the volume.
    bool open_sent = false;
    std::string abort_reason; ///< Set in stage Aborting.
};

struct CoordinatorState {
    CellMap map;
    std::uint64_t epoch_counter = 0;
    std::set<VolumeId> operator_pins; ///< Volumes whose pins an operator has set.
    std::map<VolumeId, Migration> migrations;
};

} // namespace marblewood::cells
