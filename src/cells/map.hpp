// The map of cells: which brokers and nodes belong together, and in which cell a volume lives. Free of I/O
// and of the clock. Epochs, fencing and moves: docs/design/cells.md.
#pragma once

#include "marblewood/scheduler.hpp"

#include <compare>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::cells {

// The number of a map or a move. A keeper hands out each number once; `origin` tells one start of a keeper
// from another, so that two of the same number are never taken for one another. Ordered by number alone where
// it matters.
struct Epoch {
    std::uint64_t number = 0, origin = 0;
    bool operator==(const Epoch &) const = default;
};

struct Broker {
    std::string name;
    std::string clients; // address for clients, and for requests that other brokers forward
    std::string link;    // address for messages between brokers and the keeper
    bool operator==(const Broker &) const = default;
};

struct Cell {
    std::string name;
    double capacity = 0; // units a second that its nodes serve together
    std::vector<Broker> brokers;
    std::set<std::string> nodes; // ids as discovery lists them
    bool frozen = false;         // no volume moves in or out
    bool evacuated = false;      // takes no volumes by hash
    bool operator==(const Cell &) const = default;
    const Broker *broker(std::string_view name) const;
};

struct Map {
    Epoch epoch;
    int spread = 2; // brokers of its cell that a volume uses
    std::vector<Cell> cells;
    std::set<std::string> spare;          // nodes of no cell
    std::map<VolumeId, std::string> pins; // volume -> cell, on top of the hash

    const Cell *cell(std::string_view name) const;
    const Cell *cell_of_broker(std::string_view name) const;
    const Broker *broker(std::string_view name) const;

    // The cell where a volume lives, by pin or hash; null where there is none.
    const Cell *home(VolumeId volume) const;
    // Its cell by the hash alone; of `cells` those that are evacuated get none.
    const Cell *hashed(VolumeId volume) const;
    // The brokers of this cell that it uses, `spread` at most. The first is the teller of moves into the
    // cell.
    std::vector<const Broker *> brokers_of(VolumeId volume, const Cell &in) const;
    bool uses(VolumeId volume, const Cell &in, std::string_view broker) const;
};

// Throws std::invalid_argument naming what is wrong: no cell, a name or a node that stands twice, no
// capacity, a pin to no cell, a spread under 1.
void check(const Map &map);

// The cells in the order in which a volume would take them, by weighted rendezvous hashing on XXH3.
std::vector<const Cell *> preference(const Map &map, VolumeId volume);

} // namespace marblewood::cells
