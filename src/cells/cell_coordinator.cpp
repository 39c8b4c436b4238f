#include "cells/cell_coordinator.hpp"

namespace marblewood::cells {
namespace {

/// A map change that affects more pins than this is published as a snapshot.
constexpr std::size_t kMaxDeltaPins = 256;

} // namespace

CellCoordinator::CellCoordinator(CellMap initial, std::uint64_t origin, Timing timing)
    : map_(std::move(initial)), origin_(origin), timing_(timing) {
    validate(map_);
    epoch_counter_ = map_.epoch.number;
    map_.epoch.origin = origin_;
}

void CellCoordinator::restore(CoordinatorState state) {
    epoch_counter_ = std::max(epoch_counter_, state.epoch_counter);
    adopt_map(state.map);
    operator_pins_ = std::move(state.operator_pins);
    migrations_ = std::move(state.migrations);
    // The operators' file may no longer contain a cell of a migration.
    std::erase_if(migrations_, [&](const auto &entry) {
        return !map_.cell(entry.second.source_cell) || !map_.cell(entry.second.target_cell);
    });
    for (auto &[volume, migration] : migrations_) {
        migration.acknowledged.clear();
        migration.last_sent = 0;
        migration.stage_since = 0;
        epoch_counter_ = std::max(epoch_counter_, migration.epoch.number);
    }
}

/// Copies the epoch, the pins and the frozen and evacuated flags from `map`. The operators' file does not
/// contain them. Pins to cells that no longer exist are dropped.
void CellCoordinator::adopt_map(const CellMap &map) {
    map_.epoch = map.epoch;
    map_.pins.clear();
    for (const auto &[volume, cell] : map.pins)
        if (map_.cell(cell))
            map_.pins[volume] = cell;
    for (Cell &cell : map_.cells) {
        if (const Cell *const earlier = map.cell(cell.name)) {
            cell.frozen = earlier->frozen;
            cell.evacuated = earlier->evacuated;
        }
    }
    epoch_counter_ = std::max(epoch_counter_, map.epoch.number);
}

MapDelta CellCoordinator::delta_to_published() const {
    MapDelta delta{published_.epoch, map_.epoch, {}, active_migrations()};
    for (const auto &[volume, cell] : map_.pins) {
        const auto before = published_.pins.find(volume);
        if (before == published_.pins.end() || before->second != cell)
            delta.pins.push_back({volume, cell});
    }
    for (const auto &[volume, cell] : published_.pins)
        if (!map_.pins.contains(volume))
            delta.pins.push_back({volume, ""});
    return delta;
}

/// Assigns the next epoch to the map and sends the map to all brokers. If only pins have changed, brokers
/// that hold the previously published map get a delta; all others get a snapshot.
void CellCoordinator::publish_map(CoordinatorActions &actions) {
    map_.epoch = next_epoch();
    actions.emplace_back(SaveState{});
    const MapDelta delta = delta_to_published();
    const bool delta_suffices =
        published_.cells == map_.cells && published_.spare_nodes == map_.spare_nodes &&
        published_.brokers_per_volume == map_.brokers_per_volume && delta.pins.size() <= kMaxDeltaPins;
    for (const Cell &cell : map_.cells) {
        for (const Broker &broker : cell.brokers) {
            const auto status = brokers_.find(broker.name);
            const bool has_reported = status != brokers_.end();
            if (delta_suffices && has_reported && status->second.map_epoch == published_.epoch)
                actions.emplace_back(OutgoingMessage{broker.name, delta});
            else
                send_snapshot(broker.name, actions);
            if (has_reported)
                status->second.map_epoch = map_.epoch; // assumes delivery; the next heartbeat reveals a loss
        }
    }
    published_ = map_;
}

std::vector<ActiveMigration> CellCoordinator::active_migrations() const {
    std::vector<ActiveMigration> all;
    all.reserve(migrations_.size());
    for (const auto &[volume, migration] : migrations_)
        all.push_back(
            {volume, migration.epoch, migration.source_cell, migration.target_cell, migration.arbiter});
    return all;
}

void CellCoordinator::send_snapshot(const std::string &broker, CoordinatorActions &actions) const {
    actions.emplace_back(OutgoingMessage{broker, MapSnapshot{map_, active_migrations()}});
}

void CellCoordinator::on_message(Micros now, const std::string &sender, const Message &message,
                                 CoordinatorActions &actions) {
    now_ = now;
    if (!map_.broker(sender))
        return;
    if (const auto *reply = std::get_if<StepReply>(&message))
        on_reply(now, sender, *reply, actions);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        on_heartbeat(now, sender, *heartbeat, actions);
    if (const auto *stale = std::get_if<StaleMap>(&message))
        on_stale_map(*stale, actions);
}

void CellCoordinator::tick(Micros now, CoordinatorActions &actions) {
    now_ = now;
    if (!has_quorum_)
        return;
    resend_or_abort(now, actions);
    std::erase_if(known_volumes_,
                  [&](const auto &entry) { return now - entry.second.reported_at > timing_.volume_expiry; });
    std::erase_if(retry_after_, [&](const auto &entry) { return entry.second <= now; });
    rebalance(now, actions);
}

} // namespace marblewood::cells
