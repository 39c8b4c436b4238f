// The `cells` part of the operator's file: the installation's cells, brokers and nodes, and where its keeper
// is. One file serves the keeper and all brokers.
#pragma once

#include "cells/keeper.hpp"
#include "config/decode.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace marblewood::net::cells {

struct Layout {
    marblewood::cells::Map map;
    std::string keeper_link, keeper_control; // addresses
    std::string state;        // a folder for states that outlive processes; empty: none is kept
    bool forward = true;      // requests at the wrong broker; else they are refused
    int most_forwarded = 256; // out at a time for each cell
    int most_waiting = 1024;  // requests that wait for moves
    marblewood::cells::Keeper::Timing timing;
};

// Throws config::Error naming the field.
Layout read_layout(const Json::Value &cells);

} // namespace marblewood::net::cells
