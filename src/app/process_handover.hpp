/// \file
/// Replacing the process while it serves: the sending side, and taking the predecessor's clients over. See
/// docs/design.md.
#pragma once

#include "app/client_servers.hpp"
#include "app/predecessor.hpp"
#include "core/memory_budget.hpp"
#include "gossip/gossip_transport.hpp"
#include "hot_restart/hot_restart.hpp"
#include "net/endpoint_registry.hpp"
#include "net/sockets.hpp"

#include <functional>
#include <optional>
#include <string>

namespace marblewood::app {

/// Waits for a successor and hands over its state, its listening sockets and its RESP2 connections; NVMe/TCP
/// connections stay here until they close. Takes all back if the successor goes. Used on the loop's thread
/// alone; the references outlive it.
class ProcessHandover {
public:
    /// What is handed over.
    struct Parts {
        boost::asio::io_context &io;
        core::Deadlines &deadlines;
        net::SocketBudget &sockets;
        core::MemoryBudget &memory;
        net::EndpointRegistry &endpoints;
        ClientServers &clients;
        std::optional<gossip::GossipTransport> &peers;
        const QuiesceState &quiesce;
    };
    /// What operators told the successor; carried out here, too, while this process still has requests.
    struct OperatorActions {
        std::function<void(const std::string &node, bool cordoned)> cordon;
        std::function<void(bool active)> quiesce;
    };

    /// With an empty `path` there is no hot restart, and nothing happens.
    ProcessHandover(const std::string &path, Parts parts, OperatorActions actions);

    /// Takes over the clients of the predecessor, until it ends.
    void take_over(Predecessor &predecessor);
    /// Tells a predecessor that still has requests what an operator did here.
    void tell_predecessor_cordon(const std::string &node, bool cordoned);
    void tell_predecessor_quiesce(bool active);

    /// Whether a successor has taken over.
    bool has_successor() const { return hot_restart_ && hot_restart_->handed_over(); }
    /// Whether nothing waits to be sent to a successor.
    bool is_flushed() const { return !hot_restart_ || hot_restart_->all_sent(); }

private:
    hot_restart::ProcessHooks hooks();
    hot_restart::ParentState release_state();
    Json::Value state_for_successor() const;
    void hand_over_clients();
    void resume();
    void share_limits(bool shared, int clients_elsewhere);

    Parts parts_;
    OperatorActions actions_;
    std::optional<hot_restart::HotRestart> hot_restart_;
};

} // namespace marblewood::app
