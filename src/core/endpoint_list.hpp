// The list of nodes as discovery tells it, and what operators have taken out by hand, laid over every update:
// whoever is told of the nodes sees those as draining.
#pragma once

#include "marblewood/scheduler.hpp"

#include <map>
#include <set>
#include <utility>

namespace marblewood::core {

class EndpointList {
public:
    ListUpdate lay(ListUpdate update) {
        using Kind = ListUpdate::Kind;
        if (update.kind != Kind::Changes)
            listed_.clear();
        for (NodeEntry &entry : update.entries) {
            if (entry.state == NodeState::Gone)
                listed_.erase(entry.node);
            else
                listed_[entry.node] = entry;
            entry = seen(entry);
        }
        return update;
    }
    bool listed(NodeId node) const { return listed_.count(node) > 0; }
    bool cordoned(NodeId node) const { return out_.contains(node) || fleet_out_.contains(node); }
    // What the call changes for those who are told of the nodes.
    ListUpdate cordon(NodeId node) {
        out_.insert(node);
        return change(node, false);
    }
    ListUpdate uncordon(NodeId node) { return change(node, out_.erase(node) > 0 && !cordoned(node)); }
    // The nodes that are out on all brokers, beside those that are out here by hand.
    ListUpdate cordon_fleet(std::set<NodeId> nodes) {
        ListUpdate all{ListUpdate::Kind::Changes, {}};
        std::set<NodeId> touched = nodes;
        touched.insert(fleet_out_.begin(), fleet_out_.end());
        const std::set<NodeId> before = std::exchange(fleet_out_, std::move(nodes));
        for (const NodeId node : touched) {
            if (before.contains(node) == fleet_out_.contains(node))
                continue;
            const ListUpdate one = change(node, !cordoned(node));
            all.entries.insert(all.entries.end(), one.entries.begin(), one.entries.end());
        }
        return all;
    }

    const std::map<NodeId, NodeEntry> &entries() const { return listed_; }
    const std::set<NodeId> &out() const { return out_; }
    const std::set<NodeId> &fleet_out() const { return fleet_out_; }

private:
    NodeEntry seen(NodeEntry entry) const {
        if (cordoned(entry.node) && entry.state == NodeState::Ready)
            entry.state = NodeState::Draining;
        return entry;
    }
    // A node that comes back has been restarted meanwhile, for all that can be known: discovery is late.
    ListUpdate change(NodeId node, bool returned) const {
        ListUpdate update{ListUpdate::Kind::Changes, {}};
        if (const auto at = listed_.find(node); at != listed_.end()) {
            update.entries.push_back(seen(at->second));
            update.entries.back().restored = returned;
        }
        return update;
    }

    std::map<NodeId, NodeEntry> listed_; // as discovery says
    std::set<NodeId> out_;               // by hand; also those that are not listed at present
    std::set<NodeId> fleet_out_;         // on all brokers; the same
};

} // namespace marblewood::core
