/// \file
/// The broker's set of nodes. It applies the changes that discovery reports and operators make, and passes
/// them on to the node ports and the dispatchers.
#pragma once

#include "core/endpoint_list.hpp"
#include "core/request_dispatcher.hpp"
#include "discovery/list_response.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/node_port.hpp"
#include "net/ports.hpp"
#include "net/resp/node_port.hpp"

namespace marblewood::net {

/// Used on the event loop's thread. The objects passed by reference must outlive the registry.
class EndpointRegistry {
public:
    using Dispatchers = std::vector<std::unique_ptr<core::RequestDispatcher>>;
    using NodeFilter = std::function<bool(const std::string &id)>;

    EndpointRegistry(config::Names &names, config::Names &zones, const nvme::Mapping &mapping,
                     resp::NodePort &resp_port, nvme::NodePort &nvme_port, Ports &ports,
                     Dispatchers &dispatchers)
        : names_(names), zones_(zones), mapping_(mapping), resp_port_(resp_port), nvme_port_(nvme_port),
          ports_(ports), dispatchers_(dispatchers) {}

    /// Applies a list, or changes of it, from discovery or from storage.
    void apply(const discovery::ListResponse &list);

    /// Passes only nodes that `allows` accepts on to the dispatchers from now on. Must be called again
    /// whenever the results of `allows` may have changed.
    void set_node_filter(NodeFilter allows);

    /// Cordons a node on this broker for an operator, or ends that. False if no node has the id.
    bool cordon(const std::string &id);
    bool uncordon(const std::string &id);
    /// Replaces the set of nodes that are cordoned on all brokers, by id. This broker need not know the
    /// nodes.
    void set_fleet_cordons(const std::set<std::string> &ids);

    /// The state for the successor process in a hot restart: the endpoint list, the cordons, and the
    /// dispatchers' handover state.
    Json::Value handover_state() const;
    /// Applies the parent process's state. Throws config::Error and changes nothing if the state is invalid.
    void restore(const Json::Value &state);
    /// With `draining` true a successor process has the state, and the dispatchers send only requests already
    /// accepted. With `draining` false the successor has exited, and this process serves requests again.
    void drain_for_successor(bool draining);

    std::int64_t revision() const { return revision_; } ///< of the list in use
    std::size_t size() const { return endpoints_.entries().size(); }
    std::size_t ready_nodes() const;   ///< nodes that dispatchers know and may send to
    std::size_t avoided_nodes() const; ///< listed nodes that are cordoned or that a dispatcher avoids
    std::size_t open_requests() const; ///< requests without a final answer

private:
    std::optional<NodeId> find(const std::string &id) const;
    bool is_allowed(NodeId node) const;
    void set_address(const discovery::NodeAddress &address);
    void notify_dispatchers(ListUpdate update);
    void forget_removed_nodes();
    bool is_in_use(NodeId node) const;

    config::Names &names_;
    config::Names &zones_;
    const nvme::Mapping &mapping_;
    resp::NodePort &resp_port_;
    nvme::NodePort &nvme_port_;
    Ports &ports_;
    Dispatchers &dispatchers_;
    core::EndpointList endpoints_;
    NodeFilter allows_;
    std::map<NodeId, std::string> addresses_; ///< "host:port", as listed
    std::int64_t revision_ = 0;               ///< of the endpoint list
};

} // namespace marblewood::net
