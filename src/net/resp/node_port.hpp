/// \file
/// Runs attempts at nodes that speak RESP2, or at other brokers, whose responses are those that clients get.
#pragma once

#include "core/node_port.hpp"
#include "marblewood/settings.hpp"
#include "net/pool.hpp"
#include "net/resp/parser.hpp"

namespace marblewood::net::resp {

/// Uses one pooled connection for each attempt.
class NodePort : public core::NodePort {
public:
    /// Whom the port sends requests to.
    enum class Peers { Nodes, Brokers };
    NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
             SocketBudget &budget, const Settings &settings, Peers peers = Peers::Nodes);
    /// Sets or changes the address of a node.
    void place(NodeId node, const tcp::endpoint &address);
    /// Removes a node that is no longer in the endpoint list, and closes its idle connections. The node must
    /// have no attempt in progress.
    void forget(NodeId node);

    asio::awaitable<core::AttemptResult> run(std::shared_ptr<core::Attempt> attempt) override;
    asio::awaitable<core::ProbeResult> probe(NodeId node) override;
    void close_idle(NodeId node) override;

private:
    asio::awaitable<bool> wait_until_reusable(NodeConnection &connection);
    asio::awaitable<std::shared_ptr<NodeConnection>> connect(tcp::endpoint to, core::Attempt &attempt);
    void give_back(NodeId node, const tcp::endpoint &to, std::shared_ptr<NodeConnection> connection);
    asio::awaitable<bool> write_command(NodeConnection &connection, const core::Attempt &attempt);
    std::string encode_command(const core::Attempt &attempt) const;

    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    core::MemoryBudget &memory_;
    Settings settings_;
    Peers peers_;
    Pool pool_;
    std::map<NodeId, tcp::endpoint> addresses_;
};

} // namespace marblewood::net::resp
