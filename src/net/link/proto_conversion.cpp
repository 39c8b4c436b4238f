#include "net/link/proto_conversion.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::net::link {

using namespace marblewood::cells;

namespace {

constexpr std::uint32_t kMaxBrokersPerVolume = 1000; // ensures that the received number fits into an int

void to_proto(const Broker &broker, wire::Broker *out) {
    out->set_name(broker.name);
    out->set_client_address(broker.client_address);
    out->set_link_address(broker.link_address);
}

void to_proto(const Cell &cell, wire::Cell *out) {
    out->set_name(cell.name);
    out->set_capacity(cell.capacity);
    for (const Broker &broker : cell.brokers)
        to_proto(broker, out->add_brokers());
    for (const std::string &node : cell.nodes)
        out->add_nodes(node);
    out->set_frozen(cell.frozen);
    out->set_evacuated(cell.evacuated);
}

Cell from_proto(const wire::Cell &in) {
    Cell cell{in.name(), in.capacity(), {}, {}, in.frozen(), in.evacuated()};
    for (const auto &broker : in.brokers())
        cell.brokers.push_back({broker.name(), broker.client_address(), broker.link_address()});
    cell.nodes.insert(in.nodes().begin(), in.nodes().end());
    return cell;
}

} // namespace

double quantity_from_proto(double value) {
    if (!std::isfinite(value) || value < 0)
        throw DecodeError(DecodeFailure::OutOfRange, "negative or non-finite quantity");
    return value;
}

void to_proto(const Epoch &epoch, wire::Epoch *out) {
    out->set_number(epoch.number);
    out->set_origin(epoch.origin);
}

Epoch from_proto(const wire::Epoch &in) {
    return {in.number(), in.origin()};
}

void to_proto(const TransferredQuota &quota, wire::TransferredQuota *out) {
    out->set_limit_units(quota.limit_units);
    out->set_reserve_units(quota.reserve_units);
    for (const TransferredKey &key : quota.keys) {
        auto *const entry = out->add_keys();
        entry->set_hash(key.hash);
        entry->set_expires_at(key.expires_at);
        entry->set_broker(key.broker);
    }
}

TransferredQuota from_proto(const wire::TransferredQuota &in) {
    TransferredQuota quota;
    quota.limit_units = quantity_from_proto(in.limit_units());
    quota.reserve_units = quantity_from_proto(in.reserve_units());
    for (const auto &key : in.keys())
        quota.keys.push_back({key.hash(), key.expires_at(), key.broker()});
    return quota;
}

void to_proto(const CellMap &map, wire::CellMap *out) {
    to_proto(map.epoch, out->mutable_epoch());
    out->set_brokers_per_volume(static_cast<std::uint32_t>(map.brokers_per_volume));
    for (const Cell &cell : map.cells)
        to_proto(cell, out->add_cells());
    for (const std::string &node : map.spare_nodes)
        out->add_spare_nodes(node);
    // Grouping by cell encodes each cell's name only once and each volume in 8 bytes.
    std::map<std::string, wire::CellPins *> pins_by_cell;
    for (const auto &[volume, cell] : map.pins) {
        wire::CellPins *&pins = pins_by_cell[cell];
        if (!pins) {
            pins = out->add_pins();
            pins->set_cell(cell);
        }
        pins->add_volumes(number(volume));
    }
}

CellMap from_proto(const wire::CellMap &in) {
    CellMap map;
    map.epoch = from_proto(in.epoch());
    map.brokers_per_volume = static_cast<int>(std::min(in.brokers_per_volume(), kMaxBrokersPerVolume));
    for (const auto &cell : in.cells())
        map.cells.push_back(from_proto(cell));
    map.spare_nodes.insert(in.spare_nodes().begin(), in.spare_nodes().end());
    for (const auto &pins : in.pins())
        for (const auto volume : pins.volumes())
            map.pins[VolumeId{volume}] = pins.cell();
    try {
        validate(map);
    } catch (const std::invalid_argument &error) {
        throw DecodeError(DecodeFailure::InvalidMap, error.what());
    }
    return map;
}

} // namespace marblewood::net::link
