/// \file
/// Selects the node for the next request of a shard, and the shard for a new object.
#pragma once

#include "policy/jitter.hpp"
#include "policy/node_table.hpp"
#include "policy/request_queue.hpp"

#include <optional>

namespace marblewood::policy {

/// Whether another request may be sent to a node now. The node must be ready. A healthy node must be below
/// its concurrency limit, which is the floor while this process drains for a successor. An ejected node must
/// be due for its next probe request and have no attempt in flight, apart from long overdue ones.
bool has_capacity(const Node &node, const RequestTable &requests, bool draining, Micros now);

/// The node for the next request of a shard. Of the nodes with capacity, healthy nodes are preferred to
/// ejected ones, and then the node with the most free slots of its concurrency limit. Null if no node has
/// capacity.
Node *select_node(NodeTable &nodes, ShardId shard, const RequestTable &requests, bool draining, Micros now);

/// The shard for a new object: that of the ready node with the least load, as far as this host can tell; -1
/// if no node is ready. Hosts with the same observations must not all choose the same node, so the weight of
/// old observations decays and a random factor is applied.
ShardId select_shard_for_new_object(const NodeTable &nodes, const RequestQueue &queue, JitterSource &jitter,
                                    Micros now);

/// The next time at which a node of the shard may have capacity although no event has occurred; empty if the
/// shard has no node.
std::optional<Micros> next_recheck(const NodeTable &nodes, ShardId shard, Micros now);

} // namespace marblewood::policy
