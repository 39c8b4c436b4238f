/// \file
/// Texts for operators that several parts of the coordinator share.
#pragma once

#include "cells/coordinator_state.hpp"

#include <fmt/format.h>

namespace marblewood::cells {

inline constexpr const char *kNoQuorum =
    "not yet: a majority of the brokers has not been heard since the start";

/// Formats a volume as 16 hexadecimal digits, the form that operators use.
inline std::string format_volume(VolumeId volume) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(volume));
}

/// The name of the stage as shown to operators.
inline const char *stage_name(MigrationStage stage) {
    switch (stage) {
    case MigrationStage::Preparing:
        return "preparing";
    case MigrationStage::Fencing:
        return "fencing";
    case MigrationStage::Draining:
        return "draining";
    case MigrationStage::Adopting:
        return "adopting";
    case MigrationStage::Deciding:
        return "deciding";
    case MigrationStage::Opening:
        return "opening";
    case MigrationStage::Releasing:
        return "forgetting";
    case MigrationStage::Aborting:
        return "going back";
    }
    return "unknown";
}

} // namespace marblewood::cells
