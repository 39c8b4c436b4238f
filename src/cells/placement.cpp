#include "cells/placement.hpp"

#include <algorithm>

namespace marblewood::cells {

bool fits(const Cell &cell, double reserve, const Promised &promised) {
    const auto at = promised.find(cell.name);
    return (at == promised.end() ? 0 : at->second) + reserve <= kReserved * cell.capacity;
}

std::optional<std::string> place(const Map &map, VolumeId volume, double reserve, const Promised &promised,
                                 const std::set<std::string> &without) {
    for (const Cell *cell : preference(map, volume))
        if (!cell->frozen && !cell->evacuated && !without.contains(cell->name) &&
            fits(*cell, reserve, promised))
            return cell->name;
    return std::nullopt;
}

Evacuation evacuate(const Map &map, const std::string &cell, std::vector<Tenant> tenants, Promised promised) {
    // What a tenant is worth a second, for each unit of room that it takes. One without a reserve takes no
    // room of those with one: it comes last, the busiest first.
    const auto density = [](const Tenant &t) {
        return t.reserve > 0 ? t.worth * std::min(t.rate, t.reserve) / t.reserve : -1;
    };
    std::sort(tenants.begin(), tenants.end(), [&](const Tenant &a, const Tenant &b) {
        const double x = density(a), y = density(b);
        if (x != y)
            return x > y;
        const double v = a.worth * a.rate, w = b.worth * b.rate;
        return v != w ? v > w : a.volume < b.volume;
    });
    Evacuation plan;
    for (const Tenant &t : tenants) {
        // Without a reserve its usual rate must fit, or it would live off the others' spare capacity.
        const double room = t.reserve > 0 ? t.reserve : t.rate;
        if (const auto to = place(map, t.volume, room, promised, {cell})) {
            plan.moves.emplace_back(t.volume, *to);
            promised[*to] += room;
        } else {
            plan.left.push_back(t.volume);
        }
    }
    return plan;
}

} // namespace marblewood::cells
