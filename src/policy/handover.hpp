/// \file
/// The nodes' part of what a process hands to its successor in a hot restart.
#pragma once

#include "policy/node_table.hpp"

#include <vector>

namespace marblewood::policy {

/// The nodes' part of the state for a successor.
std::vector<HandoverState::NodeHistory> capture_node_histories(const NodeTable &nodes);

/// Continues a predecessor's history of a node that this process knows. Returns whether a slow start began.
bool restore_node_history(Node &node, const HandoverState::NodeHistory &history, const SlowStart &slow_start,
                          const RequestTable &requests, Micros now);

} // namespace marblewood::policy
