#include "net/cells/layout.hpp"

#include "net/address.hpp"

#include <fmt/format.h>

namespace marblewood::net::cells {
namespace {

std::string need_address(const Json::Value &of, const char *field) {
    const std::string text = config::need_text(of, field);
    if (!endpoint<boost::asio::ip::tcp::endpoint>(text))
        throw config::Error(fmt::format("field 'cells': {} '{}' is not an address and port", field, text));
    return text;
}

} // namespace

Layout read_layout(const Json::Value &cells) {
    using namespace config;
    Layout layout;
    const Json::Value &keeper = need(cells, "keeper");
    layout.keeper_link = need_address(keeper, "link");
    layout.keeper_control = need_address(keeper, "control");
    layout.state = text_or(cells, "state", "");
    layout.forward = flag_or(cells, "forward", true);
    layout.most_forwarded = static_cast<int>(integer_or(cells, "most_forwarded", 256));
    layout.most_waiting = static_cast<int>(integer_or(cells, "most_waiting", 1024));
    layout.timing.evacuate_drained = flag_or(cells, "evacuate_drained", true);
    layout.timing.step = time_or(cells, "step_ms", layout.timing.step);
    layout.timing.drain = time_or(cells, "drain_ms", layout.timing.drain);
    layout.timing.at_once = static_cast<std::size_t>(integer_or(cells, "moves_at_once", 8));
    layout.map.spread = static_cast<int>(integer_or(cells, "spread", 2));
    for (const Json::Value &row : need(cells, "cells")) {
        marblewood::cells::Cell cell;
        cell.name = need_text(row, "name");
        cell.capacity = need_number(row, "capacity");
        for (const Json::Value &b : need(row, "brokers"))
            cell.brokers.push_back(
                {need_text(b, "name"), need_address(b, "clients"), need_address(b, "link")});
        for (const Json::Value &node : need(row, "nodes"))
            cell.nodes.insert(node.asString());
        layout.map.cells.push_back(std::move(cell));
    }
    for (const Json::Value &node : cells["spare"])
        layout.map.spare.insert(node.asString());
    try {
        check(layout.map);
    } catch (const std::invalid_argument &error) {
        throw Error(std::string("field 'cells': ") + error.what());
    }
    return layout;
}

} // namespace marblewood::net::cells
