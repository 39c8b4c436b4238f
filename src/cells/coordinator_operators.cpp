/// \file
/// CellCoordinator: operators' calls. The reply texts are part of the operators' interface (docs/cells.md).
#include "cells/cell_coordinator.hpp"
#include "cells/coordinator_text.hpp"

#include <algorithm>

namespace marblewood::cells {
namespace {

CellCoordinator::OperatorResult no_such_cell(const std::string &name) {
    return {false, fmt::format("there is no cell '{}'", name)};
}

} // namespace

CellCoordinator::OperatorResult CellCoordinator::move(Micros now, VolumeId volume,
                                                      const std::string &target_cell,
                                                      CoordinatorActions &actions) {
    now_ = now;
    const Cell *const home = map_.home_cell(volume);
    const bool already_there = home && home->name == target_cell && !migrations_.contains(volume);
    if (already_there)
        return pin(volume, actions);
    if (const auto obstacle = start_migration(now, volume, target_cell, true, actions))
        return {false, *obstacle};
    return {true, fmt::format("move {} has begun", migrations_.at(volume).epoch.number)};
}

CellCoordinator::OperatorResult CellCoordinator::pin(VolumeId volume, CoordinatorActions &actions) {
    if (!has_quorum_)
        return {false, kNoQuorum};
    const Cell *const home = map_.home_cell(volume);
    if (!home)
        return {false, "the volume has no cell"};
    if (migrations_.contains(volume))
        return {false, "it is being moved"};
    if (map_.pins.contains(volume) && operator_pins_.contains(volume))
        return {true, "it is pinned there already"};
    map_.pins[volume] = home->name;
    operator_pins_.insert(volume);
    publish_map(actions);
    return {true, fmt::format("pinned in '{}'", home->name)};
}

CellCoordinator::OperatorResult CellCoordinator::unpin(Micros now, VolumeId volume,
                                                       CoordinatorActions &actions) {
    now_ = now;
    if (!has_quorum_)
        return {false, kNoQuorum};
    if (!map_.pins.contains(volume))
        return {false, "it has no pin"};
    if (migrations_.contains(volume))
        return {false, "it is being moved"};
    const Cell *const hashed = map_.hashed_cell(volume);
    if (hashed && hashed->name == map_.pins.at(volume)) {
        map_.pins.erase(volume);
        operator_pins_.erase(volume);
        publish_map(actions);
        return {true, "it lives there by the hash"};
    }
    if (!hashed)
        return {false, "no cell takes volumes"};
    if (const auto obstacle = start_migration(now, volume, hashed->name, false, actions))
        return {false, *obstacle};
    return {true,
            fmt::format("move {} home to '{}' has begun", migrations_.at(volume).epoch.number, hashed->name)};
}

Cell *CellCoordinator::find_cell(const std::string &name) {
    const auto found = std::find_if(map_.cells.begin(), map_.cells.end(),
                                    [&](const Cell &cell) { return cell.name == name; });
    return found == map_.cells.end() ? nullptr : &*found;
}

CellCoordinator::OperatorResult CellCoordinator::set_frozen(const std::string &name, bool frozen,
                                                            CoordinatorActions &actions) {
    if (!has_quorum_)
        return {false, kNoQuorum};
    Cell *const cell = find_cell(name);
    if (!cell)
        return no_such_cell(name);
    if (cell->frozen != frozen) {
        cell->frozen = frozen;
        publish_map(actions);
    }
    return {true, frozen ? "frozen" : "free"};
}

CellCoordinator::OperatorResult CellCoordinator::evacuate(const std::string &name,
                                                          CoordinatorActions &actions) {
    if (!has_quorum_)
        return {false, kNoQuorum};
    Cell *const cell = find_cell(name);
    if (!cell)
        return no_such_cell(name);
    if (cell->frozen)
        return {false, fmt::format("cell '{}' is frozen", name)};
    const bool another_accepts = std::any_of(map_.cells.begin(), map_.cells.end(), [&](const Cell &other) {
        return other.name != name && !other.evacuated;
    });
    if (!another_accepts)
        return {false, "no other cell takes volumes"};
    if (!cell->evacuated) {
        pin_known_volumes(name);
        cell->evacuated = true;
        publish_map(actions);
    }
    return {true, "its volumes are being moved away"};
}

CellCoordinator::OperatorResult CellCoordinator::restore_cell(const std::string &name,
                                                              CoordinatorActions &actions) {
    if (!has_quorum_)
        return {false, kNoQuorum};
    Cell *const cell = find_cell(name);
    if (!cell)
        return no_such_cell(name);
    if (cell->evacuated) {
        pin_all_known_volumes();
        cell->evacuated = false;
        drop_redundant_pins();
        publish_map(actions);
    }
    return {true, "it takes volumes"};
}

/// Pins the cell's known volumes, so that a change of the hash assignment does not move them before they
/// migrate.
void CellCoordinator::pin_known_volumes(const std::string &cell) {
    for (const auto &[volume, known] : known_volumes_) {
        const Cell *const home = map_.home_cell(volume);
        if (home && home->name == cell)
            map_.pins.emplace(volume, cell);
    }
}

void CellCoordinator::pin_all_known_volumes() {
    for (const auto &[volume, known] : known_volumes_)
        if (const Cell *const home = map_.home_cell(volume))
            map_.pins.emplace(volume, home->name);
}

/// Removes pins that agree with the hash, except those set by an operator.
void CellCoordinator::drop_redundant_pins() {
    std::erase_if(map_.pins, [&](const auto &pin) {
        const Cell *const hashed = map_.hashed_cell(pin.first);
        return !operator_pins_.contains(pin.first) && hashed && hashed->name == pin.second;
    });
}

bool CellCoordinator::has_volumes(const Cell &cell) const {
    const auto lives_here = [&](const auto &entry) {
        const Cell *const home = map_.home_cell(entry.first);
        return home && home->name == cell.name;
    };
    return std::any_of(known_volumes_.begin(), known_volumes_.end(), lives_here) ||
           std::any_of(map_.pins.begin(), map_.pins.end(), lives_here);
}

CellCoordinator::OperatorResult CellCoordinator::relayout(CellMap layout, CoordinatorActions &actions) {
    if (!has_quorum_)
        return {false, kNoQuorum};
    if (!migrations_.empty())
        return {false, "not while volumes are being moved"};
    layout.epoch = {};
    layout.pins.clear();
    validate(layout);
    // A broker that misses the message about its removal would continue to serve. Therefore no broker is
    // removed while its cell has volumes.
    for (const Cell &cell : map_.cells) {
        const Cell *const after = layout.cell(cell.name);
        const bool same_brokers =
            after && after->brokers == cell.brokers && layout.brokers_per_volume == map_.brokers_per_volume;
        if (!same_brokers && (!cell.evacuated || has_volumes(cell)))
            return {false, fmt::format("cell '{}' {}, but is not evacuated", cell.name,
                                       after ? "would change its brokers" : "would go")};
    }
    pin_all_known_volumes();
    for (Cell &cell : layout.cells) {
        if (const Cell *const before = map_.cell(cell.name)) {
            cell.frozen = before->frozen;
            cell.evacuated = before->evacuated;
        }
    }
    map_.cells = std::move(layout.cells);
    map_.spare_nodes = std::move(layout.spare_nodes);
    map_.brokers_per_volume = layout.brokers_per_volume;
    drop_redundant_pins();
    std::erase_if(brokers_, [&](const auto &entry) { return !map_.broker(entry.first); });
    publish_map(actions);
    return {true, fmt::format("{} cells", map_.cells.size())};
}

std::string CellCoordinator::where(VolumeId volume) const {
    const Cell *const home = map_.home_cell(volume);
    if (!home)
        return "nowhere\n";
    std::string brokers;
    for (const Broker *broker : map_.brokers_of(volume, *home))
        brokers += (brokers.empty() ? "" : " ") + broker->name;
    const char *reason = "moved by a rule";
    if (!map_.pins.contains(volume))
        reason = "by its hash";
    else if (operator_pins_.contains(volume))
        reason = "pinned by an operator";
    std::string text = fmt::format("volume {}\ncell {}\nbrokers {}\nwhy {}\nepoch {}\n",
                                   format_volume(volume), home->name, brokers, reason, map_.epoch.number);
    if (const auto active = migrations_.find(volume); active != migrations_.end())
        text += fmt::format("move {} to {}, {}\n", active->second.epoch.number, active->second.target_cell,
                            stage_name(active->second.stage));
    return text;
}

} // namespace marblewood::cells
