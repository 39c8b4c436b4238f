/// \file
/// The part of the cell coordinator's state that must outlive its process.
#pragma once

#include "cells/messages.hpp"

namespace marblewood::cells {

/// How far a migration has come. Numbers are part of the state file's format. Up to Deciding a migration may
/// still be aborted.
enum class MigrationStage : std::uint8_t {
    Preparing, ///< Targets are asked whether they accept the volume.
    Fencing,   ///< Sources stop taking new requests.
    Draining,  ///< Sources finish what is open.
    Adopting,  ///< Targets take over the quota.
    Deciding,  ///< The arbiter is asked to open, which decides the migration.
    Opening,   ///< The other targets open.
    Releasing, ///< Sources forget the volume.
    Aborting   ///< Sources take the volume back.
};

struct Migration {
    Epoch epoch;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;      ///< Target broker whose record decides whether the migration happened.
    bool by_operator = false; ///< Otherwise by an evacuation or another rule.
    MigrationStage stage = MigrationStage::Preparing;
    Micros stage_since = 0;
    Micros last_sent = 0; ///< When the step was sent last.
    std::vector<std::string> sources;
    std::vector<std::string> targets;
    std::set<std::string> acknowledged; ///< Brokers that have answered this stage.
    std::map<std::string, TransferredQuota> quota_by_source;
    bool open_sent = false;   ///< The arbiter's record decides, and must be heard before an abort.
    std::string abort_reason; ///< Aborting.
};

struct CoordinatorState {
    CellMap map;
    std::uint64_t epoch_counter = 0;
    std::set<VolumeId> operator_pins; ///< Pins set by hand.
    std::map<VolumeId, Migration> migrations;
};

} // namespace marblewood::cells
