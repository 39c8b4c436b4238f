/// \file
/// The nodes as the whole program knows them: what discovery reports and operators change reaches the node
/// ports and the dispatchers from here.
#pragma once

#include "core/endpoint_list.hpp"
#include "core/request_dispatcher.hpp"
#include "discovery/list_response.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/node_port.hpp"
#include "net/ports.hpp"
#include "net/resp/node_port.hpp"

namespace marblewood::net {

/// Used on the event loop's thread. What it is given by reference outlives it.
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

    /// From now on dispatchers get only nodes that `allows` accepts. To be called again whenever its answers
    /// may have changed.
    void set_node_filter(NodeFilter allows);

    /// An operator takes a node out of use here, or puts it back. False: no node has the id.
    bool cordon(const std::string &id);
    bool uncordon(const std::string &id);
    /// The nodes that are out of use on all brokers, by id, known here or not; replaces those given before.
    void set_fleet_cordons(const std::set<std::string> &ids);

    /// The state for a successor in a hot restart: the list, cordons, and what the dispatchers hand over.
    Json::Value handover_state() const;
    /// Takes over a parent process's state. Throws config::Error, with nothing changed, where it cannot be
    /// read.
    void restore(const Json::Value &state);
    /// A successor has the state: only requests already accepted are still sent. With `draining` false the
    /// successor has ended, and this process serves again.
    void drain_for_successor(bool draining);

    std::size_t size() const { return endpoints_.entries().size(); }
    std::size_t ready_nodes() const;   ///< which dispatchers know and may send to
    std::size_t avoided_nodes() const; ///< listed, and cordoned or avoided by a dispatcher
    std::size_t open_requests() const; ///< which still owe a final answer

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
    std::int64_t revision_ = 0;               ///< of the list
};

} // namespace marblewood::net
