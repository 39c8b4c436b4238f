// Runs attempts at nodes that speak RESP2, or at other brokers, which answer as clients are answered.
#pragma once

#include "core/node_port.hpp"
#include "marblewood/settings.hpp"
#include "net/pool.hpp"
#include "net/resp/parser.hpp"

namespace marblewood::net::resp {

class NodePort : public core::NodePort {
public:
    enum class Peers { Nodes, Brokers };
    NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
             SocketBudget &budget, const Settings &settings, Peers peers = Peers::Nodes);
    void place(NodeId node, const tcp::endpoint &address);
    void forget(NodeId node); // it is gone, and nothing is out there

    asio::awaitable<core::AttemptResult> run(std::shared_ptr<core::Attempt> attempt) override;
    asio::awaitable<core::ProbeResult> probe(NodeId node) override;
    void close_idle(NodeId node) override;

private:
    asio::awaitable<bool> settled(Wire &wire); // false: it is of no more use
    asio::awaitable<std::shared_ptr<Wire>> connect(tcp::endpoint to, core::Attempt &attempt);
    void give_back(NodeId node, const tcp::endpoint &to, std::shared_ptr<Wire> wire);
    std::string spell(const core::Attempt &attempt) const;

    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    core::MemoryBudget &memory_;
    Settings settings_;
    Peers peers_;
    Pool pool_;
    std::map<NodeId, tcp::endpoint> addresses_;
};

} // namespace marblewood::net::resp
