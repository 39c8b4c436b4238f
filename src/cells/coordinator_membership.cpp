/// \file
/// CellCoordinator: heartbeats, quorum, and the status of brokers and volumes.
#include "cells/cell_coordinator.hpp"
#include "cells/coordinator_text.hpp"

#include <algorithm>

namespace marblewood::cells {
namespace {

/// A broker that has sent no heartbeat for this time does not count as reporting.
constexpr Micros kHeartbeatTimeout = 5'000'000;

} // namespace

void CellCoordinator::on_heartbeat(Micros now, const std::string &sender, const Heartbeat &heartbeat,
                                   CoordinatorActions &actions) {
    epoch_counter_ = std::max({epoch_counter_, heartbeat.highest_epoch, heartbeat.map_epoch.number});
    newest_reported_epoch_ = std::max(newest_reported_epoch_, heartbeat.map_epoch.number);
    BrokerStatus &status = brokers_[sender];
    status.received_at = now;
    status.ready_nodes = heartbeat.ready_nodes;
    status.map_epoch = heartbeat.map_epoch;
    status.volumes.clear();
    for (const VolumeLoad &load : heartbeat.volumes) {
        status.volumes[load.volume] = load;
        update_known_volume(now, load);
    }
    check_quorum(actions);
    // A broker that holds a newer map replies to the snapshot with StaleMap, which contains that map.
    if (heartbeat.map_epoch == map_.epoch)
        return;
    send_snapshot(sender, actions);
    status.map_epoch = map_.epoch;
}

/// Updates a volume from a broker's report. Its rate is the sum over all brokers that report it.
void CellCoordinator::update_known_volume(Micros now, const VolumeLoad &load) {
    KnownVolume &volume = known_volumes_[load.volume];
    volume.reported_at = now;
    volume.reserve_rate = load.reserve_rate;
    volume.priority_weight = load.priority_weight;
    volume.rate = 0;
    for (const auto &[broker, status] : brokers_)
        if (const auto reported = status.volumes.find(load.volume); reported != status.volumes.end())
            volume.rate += reported->second.rate;
}

void CellCoordinator::on_stale_map(const StaleMap &stale, CoordinatorActions &actions) {
    epoch_counter_ = std::max({epoch_counter_, stale.highest_epoch, stale.map_epoch.number});
    if (stale.map_epoch.number > map_.epoch.number) {
        adopt_map(stale.held_map);
        for (const auto &[volume, cell] : map_.pins)
            operator_pins_.insert(volume); // the map does not say who set a pin: assumes operators
        actions.emplace_back(
            LogEntry{fmt::format("coordinator_map_adopted epoch={}", stale.map_epoch.number)});
    } else if (stale.map_epoch.number < map_.epoch.number || stale.map_epoch == map_.epoch) {
        return; // the broker has this map by now, or a newer snapshot has been sent to it
    }
    if (has_quorum_)
        publish_map(actions);
    else
        check_quorum(actions);
}

/// Assigns no epoch until a majority of the brokers has reported the highest epoch that each has seen. An
/// earlier run may have assigned epochs that this one has lost, and at least one of those brokers has seen
/// them.
void CellCoordinator::check_quorum(CoordinatorActions &actions) {
    std::size_t total = 0;
    std::size_t reporting = 0;
    for (const Cell &cell : map_.cells) {
        total += cell.brokers.size();
        reporting += static_cast<std::size_t>(
            std::count_if(cell.brokers.begin(), cell.brokers.end(),
                          [&](const Broker &broker) { return brokers_.contains(broker.name); }));
    }
    const bool majority = reporting * 2 > total;
    if (has_quorum_ || !majority || map_.epoch.number < newest_reported_epoch_)
        return;
    has_quorum_ = true;
    actions.emplace_back(LogEntry{fmt::format("coordinator_quorum_reached heard={} brokers={} epoch={}",
                                              reporting, total, epoch_counter_)});
    publish_map(actions);
}

std::map<std::string, CellCoordinator::CellStatus> CellCoordinator::cell_status(Micros now) const {
    std::map<std::string, CellStatus> all;
    for (const Cell &cell : map_.cells) {
        CellStatus &status = all[cell.name];
        for (const Broker &broker : cell.brokers) {
            const auto reported = brokers_.find(broker.name);
            if (reported == brokers_.end() || now - reported->second.received_at >= kHeartbeatTimeout)
                continue;
            ++status.reporting_brokers;
            status.ready_nodes = std::max(status.ready_nodes, reported->second.ready_nodes);
        }
    }
    for (const auto &[volume, known] : known_volumes_) {
        const Cell *const home = map_.home_cell(volume);
        if (!home)
            continue;
        CellStatus &status = all[home->name];
        ++status.volumes;
        status.reserved_rate += known.reserve_rate;
        status.rate += known.rate;
    }
    return all;
}

} // namespace marblewood::cells
