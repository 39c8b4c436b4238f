#include "policy/node_table.hpp"

#include "policy/action_sink.hpp"
#include "policy/log_events.hpp"

#include <algorithm>

namespace marblewood::policy {

void NodeTable::apply(const ListUpdate &update, const SlowStart &slow_start, Micros now,
                      std::set<ShardId> &changed_shards, ActionSink &actions) {
    std::set<NodeId> listed;
    for (const NodeEntry &entry : update.entries) {
        listed.insert(entry.node);
        apply(entry, slow_start, now, changed_shards, actions);
    }
    if (update.kind != ListUpdate::Kind::Changes)
        for (auto &[id, node] : nodes_)
            if (!listed.contains(id))
                withdraw(node, NodeState::Gone, actions);
    erase_unused();
    const bool none_ready =
        std::ranges::none_of(nodes_, [](const auto &entry) { return entry.second.ready; });
    if (none_ready && !none_ready_logged_)
        actions.add(log_no_ready_node());
    none_ready_logged_ = none_ready;
}

void NodeTable::apply(const NodeEntry &entry, const SlowStart &slow_start, Micros now,
                      std::set<ShardId> &changed_shards, ActionSink &actions) {
    const auto [it, is_new] = nodes_.try_emplace(entry.node);
    Node &node = it->second;
    if (entry.state == NodeState::Gone && is_new) {
        nodes_.erase(it);
        return;
    }
    changed_shards.insert(entry.shard);
    NodeEntry &known = node.slow_start.entry;
    const Micros started_before = known.started;
    const bool restarted = is_new || entry.started > started_before;
    node.id = entry.node;
    if (is_new || entry.shard != known.shard || known.state == NodeState::Gone)
        assign_to_shard(node.id, entry.shard);
    known = entry;

    const auto begin_slow_start = [&](Micros started_at, bool is_listed) {
        const Micros last_failed_connect = node.health.last_failed_connect;
        if (slow_start.begin(node.slow_start, started_at, is_listed, last_failed_connect, now))
            actions.add(log_slow_start_began(node.id));
    };
    if (entry.restored)
        begin_slow_start(now, false);
    if (entry.state != NodeState::Ready) {
        known.started = started_before; // a start listed meanwhile takes effect once the node is ready
        withdraw(node, entry.state, actions);
        return;
    }
    node.ready = true;
    if (restarted && entry.started > 0 && slow_start.is_recent(entry.started, now))
        begin_slow_start(entry.started, true);
}

void NodeTable::assign_to_shard(NodeId node, ShardId shard) {
    for (auto &[id, members] : shards_)
        std::erase(members, node);
    std::vector<NodeId> &members = shards_[shard];
    members.push_back(node);
    std::ranges::sort(members);
    std::erase_if(shards_, [](const auto &entry) { return entry.second.empty(); });
}

void NodeTable::withdraw(Node &node, NodeState state, ActionSink &actions) {
    if (node.ready)
        actions.add(log_node_withdrawn(node.id, state));
    node.ready = false;
    if (state != NodeState::Gone)
        return;
    node.slow_start.entry.state = NodeState::Gone;
    if (const auto it = shards_.find(node.entry().shard); it != shards_.end())
        std::erase(it->second, node.id);
}

void NodeTable::erase_unused() {
    std::erase_if(nodes_, [](const auto &entry) {
        const Node &node = entry.second;
        return !node.ready && node.entry().state == NodeState::Gone && node.in_flight.empty() &&
               !SlowStart::has_recorded_sends(node.slow_start);
    });
}

Node *NodeTable::find_ready(std::uint64_t stable_id) {
    const auto it = std::ranges::find_if(nodes_, [&](const auto &entry) {
        return entry.second.ready && entry.second.entry().stable_id == stable_id;
    });
    return it == nodes_.end() ? nullptr : &it->second;
}

} // namespace marblewood::policy
