// The nodes as the whole program knows them: what discovery tells and operators change reaches ports and
// dispatchers from here.
#pragma once

#include "core/endpoint_list.hpp"
#include "core/request_dispatcher.hpp"
#include "discovery/list_response.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/node_port.hpp"
#include "net/ports.hpp"
#include "net/resp/node_port.hpp"

namespace marblewood::net {

class EndpointRegistry {
public:
    using Dispatchers = std::vector<std::unique_ptr<core::RequestDispatcher>>;
    EndpointRegistry(config::Names &names, config::Names &zones, const nvme::Mapping &mapping,
                     resp::NodePort &resp_port, nvme::NodePort &nvme_port, Ports &ports,
                     Dispatchers &dispatchers)
        : names_(names), zones_(zones), mapping_(mapping), resp_port_(resp_port), nvme_port_(nvme_port),
          ports_(ports), dispatchers_(dispatchers) {}

    void told(const discovery::ListResponse &reading);
    // From now on only nodes with an id that `allows` takes are told to the dispatchers. Called again
    // whenever its answers may have changed.
    void confine(std::function<bool(const std::string &id)> allows);
    std::size_t ready() const; // nodes that the dispatchers are told of and may send to
    // By hand. False: nobody has the id.
    bool cordon(const std::string &id);
    bool uncordon(const std::string &id);
    // The nodes that are out on all brokers, by id, known here or not; replaces those told before.
    void cordon_fleet(const std::set<std::string> &ids);

    // For a successor, and from a predecessor: the list, what is out by hand, what the module leaves. A state
    // that can't be read throws config::Error and changes nothing.
    Json::Value state() const;
    void inherit(const Json::Value &state);
    // A successor has the state; or, not `on`, it has gone.
    void retire(bool on);

    std::size_t size() const { return endpoints_.entries().size(); }
    std::size_t avoided() const; // listed, and out by hand or by a dispatcher's choice
    std::size_t open() const;    // requests that still owe an answer

private:
    std::optional<NodeId> find(const std::string &id) const;
    void tell(ListUpdate update);
    bool allowed(NodeId node) const {
        return !allows_ || allows_(names_.text(static_cast<std::uint32_t>(node)));
    }

    config::Names &names_, &zones_;
    const nvme::Mapping &mapping_;
    resp::NodePort &resp_port_;
    nvme::NodePort &nvme_port_;
    Ports &ports_;
    Dispatchers &dispatchers_;
    core::EndpointList endpoints_;
    std::function<bool(const std::string &)> allows_;
    std::map<NodeId, std::string> addresses_;
    std::int64_t revision_ = 0;
};

} // namespace marblewood::net
