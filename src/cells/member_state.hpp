/// \file
/// A cell member's persistent state.
#pragma once

#include "cells/messages.hpp"

#include <optional>

namespace marblewood::cells {

/// A broker's stage in a migration. The numeric values are part of the state file's format.
enum class MemberStage : std::uint8_t {
    Ready,    ///< Target: has accepted the volume.
    Adopted,  ///< Target: has recorded its share of the quota.
    Opened,   ///< Target: serves the volume.
    Fenced,   ///< Source: accepts no new requests for the volume.
    Drained,  ///< Source: no request is open, and the quota has been given up.
    Released, ///< Source: the volume has migrated to the target cell.
    Ended     ///< The migration was aborted, or the arbiter recorded that it will never open the volume.
};

/// A broker's record of the newest migration of a volume that it took part in.
struct MigrationRecord {
    Epoch migration;
    MemberStage stage = MemberStage::Ended;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;
    TransferredQuota quota; ///< Drained: the quota given up. Adopted: the quota to be taken over.
    /// Fenced or Drained: time of the last Fence step, outcome query or outcome reply.
    Micros last_progress = 0;
    /// The volume's cell after the last migration that took effect at this broker. Overrides the map as long
    /// as the map does not include that migration.
    std::string home_cell = {};
    std::uint64_t home_epoch = 0;
};

struct MemberState {
    std::optional<CellMap> map;
    std::uint64_t highest_epoch = 0; ///< Highest epoch number seen in maps and migrations.
    std::map<VolumeId, MigrationRecord> records;
    /// Epoch numbers of the migrations that were active when the map was published.
    std::set<std::uint64_t> active_migrations;
};

} // namespace marblewood::cells
