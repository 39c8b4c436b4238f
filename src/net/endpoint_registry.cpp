#include "net/endpoint_registry.hpp"

#include "net/address.hpp"
#include "net/registry_state.hpp"

namespace marblewood::net {

void EndpointRegistry::apply(const discovery::ListResponse &list) {
    for (const discovery::NodeAddress &address : list.addresses)
        set_address(address);
    revision_ = list.revision;
    notify_dispatchers(endpoints_.apply(list.update));
    forget_removed_nodes();
}

void EndpointRegistry::set_address(const discovery::NodeAddress &address) {
    const NodeId node = address.node;
    addresses_[node] = address.host_port;
    const auto resolved = endpoint<tcp::endpoint>(address.host_port);
    if (!resolved)
        return;
    const auto nvme_node = mapping_.nodes.find(names_.text(static_cast<std::uint32_t>(node)));
    if (nvme_node == mapping_.nodes.end()) {
        resp_port_.place(node, *resolved);
        return;
    }
    nvme_port_.place(node, *resolved, nvme_node->second);
    ports_.set(node, nvme_port_);
}

// Without this the tables would grow without bound if nodes are replaced throughout the life of the process.
void EndpointRegistry::forget_removed_nodes() {
    names_.forget_if([&](std::uint32_t number) {
        const NodeId node{number};
        if (is_in_use(node))
            return false;
        resp_port_.forget(node);
        nvme_port_.forget(node);
        ports_.forget(node);
        addresses_.erase(node);
        return true;
    });
}

// A cordoned node counts as in use, so that it stays cordoned if it is listed again.
bool EndpointRegistry::is_in_use(NodeId node) const {
    if (endpoints_.is_cordoned(node) || endpoints_.is_listed(node))
        return true;
    return std::any_of(dispatchers_.begin(), dispatchers_.end(),
                       [&](const auto &dispatcher) { return dispatcher->is_known_node(node); });
}

void EndpointRegistry::notify_dispatchers(ListUpdate update) {
    std::erase_if(update.entries, [&](const NodeEntry &entry) { return !is_allowed(entry.node); });
    for (const auto &dispatcher : dispatchers_)
        dispatcher->update_endpoints(update);
}

bool EndpointRegistry::is_allowed(NodeId node) const {
    return !allows_ || allows_(names_.text(static_cast<std::uint32_t>(node)));
}

void EndpointRegistry::set_node_filter(NodeFilter allows) {
    allows_ = std::move(allows);
    ListUpdate complete{ListUpdate::Kind::Full, {}};
    for (const auto &[node, listed] : endpoints_.entries()) {
        NodeEntry entry = listed;
        if (endpoints_.is_cordoned(node) && entry.state == NodeState::Ready)
            entry.state = NodeState::Draining;
        complete.entries.push_back(entry);
    }
    notify_dispatchers(std::move(complete));
}

std::optional<NodeId> EndpointRegistry::find(const std::string &id) const {
    const auto number = names_.find(id);
    if (!number)
        return std::nullopt;
    const NodeId node{*number};
    if (!endpoints_.is_listed(node) && !endpoints_.is_cordoned(node))
        return std::nullopt;
    return node;
}

bool EndpointRegistry::cordon(const std::string &id) {
    const auto node = find(id);
    if (node)
        notify_dispatchers(endpoints_.cordon(*node));
    return node.has_value();
}

bool EndpointRegistry::uncordon(const std::string &id) {
    const auto node = find(id);
    if (node)
        notify_dispatchers(endpoints_.uncordon(*node));
    return node.has_value();
}

void EndpointRegistry::set_fleet_cordons(const std::set<std::string> &ids) {
    std::set<NodeId> nodes;
    for (const std::string &id : ids)
        nodes.insert(NodeId{names_.number(id)});
    notify_dispatchers(endpoints_.set_fleet_cordons(std::move(nodes)));
}

Json::Value EndpointRegistry::handover_state() const {
    RegistryState state;
    state.revision = revision_;
    for (const auto &[node, entry] : endpoints_.entries())
        state.nodes.push_back({entry, addresses_.at(node)});
    state.cordons = endpoints_.host_cordons();
    state.fleet_cordons = endpoints_.fleet_cordons();
    for (const auto &dispatcher : dispatchers_)
        state.dispatchers.push_back(dispatcher->handover_state());
    return encode(state, names_, zones_);
}

void EndpointRegistry::restore(const Json::Value &state) {
    const RestoredRegistryState restored = decode_registry_state(state, names_, zones_);
    for (const NodeId node : restored.cordons)
        notify_dispatchers(endpoints_.cordon(node));
    set_fleet_cordons(restored.fleet_cordons);
    apply(restored.list);
    for (const auto &dispatcher : dispatchers_)
        dispatcher->restore(restored.handover);
}

void EndpointRegistry::drain_for_successor(bool draining) {
    for (const auto &dispatcher : dispatchers_)
        dispatcher->drain_for_successor(draining);
    if (!draining)
        return;
    for (const auto &[node, entry] : endpoints_.entries())
        ports_.close_idle(node);
}

std::size_t EndpointRegistry::ready_nodes() const {
    const auto is_ready = [&](const auto &listed) {
        const auto &[node, entry] = listed;
        return entry.state == NodeState::Ready && !endpoints_.is_cordoned(node) && is_allowed(node);
    };
    const auto &entries = endpoints_.entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), is_ready));
}

std::size_t EndpointRegistry::avoided_nodes() const {
    const auto is_avoided = [&](const auto &listed) {
        return std::any_of(dispatchers_.begin(), dispatchers_.end(),
                           [&](const auto &dispatcher) { return dispatcher->is_avoided(listed.first); });
    };
    const auto &entries = endpoints_.entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), is_avoided));
}

std::size_t EndpointRegistry::open_requests() const {
    std::size_t open = 0;
    for (const auto &dispatcher : dispatchers_)
        open += dispatcher->unanswered();
    return open;
}

} // namespace marblewood::net
