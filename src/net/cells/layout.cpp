#include "net/cells/layout.hpp"

#include "net/address.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

namespace marblewood::net::cells {
namespace {

std::string need_address(const Json::Value &object, const char *field) {
    std::string text = config::need_text(object, field);
    if (!endpoint<boost::asio::ip::tcp::endpoint>(text))
        throw config::Error(fmt::format("field 'cells': {} '{}' is not an address and port", field, text));
    return text;
}

marblewood::cells::Cell read_cell(const Json::Value &object) {
    marblewood::cells::Cell cell;
    cell.name = config::need_text(object, "name");
    cell.capacity = config::need_number(object, "capacity");
    for (const Json::Value &broker : config::need(object, "brokers"))
        cell.brokers.push_back({config::need_text(broker, "name"), need_address(broker, "clients"),
                                need_address(broker, "link")});
    for (const Json::Value &node : config::need(object, "nodes"))
        cell.nodes.insert(node.asString());
    return cell;
}

void read_coordinator(const Json::Value &cells, Layout &layout) {
    using namespace config;
    const Json::Value &keeper = need(cells, "keeper");
    layout.coordinator_link = need_address(keeper, "link");
    layout.coordinator_control = need_address(keeper, "control");
    layout.state_directory = text_or(cells, "state", "");
    layout.forwarding_enabled = flag_or(cells, "forward", true);
    layout.max_forwarded_per_cell = static_cast<int>(integer_or(cells, "most_forwarded", 256));
    layout.max_waiting = static_cast<int>(integer_or(cells, "most_waiting", 1024));
    auto &timing = layout.coordinator_timing;
    timing.evacuate_drained = flag_or(cells, "evacuate_drained", true);
    timing.step_timeout = time_or(cells, "step_ms", timing.step_timeout);
    timing.drain_timeout = time_or(cells, "drain_ms", timing.drain_timeout);
    timing.max_migrations = static_cast<std::size_t>(integer_or(cells, "moves_at_once", 8));
}

} // namespace

Layout read_layout(const Json::Value &cells) {
    Layout layout;
    read_coordinator(cells, layout);
    layout.map.brokers_per_volume = static_cast<int>(config::integer_or(cells, "spread", 2));
    for (const Json::Value &cell : config::need(cells, "cells"))
        layout.map.cells.push_back(read_cell(cell));
    for (const Json::Value &node : cells["spare"])
        layout.map.spare_nodes.insert(node.asString());
    try {
        validate(layout.map);
    } catch (const std::invalid_argument &error) {
        throw config::Error(std::string("field 'cells': ") + error.what());
    }
    return layout;
}

} // namespace marblewood::net::cells
