/// \file
/// The node histories that a process hands over to its successor in a hot restart.
#pragma once

#include "policy/node_table.hpp"

#include <vector>

namespace marblewood::policy {

/// The histories of all nodes, for a successor process.
std::vector<HandoverState::NodeHistory> capture_node_histories(const NodeTable &nodes);

/// Takes over a predecessor's history of a node. Returns whether the node is in a slow start that this
/// process did not know of.
bool restore_node_history(Node &node, const HandoverState::NodeHistory &history, const SlowStart &slow_start,
                          const RequestTable &requests, Micros now);

} // namespace marblewood::policy
