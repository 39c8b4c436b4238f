/// \file
/// Cell maps and volumes for tests.
#pragma once

#include "cells/cell_map.hpp"

#include <fmt/format.h>

namespace test {

using marblewood::VolumeId;
using namespace marblewood::cells;

/// Cells `cell-0`, `cell-1`, ... of capacity 1,000 with brokers `broker-CELL-BROKER` and four nodes each.
inline CellMap many_cells(int cells, int brokers, int spread = 2) {
    CellMap map;
    map.brokers_per_volume = spread;
    for (int c = 0; c < cells; ++c) {
        Cell cell{fmt::format("cell-{}", c), 1000, {}, {}, false, false};
        for (int b = 0; b < brokers; ++b)
            cell.brokers.push_back({fmt::format("broker-{}-{}", c, b), "127.0.0.1:6379", "127.0.0.1:7000"});
        for (int n = 0; n < 4; ++n)
            cell.nodes.insert(fmt::format("s-{:02}{:02}", c, n));
        map.cells.push_back(std::move(cell));
    }
    return map;
}
/// Returns a different volume for each `n`.
inline VolumeId nth_volume(std::uint64_t n) {
    return VolumeId{n * 0x9e3779b97f4a7c15};
}

} // namespace test
