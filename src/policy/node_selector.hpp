/// \file
/// Which node gets the next request of a shard, and where new objects are placed.
#pragma once

#include "policy/jitter.hpp"
#include "policy/node_table.hpp"
#include "policy/request_queue.hpp"

#include <optional>

namespace marblewood::policy {

/// Whether a node may be sent another request now: a ready node within its concurrency limit (the floor,
/// where this process drains for a successor), or an ejected one whose next probe request is due.
bool has_capacity(const Node &node, const RequestTable &requests, bool draining, Micros now);

/// The node of a shard that gets the next request: of those with capacity a healthy one before an ejected
/// one, then the one with the most free places; null if there is none.
Node *select_node(NodeTable &nodes, ShardId shard, const RequestTable &requests, bool draining, Micros now);

/// The shard for a new object: that of the ready node with the least load as far as seen here; -1 if no node
/// is ready. Hosts that see the same must not all choose the same node: old observations fade, and chance
/// weighs in.
ShardId select_shard_for_new_object(const NodeTable &nodes, const RequestQueue &queue, JitterSource &jitter,
                                    Micros now);

/// When a node of the shard may next have capacity without any event; empty if the shard has no node.
std::optional<Micros> next_recheck(const NodeTable &nodes, ShardId shard, Micros now);

} // namespace marblewood::policy
