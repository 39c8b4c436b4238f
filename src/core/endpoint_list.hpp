/// \file
/// The nodes of the endpoint list, with the operators' cordons applied.
#pragma once

#include "marblewood/events.hpp"

#include <map>
#include <set>
#include <utility>

namespace marblewood::core {

/// Stores the endpoint list and the set of nodes that operators have cordoned. A cordoned node that is listed
/// as ready appears as draining in every update that this class returns. A cordon stays until it is lifted,
/// even while its node is not listed.
class EndpointList {
public:
    /// Applies an update of the endpoint list and returns it with the cordons applied.
    ListUpdate apply(ListUpdate update) {
        if (update.kind != ListUpdate::Kind::Changes)
            listed_.clear();
        for (NodeEntry &entry : update.entries) {
            if (entry.state == NodeState::Gone)
                listed_.erase(entry.node);
            else
                listed_[entry.node] = entry;
            entry = with_cordon(entry);
        }
        return update;
    }

    bool is_listed(NodeId node) const { return listed_.contains(node); }
    bool is_cordoned(NodeId node) const {
        return host_cordoned_.contains(node) || fleet_cordoned_.contains(node);
    }

    /// Cordons a node on this host. Returns the node's changed entry, if it is listed.
    ListUpdate cordon(NodeId node) {
        host_cordoned_.insert(node);
        return update_for(node, false);
    }
    /// Lifts this host's cordon on a node; a cordon for all hosts stays. Returns the node's changed entry, if
    /// it is listed.
    ListUpdate uncordon(NodeId node) {
        const bool was_cordoned = host_cordoned_.erase(node) > 0;
        return update_for(node, was_cordoned && !is_cordoned(node));
    }
    /// Replaces the set of nodes that are cordoned on all hosts. Returns the changed entries of the listed
    /// nodes that entered or left the set.
    ListUpdate set_fleet_cordons(std::set<NodeId> nodes) {
        const std::set<NodeId> before = std::exchange(fleet_cordoned_, std::move(nodes));
        std::set<NodeId> candidates = before;
        candidates.insert(fleet_cordoned_.begin(), fleet_cordoned_.end());
        ListUpdate changes{ListUpdate::Kind::Changes, {}};
        for (const NodeId node : candidates) {
            if (before.contains(node) == fleet_cordoned_.contains(node))
                continue;
            const ListUpdate node_changes = update_for(node, !is_cordoned(node));
            changes.entries.insert(changes.entries.end(), node_changes.entries.begin(),
                                   node_changes.entries.end());
        }
        return changes;
    }

    /// All listed nodes, without the cordons applied.
    const std::map<NodeId, NodeEntry> &entries() const { return listed_; }
    /// The nodes that are cordoned on this host.
    const std::set<NodeId> &host_cordons() const { return host_cordoned_; }
    /// The nodes that are cordoned on all hosts.
    const std::set<NodeId> &fleet_cordons() const { return fleet_cordoned_; }

private:
    NodeEntry with_cordon(NodeEntry entry) const {
        if (is_cordoned(entry.node) && entry.state == NodeState::Ready)
            entry.state = NodeState::Draining;
        return entry;
    }
    /// An update with the entry of one node, or an empty one if the node is not listed. A node may have
    /// restarted while it was cordoned, and the endpoint list may not show that yet. `restored` therefore
    /// marks the entry of a node whose cordon has been lifted.
    ListUpdate update_for(NodeId node, bool restored) const {
        ListUpdate update{ListUpdate::Kind::Changes, {}};
        if (const auto found = listed_.find(node); found != listed_.end()) {
            update.entries.push_back(with_cordon(found->second));
            update.entries.back().restored = restored;
        }
        return update;
    }

    std::map<NodeId, NodeEntry> listed_;
    std::set<NodeId> host_cordoned_;  // cordoned on this host
    std::set<NodeId> fleet_cordoned_; // cordoned on all hosts
};

} // namespace marblewood::core
