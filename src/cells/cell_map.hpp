/// \file
/// The cell map: which brokers and nodes belong together, and in which cell each volume lives. Free of I/O
/// and of the clock. Epochs, fencing and migrations are explained in docs/design/cells.md.
#pragma once

#include "marblewood/scheduler.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::cells {

/// Number of a cell map or of a migration. A coordinator hands out each number once. `origin` is random for
/// each start of a coordinator, so that equal numbers of two starts are never taken for one another. Where
/// epochs are ordered, the number alone decides.
struct Epoch {
    std::uint64_t number = 0;
    std::uint64_t origin = 0;
    bool operator==(const Epoch &) const = default;
};

struct Broker {
    std::string name;
    std::string client_address; ///< For clients, and for requests that other brokers forward.
    std::string link_address;   ///< For messages between brokers and the coordinator.
    bool operator==(const Broker &) const = default;
};

/// A failure domain: a set of brokers and nodes that serves the volumes assigned to it.
struct Cell {
    std::string name;
    double capacity = 0; ///< Units a second that its nodes serve together.
    std::vector<Broker> brokers;
    std::set<std::string> nodes; ///< Ids as discovery lists them.
    bool frozen = false;         ///< No volume migrates in or out.
    bool evacuated = false;      ///< Gets no volumes by hash.
    bool operator==(const Cell &) const = default;

    /// Null if no broker of this cell has that name.
    const Broker *broker(std::string_view broker_name) const;
};

/// The assignment of volumes to cells: weighted rendezvous hashing, with pins on top. Pointers returned by
/// the member functions are valid until the map changes.
struct CellMap {
    Epoch epoch;
    int brokers_per_volume = 2; ///< Brokers of its cell that a volume uses.
    std::vector<Cell> cells;
    std::set<std::string> spare_nodes;    ///< Nodes that belong to no cell.
    std::map<VolumeId, std::string> pins; ///< Volume to cell name; overrides the hash.

    /// The lookups return null if there is no such cell or broker.
    const Cell *cell(std::string_view name) const;
    const Cell *cell_of_broker(std::string_view name) const;
    const Broker *broker(std::string_view name) const;

    /// The cell where a volume lives, by pin or hash; null if there is none.
    const Cell *home_cell(VolumeId volume) const;
    /// The cell that the hash alone chooses, evacuated cells left out; null if none is left.
    const Cell *hashed_cell(VolumeId volume) const;
    /// The brokers of `cell` that the volume uses, at most `brokers_per_volume`. The first is the arbiter of
    /// migrations into the cell.
    std::vector<const Broker *> brokers_of(VolumeId volume, const Cell &cell) const;
    /// Whether the volume uses this broker of `cell`.
    bool serves(VolumeId volume, const Cell &cell, std::string_view broker) const;
};

/// \throws std::invalid_argument naming what is wrong: no cell, a duplicate name or node, a capacity that is
/// not positive, a pin to an unknown cell, or fewer than one broker per volume.
void validate(const CellMap &map);

/// All cells in the order in which the hash prefers them for this volume.
std::vector<const Cell *> cells_by_preference(const CellMap &map, VolumeId volume);

} // namespace marblewood::cells
