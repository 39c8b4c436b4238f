/// \file
/// Replacing the process while it serves: the sending side, and taking the predecessor's clients over. See
/// docs/design.md.
#pragma once

#include "app/client_servers.hpp"
#include "app/predecessor.hpp"
#include "core/memory_budget.hpp"
#include "net/endpoint_registry.hpp"
#include "net/handover/handover.hpp"
#include "net/peers/peers.hpp"
#include "net/sockets.hpp"

#include <functional>
#include <optional>
#include <string>

namespace marblewood::app {

/// Waits for a successor, hands everything over to it, and takes it back if the successor goes. Used on the
/// loop's thread alone; the references outlive it.
class HotRestart {
public:
    /// What is handed over.
    struct Parts {
        boost::asio::io_context &io;
        core::Deadlines &deadlines;
        net::SocketBudget &sockets;
        core::MemoryBudget &memory;
        net::EndpointRegistry &endpoints;
        ClientServers &clients;
        std::optional<net::peers::Peers> &peers;
        const QuiesceState &quiesce;
    };
    /// What operators told the successor; carried out here, too, while this process still has requests.
    struct OperatorActions {
        std::function<void(const std::string &node, bool cordoned)> cordon;
        std::function<void(bool active)> quiesce;
    };

    /// With an empty `path` there is no hot restart, and nothing happens.
    HotRestart(const std::string &path, Parts parts, OperatorActions actions);

    /// Takes over the clients of the predecessor, until it ends.
    void take_over(Predecessor &predecessor);
    /// Tells a predecessor that still has requests what an operator did here.
    void tell_predecessor_cordon(const std::string &node, bool cordoned);
    void tell_predecessor_quiesce(bool active);

    /// Whether a successor has taken over.
    bool has_yielded() const { return handover_ && handover_->yielded(); }
    /// Whether nothing waits to be sent to a successor.
    bool is_flushed() const { return !handover_ || handover_->sent(); }

private:
    net::handover::Handover::Program callbacks();
    net::handover::Inheritance yield_to_successor();
    Json::Value state_for_successor() const;
    void pass_clients_on();
    void serve_again();
    void share_limits(bool shared, int clients_elsewhere);

    Parts parts_;
    OperatorActions actions_;
    std::optional<net::handover::Handover> handover_;
};

} // namespace marblewood::app
