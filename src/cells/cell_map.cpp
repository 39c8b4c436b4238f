#include "cells/cell_map.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <xxhash.h>

namespace marblewood::cells {
namespace {

constexpr int kDiscardedHashBits = 11;            // a double represents only 53 of the 64 bits exactly
constexpr double kHashRange = 9007199254740992.0; // 2^53

/// Weighted rendezvous hashing (the logarithmic method of Schindelhauer and Schomaker). The score is
/// -ln(u) / weight, where the hash determines u, uniform between 0 and 1. The candidate with the smallest
/// score is chosen; the probability of being chosen is proportional to the weight.
double rendezvous_score(VolumeId volume, std::string_view name, double weight) {
    if (!(weight > 0))
        return std::numeric_limits<double>::infinity();
    const auto hash = XXH3_64bits_withSeed(name.data(), name.size(), static_cast<XXH64_hash_t>(volume));
    const double uniform = (static_cast<double>(hash >> kDiscardedHashBits) + 0.5) / kHashRange;
    return -std::log(uniform) / weight;
}

template <typename T> struct Scored {
    double score = 0;
    const T *item = nullptr;
};

/// Returns the items in ascending order of score; items of equal score are ordered by name.
template <typename T> std::vector<const T *> by_score(std::vector<Scored<T>> scored) {
    std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
        return a.score != b.score ? a.score < b.score : a.item->name < b.item->name;
    });
    std::vector<const T *> ordered;
    ordered.reserve(scored.size());
    for (const auto &entry : scored)
        ordered.push_back(entry.item);
    return ordered;
}

[[noreturn]] void reject(const std::string &reason) {
    throw std::invalid_argument(reason);
}

/// Names and nodes of the cells checked so far, to find duplicates across cells.
struct SeenNames {
    std::set<std::string> cells;
    std::set<std::string> brokers;
    std::set<std::string> nodes;
};

/// Rejects a cell whose name is empty or already used by another cell, whose capacity is not a positive
/// finite number, that has no broker, or that has a broker or node whose name is empty or already used.
void validate_cell(const Cell &cell, SeenNames &seen) {
    if (cell.name.empty() || !seen.cells.insert(cell.name).second)
        reject("cell '" + cell.name + "' has no name of its own");
    if (!(cell.capacity > 0) || !std::isfinite(cell.capacity))
        reject("cell '" + cell.name + "': capacity is not above 0");
    if (cell.brokers.empty())
        reject("cell '" + cell.name + "' has no broker");
    for (const Broker &broker : cell.brokers)
        if (broker.name.empty() || !seen.brokers.insert(broker.name).second)
            reject("broker '" + broker.name + "' stands in more than one place");
    for (const std::string &node : cell.nodes)
        if (node.empty() || !seen.nodes.insert(node).second)
            reject("node '" + node + "' stands in more than one place");
}

} // namespace

const Broker *Cell::broker(std::string_view broker_name) const {
    const auto found = std::find_if(brokers.begin(), brokers.end(),
                                    [&](const Broker &broker) { return broker.name == broker_name; });
    return found == brokers.end() ? nullptr : &*found;
}

const Cell *CellMap::cell(std::string_view name) const {
    const auto found =
        std::find_if(cells.begin(), cells.end(), [&](const Cell &cell) { return cell.name == name; });
    return found == cells.end() ? nullptr : &*found;
}

const Cell *CellMap::cell_of_broker(std::string_view name) const {
    const auto found =
        std::find_if(cells.begin(), cells.end(), [&](const Cell &cell) { return cell.broker(name); });
    return found == cells.end() ? nullptr : &*found;
}

const Broker *CellMap::broker(std::string_view name) const {
    const Cell *const cell = cell_of_broker(name);
    return cell ? cell->broker(name) : nullptr;
}

const Cell *CellMap::hashed_cell(VolumeId volume) const {
    const Cell *best = nullptr;
    double best_score = 0;
    for (const Cell &candidate : cells) {
        if (candidate.evacuated)
            continue;
        const double score = rendezvous_score(volume, candidate.name, candidate.capacity);
        if (best && (score > best_score || (score == best_score && candidate.name >= best->name)))
            continue;
        best = &candidate;
        best_score = score;
    }
    return best;
}

const Cell *CellMap::home_cell(VolumeId volume) const {
    if (const auto pin = pins.find(volume); pin != pins.end())
        return cell(pin->second);
    return hashed_cell(volume);
}

std::vector<const Broker *> CellMap::brokers_of(VolumeId volume, const Cell &cell) const {
    std::vector<Scored<Broker>> scored;
    scored.reserve(cell.brokers.size());
    for (const Broker &broker : cell.brokers)
        scored.push_back({rendezvous_score(volume, broker.name, 1), &broker});
    std::vector<const Broker *> chosen = by_score(std::move(scored));
    const auto limit = static_cast<std::size_t>(std::max(brokers_per_volume, 0));
    if (chosen.size() > limit)
        chosen.resize(limit);
    return chosen;
}

bool CellMap::serves(VolumeId volume, const Cell &cell, std::string_view broker) const {
    const std::vector<const Broker *> serving = brokers_of(volume, cell);
    return std::any_of(serving.begin(), serving.end(),
                       [&](const Broker *candidate) { return candidate->name == broker; });
}

std::vector<const Cell *> cells_by_preference(const CellMap &map, VolumeId volume) {
    std::vector<Scored<Cell>> scored;
    scored.reserve(map.cells.size());
    for (const Cell &cell : map.cells)
        scored.push_back({rendezvous_score(volume, cell.name, cell.capacity), &cell});
    return by_score(std::move(scored));
}

void validate(const CellMap &map) {
    if (map.cells.empty())
        reject("there is no cell");
    if (map.brokers_per_volume < 1)
        reject("spread is under 1");
    SeenNames seen;
    seen.nodes = map.spare_nodes;
    for (const Cell &cell : map.cells)
        validate_cell(cell, seen);
    for (const auto &[volume, cell_name] : map.pins)
        if (!seen.cells.contains(cell_name))
            reject("a pin names cell '" + cell_name + "', which is none");
}

} // namespace marblewood::cells
