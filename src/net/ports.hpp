/// \file
/// A node port that forwards each attempt to the port for the protocol of its node.
#pragma once

#include "core/node_port.hpp"

#include <map>

namespace marblewood::net {

/// Nodes use the default port unless set() names another one.
class Ports : public core::NodePort {
public:
    explicit Ports(core::NodePort &default_port) : default_port_(default_port) {}
    void set(NodeId node, core::NodePort &port) { ports_by_node_[node] = &port; }
    void forget(NodeId node) { ports_by_node_.erase(node); }

    boost::asio::awaitable<core::AttemptResult> run(std::shared_ptr<core::Attempt> attempt) override {
        core::NodePort &port = port_of(attempt->node);
        return port.run(std::move(attempt));
    }
    boost::asio::awaitable<core::ProbeResult> probe(NodeId node) override {
        return port_of(node).probe(node);
    }
    void close_idle(NodeId node) override { port_of(node).close_idle(node); }

private:
    core::NodePort &port_of(NodeId node) const {
        const auto it = ports_by_node_.find(node);
        return it == ports_by_node_.end() ? default_port_ : *it->second;
    }
    core::NodePort &default_port_;
    std::map<NodeId, core::NodePort *> ports_by_node_;
};

} // namespace marblewood::net
