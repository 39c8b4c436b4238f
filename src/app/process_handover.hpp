/// \file
/// Replacement of the process while it serves (hot restart): the sending side, and the takeover of the
/// predecessor's clients. See docs/design.md.
#pragma once

#include "app/client_servers.hpp"
#include "app/predecessor.hpp"
#include "config/config.hpp"
#include "core/memory_budget.hpp"
#include "discovery/discovery_client.hpp"
#include "gossip/gossip_transport.hpp"
#include "hot_restart/hot_restart.hpp"
#include "net/endpoint_registry.hpp"
#include "net/sockets.hpp"

#include <functional>
#include <optional>
#include <string>

namespace marblewood::app {

/// Waits for a successor and hands over this process's state, listening sockets and RESP2 connections;
/// NVMe/TCP connections stay in this process until they close. If the successor exits, this process serves
/// again. Used only on the event loop's thread; the references must outlive this object.
class ProcessHandover {
public:
    /// The parts of the broker that a handover involves.
    struct Parts {
        boost::asio::io_context &io;
        core::Deadlines &deadlines;
        net::SocketBudget &sockets;
        core::MemoryBudget &memory;
        net::EndpointRegistry &endpoints;
        ClientServers &clients;
        std::optional<gossip::GossipTransport> &peers;
        std::optional<discovery::DiscoveryClient> &discovery;
        const QuiesceState &quiesce;
        const config::Config &config;
    };
    /// Executes the operator commands that the successor has received and forwards; they also apply to this
    /// process while it still has requests. A reload also comes from the predecessor.
    struct OperatorActions {
        std::function<void(const std::string &node, bool cordoned)> cordon;
        std::function<void(bool active)> quiesce;
        std::function<void()> reload;
    };

    /// An empty `path` disables hot restart: all functions then have no effect.
    ProcessHandover(const std::string &path, Parts parts, OperatorActions actions);

    /// Starts to take over the predecessor's clients, until the predecessor exits.
    void take_over(Predecessor &predecessor);
    /// Forwards an operator command to the predecessor, if one is still running.
    void forward_cordon_to_predecessor(const std::string &node, bool cordoned);
    void forward_quiesce_to_predecessor(bool active);
    /// Has the other processes that serve the same broker reload their configuration.
    void forward_reload();

    /// Passes a list that discovery has told this process of on to the others that serve the same broker.
    void relay_list(const discovery::RelayedList &list);

    /// Hands the calls to discovery that are not answered yet to the successor, if there is one. From then on
    /// this process is told of no more changes by discovery.
    void hand_over_discovery_calls();

    /// Whether a successor has taken over.
    bool has_successor() const { return hot_restart_ && hot_restart_->handed_over(); }
    /// Whether nothing is queued for sending to a successor.
    bool is_flushed() const { return !hot_restart_ || hot_restart_->all_sent(); }

private:
    hot_restart::ProcessHooks hooks();
    hot_restart::ParentState release_state();
    Json::Value state_for_successor() const;
    void hand_over_clients();
    void resume();
    void share_limits(bool shared, int clients_elsewhere);
    void share_request_ids(bool shared);
    void adopt_discovery_call(const std::string &text, net::Descriptor connection);
    void trim_heap();

    Parts parts_;
    OperatorActions actions_;
    std::optional<hot_restart::HotRestart> hot_restart_;
    core::Deadlines::Entry trim_timer_;
    std::size_t clients_sent_ = 0; // to successors
};

} // namespace marblewood::app
