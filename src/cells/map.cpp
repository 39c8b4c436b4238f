#include "cells/map.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <xxhash.h>

namespace marblewood::cells {
namespace {

// Weighted rendezvous: -ln(u) / weight with u uniform by the hash; the smallest wins, which it does with a
// chance in proportion to its weight (Mosharaf's and Schindelhauer's logarithmic method).
double score(VolumeId volume, std::string_view name, double weight) {
    const auto hash = XXH3_64bits_withSeed(name.data(), name.size(), static_cast<XXH64_hash_t>(volume));
    const double u = (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0; // 2^53
    return weight > 0 ? -std::log(u) / weight : std::numeric_limits<double>::infinity();
}

} // namespace

const Broker *Cell::broker(std::string_view wanted) const {
    for (const Broker &b : brokers)
        if (b.name == wanted)
            return &b;
    return nullptr;
}
const Cell *Map::cell(std::string_view name) const {
    for (const Cell &c : cells)
        if (c.name == name)
            return &c;
    return nullptr;
}
const Cell *Map::cell_of_broker(std::string_view name) const {
    for (const Cell &c : cells)
        if (c.broker(name))
            return &c;
    return nullptr;
}
const Broker *Map::broker(std::string_view name) const {
    const Cell *const in = cell_of_broker(name);
    return in ? in->broker(name) : nullptr;
}

std::vector<const Cell *> preference(const Map &map, VolumeId volume) {
    std::vector<std::pair<double, const Cell *>> scored;
    for (const Cell &c : map.cells)
        scored.emplace_back(score(volume, c.name, c.capacity), &c);
    std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
    });
    std::vector<const Cell *> order;
    for (const auto &[s, c] : scored)
        order.push_back(c);
    return order;
}

const Cell *Map::hashed(VolumeId volume) const {
    const Cell *best = nullptr;
    double least = 0;
    for (const Cell &c : cells) {
        if (c.evacuated)
            continue;
        const double s = score(volume, c.name, c.capacity);
        if (!best || s < least || (s == least && c.name < best->name))
            best = &c, least = s;
    }
    return best;
}

const Cell *Map::home(VolumeId volume) const {
    if (const auto pin = pins.find(volume); pin != pins.end())
        return cell(pin->second);
    return hashed(volume);
}

std::vector<const Broker *> Map::brokers_of(VolumeId volume, const Cell &in) const {
    std::vector<std::pair<double, const Broker *>> scored;
    for (const Broker &b : in.brokers)
        scored.emplace_back(score(volume, b.name, 1), &b);
    std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
    });
    std::vector<const Broker *> chosen;
    for (const auto &[s, b] : scored)
        if (static_cast<int>(chosen.size()) < spread)
            chosen.push_back(b);
    return chosen;
}

bool Map::uses(VolumeId volume, const Cell &in, std::string_view name) const {
    for (const Broker *b : brokers_of(volume, in))
        if (b->name == name)
            return true;
    return false;
}

void check(const Map &map) {
    const auto wrong = [](const std::string &text) { throw std::invalid_argument(text); };
    if (map.cells.empty())
        wrong("there is no cell");
    if (map.spread < 1)
        wrong("spread is under 1");
    std::set<std::string> names, brokers, nodes = map.spare;
    for (const Cell &c : map.cells) {
        if (c.name.empty() || !names.insert(c.name).second)
            wrong("cell '" + c.name + "' has no name of its own");
        if (!(c.capacity > 0) || !std::isfinite(c.capacity))
            wrong("cell '" + c.name + "': capacity is not above 0");
        if (c.brokers.empty())
            wrong("cell '" + c.name + "' has no broker");
        for (const Broker &b : c.brokers)
            if (b.name.empty() || !brokers.insert(b.name).second)
                wrong("broker '" + b.name + "' stands in more than one place");
        for (const std::string &n : c.nodes)
            if (n.empty() || !nodes.insert(n).second)
                wrong("node '" + n + "' stands in more than one place");
    }
    for (const auto &[volume, name] : map.pins)
        if (!names.contains(name))
            wrong("a pin names cell '" + name + "', which is none");
}

} // namespace marblewood::cells
