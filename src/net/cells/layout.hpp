/// \file
/// The `cells` part of the operators' file: the installation's cells, brokers and nodes, and where its
/// coordinator is. One file serves the coordinator and all brokers.
#pragma once

#include "cells/cell_coordinator.hpp"
#include "config/decode.hpp"

#include <string>

namespace marblewood::net::cells {

struct Layout {
    marblewood::cells::CellMap map;
    std::string coordinator_link;     ///< Address for messages from brokers.
    std::string coordinator_control;  ///< Address for operators.
    std::string state_directory;      ///< Empty: no state outlives its process.
    bool forwarding_enabled = true;   ///< Forward requests at the wrong broker; otherwise reject them.
    int max_forwarded_per_cell = 256; ///< Requests that are out at a time for each cell.
    int max_waiting = 1024;           ///< Requests that wait for migrations.
    marblewood::cells::CellCoordinator::Timing coordinator_timing;
};

/// \throws config::Error naming the field.
Layout read_layout(const Json::Value &cells);

} // namespace marblewood::net::cells
