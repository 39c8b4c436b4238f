/// \file
/// The part of a cell member's state that must outlive its process.
#pragma once

#include "cells/messages.hpp"

#include <optional>

namespace marblewood::cells {

/// How far a broker has come in a migration. Numbers are part of the state file's format.
enum class MemberStage : std::uint8_t {
    Ready,    ///< Target: has accepted the volume.
    Adopted,  ///< Target: holds its part of the quota.
    Opened,   ///< Target: serves the volume.
    Fenced,   ///< Source: takes nothing new.
    Drained,  ///< Source: nothing is open, the quota is given up.
    Released, ///< Source: the volume has left.
    Ended     ///< Aborted, or the arbiter said that it never opens.
};

/// A broker's record of the newest migration of a volume that it has acted on.
struct MigrationRecord {
    Epoch migration;
    MemberStage stage = MemberStage::Ended;
    std::string source_cell;
    std::string target_cell;
    std::string arbiter;
    TransferredQuota quota;   ///< Drained: what was given up; Adopted: what is to be taken over.
    Micros last_progress = 0; ///< Fenced or Drained: when the coordinator or the arbiter was last heard.
    /// Where the volume lives by a migration that ended here; valid as long as the map is older than that.
    std::string home_cell = {};
    std::uint64_t home_epoch = 0;
};

struct MemberState {
    std::optional<CellMap> map;
    std::uint64_t highest_epoch = 0; ///< Number seen, of maps and migrations.
    std::map<VolumeId, MigrationRecord> records;
    std::set<std::uint64_t> active_migrations; ///< Under way when the map was published.
};

} // namespace marblewood::cells
