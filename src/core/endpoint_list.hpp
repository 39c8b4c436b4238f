/// \file
/// The nodes as the endpoint list has them, with the operators' cordons applied.
#pragma once

#include "marblewood/events.hpp"

#include <map>
#include <set>
#include <utility>

namespace marblewood::core {

/// Keeps the endpoint list and the nodes that operators have cordoned. A cordoned node that is listed as
/// ready appears as draining in every update that this class returns. Cordons hold for nodes that are not
/// listed, too, until they are lifted.
class EndpointList {
public:
    /// Takes in an update of the endpoint list; returns it with the cordons applied.
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
    bool is_cordoned(NodeId node) const { return cordoned_.contains(node) || fleet_cordoned_.contains(node); }

    /// Cordons a node on this host; returns the changes that follow.
    ListUpdate cordon(NodeId node) {
        cordoned_.insert(node);
        return changes_of(node, false);
    }
    /// Lifts this host's cordon; a cordon over all hosts stays. Returns the changes that follow.
    ListUpdate uncordon(NodeId node) {
        const bool was_cordoned = cordoned_.erase(node) > 0;
        return changes_of(node, was_cordoned && !is_cordoned(node));
    }
    /// Replaces the nodes that are cordoned on all hosts; returns the changes that follow.
    ListUpdate set_fleet_cordons(std::set<NodeId> nodes) {
        const std::set<NodeId> before = std::exchange(fleet_cordoned_, std::move(nodes));
        std::set<NodeId> candidates = before;
        candidates.insert(fleet_cordoned_.begin(), fleet_cordoned_.end());
        ListUpdate changes{ListUpdate::Kind::Changes, {}};
        for (const NodeId node : candidates) {
            if (before.contains(node) == fleet_cordoned_.contains(node))
                continue;
            const ListUpdate one = changes_of(node, !is_cordoned(node));
            changes.entries.insert(changes.entries.end(), one.entries.begin(), one.entries.end());
        }
        return changes;
    }

    /// All listed nodes, without the cordons.
    const std::map<NodeId, NodeEntry> &entries() const { return listed_; }
    /// The nodes that are cordoned on this host.
    const std::set<NodeId> &cordons() const { return cordoned_; }
    /// The nodes that are cordoned on all hosts.
    const std::set<NodeId> &fleet_cordons() const { return fleet_cordoned_; }

private:
    NodeEntry with_cordon(NodeEntry entry) const {
        if (is_cordoned(entry.node) && entry.state == NodeState::Ready)
            entry.state = NodeState::Draining;
        return entry;
    }
    /// The entry of one node, if it is listed. A node whose cordon was lifted may have restarted meanwhile,
    /// and the endpoint list may not show that yet: it is marked as restored.
    ListUpdate changes_of(NodeId node, bool restored) const {
        ListUpdate update{ListUpdate::Kind::Changes, {}};
        if (const auto found = listed_.find(node); found != listed_.end()) {
            update.entries.push_back(with_cordon(found->second));
            update.entries.back().restored = restored;
        }
        return update;
    }

    std::map<NodeId, NodeEntry> listed_;
    std::set<NodeId> cordoned_;       // on this host
    std::set<NodeId> fleet_cordoned_; // on all hosts
};

} // namespace marblewood::core
