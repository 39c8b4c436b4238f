/// \file
/// The cell map: the brokers and nodes of each cell, and the assignment of volumes to cells. Performs no I/O
/// and reads no clock. Epochs, fencing and migrations are explained in docs/design/cells.md.
#pragma once

#include "marblewood/scheduler.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::cells {

/// Identifies a cell map or a migration. A coordinator assigns each number once. `origin` is random for each
/// start of a coordinator, so that equal numbers from two starts are never confused. Epochs are ordered by
/// `number` alone.
struct Epoch {
    std::uint64_t number = 0;
    std::uint64_t origin = 0;
    bool operator==(const Epoch &) const = default;
};

struct Broker {
    std::string name;
    std::string client_address; ///< Accepts requests from clients and requests forwarded by other brokers.
    std::string link_address;   ///< Accepts messages from other brokers and from the coordinator.
    bool operator==(const Broker &) const = default;
};

/// A failure domain: a set of brokers and nodes that serves the volumes assigned to it.
struct Cell {
    std::string name;
    double capacity = 0; ///< Units a second that all its nodes together can serve.
    std::vector<Broker> brokers;
    std::set<std::string> nodes; ///< Node ids as listed by discovery.
    bool frozen = false;         ///< No volume may migrate into or out of the cell.
    bool evacuated = false;      ///< The hash assigns no volumes to the cell.
    bool operator==(const Cell &) const = default;

    /// Returns null if no broker of this cell has that name.
    const Broker *broker(std::string_view broker_name) const;
};

/// The assignment of volumes to cells: by weighted rendezvous hashing, unless a pin overrides it. Pointers
/// returned by the member functions are valid until the map changes.
struct CellMap {
    Epoch epoch;
    int brokers_per_volume = 2; ///< Number of brokers of its cell that serve a volume.
    std::vector<Cell> cells;
    std::set<std::string> spare_nodes;    ///< Nodes that belong to no cell.
    std::map<VolumeId, std::string> pins; ///< Cell name by volume; overrides the hash.

    /// These lookups return null if there is no such cell or broker.
    const Cell *cell(std::string_view name) const;
    const Cell *cell_of_broker(std::string_view name) const;
    const Broker *broker(std::string_view name) const;

    /// The cell that serves the volume, by pin or hash; null if there is none.
    const Cell *home_cell(VolumeId volume) const;
    /// The cell that the hash alone chooses among the cells that are not evacuated; null if there is none.
    const Cell *hashed_cell(VolumeId volume) const;
    /// The brokers that serve the volume when it is in `cell`, at most `brokers_per_volume`. The first is the
    /// arbiter of the volume's migrations into the cell.
    std::vector<const Broker *> brokers_of(VolumeId volume, const Cell &cell) const;
    /// Whether this broker serves the volume when the volume is in `cell`.
    bool serves(VolumeId volume, const Cell &cell, std::string_view broker) const;
};

/// \throws std::invalid_argument with the fault: no cell, a cell without a broker, a missing or duplicate
/// name or node, a capacity that is not positive and finite, a pin to an unknown cell, or fewer than one
/// broker per volume.
void validate(const CellMap &map);

/// All cells, evacuated ones included, in the hash's order of preference for this volume.
std::vector<const Cell *> cells_by_preference(const CellMap &map, VolumeId volume);

} // namespace marblewood::cells
