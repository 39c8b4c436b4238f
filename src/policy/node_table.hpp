/// \file
/// The nodes of the endpoint list, and the shards that they serve.
#pragma once

#include "policy/node.hpp"

#include <map>
#include <set>
#include <vector>

namespace marblewood::policy {

class ActionSink;

/// Holds the state of the nodes, and follows the endpoint list. A node that drains or has been removed from
/// the list receives no new requests. Its state is kept as long as an attempt is in flight there or its
/// slow-start budget still counts earlier sends.
class NodeTable {
public:
    /// Applies an update of the endpoint list. Adds the shards whose nodes changed to `changed_shards`, and
    /// log lines to `actions`.
    void apply(const ListUpdate &update, const SlowStart &slow_start, Micros now,
               std::set<ShardId> &changed_shards, ActionSink &actions);

    Node *find(NodeId id) {
        const auto it = nodes_.find(id);
        return it == nodes_.end() ? nullptr : &it->second;
    }
    const Node *find(NodeId id) const {
        const auto it = nodes_.find(id);
        return it == nodes_.end() ? nullptr : &it->second;
    }
    Node &at(NodeId id) { return nodes_.at(id); }
    const Node &at(NodeId id) const { return nodes_.at(id); }
    /// The ready node with this stable id; null if there is none.
    Node *find_ready(std::uint64_t stable_id);

    std::map<NodeId, Node> &all() { return nodes_; }
    const std::map<NodeId, Node> &all() const { return nodes_; }

    /// The nodes that serve a shard, whether ready or not, in the order of their ids.
    const std::vector<NodeId> &serving(ShardId shard) const {
        static const std::vector<NodeId> none;
        const auto it = shards_.find(shard);
        return it == shards_.end() ? none : it->second;
    }

private:
    void apply(const NodeEntry &entry, const SlowStart &slow_start, Micros now,
               std::set<ShardId> &changed_shards, ActionSink &actions);
    void assign_to_shard(NodeId node, ShardId shard);
    void withdraw(Node &node, NodeState state, ActionSink &actions);
    void erase_unused();

    std::map<NodeId, Node> nodes_;
    std::map<ShardId, std::vector<NodeId>> shards_; // each list is sorted by id
    bool none_ready_logged_ = false;
};

} // namespace marblewood::policy
