// Sends each attempt to the port that speaks its node's wire.
#pragma once

#include "core/node_port.hpp"

#include <map>

namespace marblewood::net {

class Ports : public core::NodePort {
public:
    explicit Ports(core::NodePort &usual) : usual_(usual) {}
    void set(NodeId node, core::NodePort &port) { special_[node] = &port; }
    void forget(NodeId node) { special_.erase(node); }

    boost::asio::awaitable<core::AttemptResult> run(std::shared_ptr<core::Attempt> attempt) override {
        core::NodePort &port = of(attempt->node);
        return port.run(std::move(attempt));
    }
    boost::asio::awaitable<core::ProbeResult> probe(NodeId node) override { return of(node).probe(node); }
    void close_idle(NodeId node) override { of(node).close_idle(node); }

private:
    core::NodePort &of(NodeId node) const {
        const auto it = special_.find(node);
        return it == special_.end() ? usual_ : *it->second;
    }
    core::NodePort &usual_;
    std::map<NodeId, core::NodePort *> special_;
};

} // namespace marblewood::net
