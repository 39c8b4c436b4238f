/// \file
/// The `cells` section of the operators' file: the installation's cells, brokers and nodes, and the addresses
/// of its coordinator. The coordinator and all brokers read the same file.
#pragma once

#include "cells/cell_coordinator.hpp"
#include "config/decode.hpp"

#include <string>

namespace marblewood::net::cells {

struct Layout {
    marblewood::cells::CellMap map;
    std::string coordinator_link;    ///< Address that accepts messages from brokers.
    std::string coordinator_control; ///< Address that accepts operators' calls.
    std::string state_directory;     ///< If empty, no state is persisted.
    bool forwarding_enabled = true; ///< Forward requests for volumes of other brokers; otherwise reject them.
    int max_forwarded_per_cell = 256; ///< Forwarded requests in progress to one cell.
    int max_waiting = 1024;           ///< Requests waiting for migrations.
    marblewood::cells::CellCoordinator::Timing coordinator_timing;
};

/// \throws config::Error with the name of the faulty field.
Layout read_layout(const Json::Value &cells);

} // namespace marblewood::net::cells
