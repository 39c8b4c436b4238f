#include "net/endpoint_registry.hpp"

#include "net/address.hpp"

namespace marblewood::net {

void EndpointRegistry::told(const discovery::ListResponse &reading) {
    for (const auto &[node, at] : reading.addresses) {
        addresses_[node] = at;
        const auto where = endpoint<tcp::endpoint>(at);
        if (!where)
            continue;
        const auto special = mapping_.nodes.find(names_.text(static_cast<std::uint32_t>(node)));
        if (special == mapping_.nodes.end()) {
            resp_port_.place(node, *where);
        } else {
            nvme_port_.place(node, *where, special->second);
            ports_.set(node, nvme_port_);
        }
    }
    revision_ = reading.revision;
    tell(endpoints_.apply(reading.update));
    // Nodes are replaced for as long as this runs: those that are gone, with nothing out there, are
    // forgotten. One that is out by hand stays so if it is listed again.
    names_.forget_if([&](std::uint32_t number) {
        const NodeId node{number};
        if (endpoints_.is_cordoned(node) || endpoints_.is_listed(node))
            return false;
        for (const auto &dispatcher : dispatchers_)
            if (dispatcher->knows(node))
                return false;
        resp_port_.forget(node);
        nvme_port_.forget(node);
        ports_.forget(node);
        addresses_.erase(node);
        return true;
    });
}

void EndpointRegistry::tell(ListUpdate update) {
    std::erase_if(update.entries, [&](const NodeEntry &entry) { return !allowed(entry.node); });
    for (const auto &dispatcher : dispatchers_)
        dispatcher->update_endpoints(update);
}

void EndpointRegistry::confine(std::function<bool(const std::string &id)> allows) {
    allows_ = std::move(allows);
    ListUpdate all{ListUpdate::Kind::Full, {}};
    for (const auto &[node, entry] : endpoints_.entries()) {
        all.entries.push_back(entry);
        if (endpoints_.is_cordoned(node) && entry.state == NodeState::Ready)
            all.entries.back().state = NodeState::Draining;
    }
    tell(std::move(all));
}

std::size_t EndpointRegistry::ready() const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.entries().begin(), endpoints_.entries().end(), [&](const auto &listed) {
            return listed.second.state == NodeState::Ready && !endpoints_.is_cordoned(listed.first) &&
                   allowed(listed.first);
        }));
}

std::optional<NodeId> EndpointRegistry::find(const std::string &id) const {
    const auto number = names_.find(id);
    if (!number || !(endpoints_.is_listed(NodeId{*number}) || endpoints_.is_cordoned(NodeId{*number})))
        return std::nullopt;
    return NodeId{*number};
}
bool EndpointRegistry::cordon(const std::string &id) {
    const auto node = find(id);
    if (node)
        tell(endpoints_.cordon(*node));
    return node.has_value();
}
bool EndpointRegistry::uncordon(const std::string &id) {
    const auto node = find(id);
    if (node)
        tell(endpoints_.uncordon(*node));
    return node.has_value();
}

void EndpointRegistry::cordon_fleet(const std::set<std::string> &ids) {
    std::set<NodeId> nodes;
    for (const std::string &id : ids)
        nodes.insert(NodeId{names_.number(id)});
    tell(endpoints_.set_fleet_cordons(std::move(nodes)));
}

Json::Value EndpointRegistry::state() const {
    const auto name = [&](NodeId node) { return names_.text(static_cast<std::uint32_t>(node)); };
    Json::Value all;
    all["list"] = Json::objectValue;
    all["list"]["revision"] = static_cast<Json::Int64>(revision_);
    all["list"]["complete"] = true;
    all["list"]["members"] = all["cordons"] = all["limits"] = all["nodes"] = Json::arrayValue;
    all["fleet_cordons"] = Json::arrayValue;
    for (const auto &[node, entry] : endpoints_.entries()) {
        Json::Value row;
        row["id"] = name(node);
        row["host_port"] = addresses_.at(node);
        row["locality"] = zones_.text(static_cast<std::uint32_t>(entry.zone));
        row["cell"] = static_cast<Json::Int64>(entry.shard);
        row["phase"] = entry.state == NodeState::Ready ? "up" : "draining";
        row["up_since_ms"] = static_cast<double>(entry.started) / 1000;
        all["list"]["members"].append(std::move(row));
    }
    for (const NodeId node : endpoints_.cordons())
        all["cordons"].append(name(node));
    for (const NodeId node : endpoints_.fleet_cordons())
        all["fleet_cordons"].append(name(node));
    for (const auto &dispatcher : dispatchers_) {
        const HandoverState handover = dispatcher->handover_state();
        all["born"] = static_cast<Json::Int64>(handover.started_at);
        for (const HandoverState::VolumeQuota &s : handover.quotas) {
            Json::Value row;
            row["volume"] = static_cast<Json::UInt64>(s.volume);
            row["units"] = s.units;
            row["lent"] = s.lent;
            all["limits"].append(std::move(row));
        }
        for (const HandoverState::NodeHistory &s : handover.nodes) {
            Json::Value row;
            row["id"] = name(s.node);
            row["since"] = static_cast<Json::Int64>(s.slow_start_began);
            row["declared"] = s.start_listed;
            row["sum"] = s.latency_sum;
            row["weight"] = s.latency_weight;
            row["stamp"] = static_cast<Json::Int64>(s.latency_updated);
            row["spent"] = Json::arrayValue;
            for (const HandoverState::SlowStartSend &spent : s.slow_start_sends) {
                Json::Value one;
                one["at"] = static_cast<Json::Int64>(spent.at);
                one["units"] = spent.units;
                one["layer"] = spent.layer;
                row["spent"].append(std::move(one));
            }
            all["nodes"].append(std::move(row));
        }
    }
    return all;
}

void EndpointRegistry::inherit(const Json::Value &state) {
    using namespace config;
    const auto rows = [&](const Json::Value &of, const char *field) -> const Json::Value & {
        const Json::Value &found = need(of, field);
        if (!found.isArray())
            throw Error(std::string("field '") + field + "' is not a list");
        return found;
    };
    const auto list = discovery::decode_node_list(need(state, "list"), names_, zones_);
    std::vector<NodeId> out;
    for (const Json::Value &id : rows(state, "cordons")) {
        if (!id.isString())
            throw Error("field 'cordons' is not a list of ids");
        out.push_back(NodeId{names_.number(id.asString())});
    }
    std::set<std::string> fleet_out; // a predecessor from before has none
    for (const Json::Value &id : state.isMember("fleet_cordons") ? state["fleet_cordons"] : Json::Value()) {
        if (!id.isString())
            throw Error("field 'fleet_cordons' is not a list of ids");
        fleet_out.insert(id.asString());
    }
    HandoverState handover;
    handover.started_at = need_integer(state, "born");
    for (const Json::Value &row : rows(state, "limits")) {
        const Json::Value &volume = need(row, "volume");
        if (!volume.isUInt64())
            throw Error("field 'volume' is not a number");
        handover.quotas.push_back(
            {VolumeId{volume.asUInt64()}, need_number(row, "units"), {}, number_or(row, "lent", 0)});
    }
    for (const Json::Value &row : rows(state, "nodes")) {
        handover.nodes.push_back({NodeId{names_.number(need_text(row, "id"))},
                                  need_integer(row, "since"),
                                  flag_or(row, "declared", false),
                                  {},
                                  need_number(row, "sum"),
                                  need_number(row, "weight"),
                                  need_integer(row, "stamp")});
        for (const Json::Value &one : rows(row, "spent"))
            handover.nodes.back().slow_start_sends.push_back({need_integer(one, "at"),
                                                              need_number(one, "units"),
                                                              static_cast<int>(need_integer(one, "layer"))});
    }
    for (const NodeId node : out)
        tell(endpoints_.cordon(node));
    cordon_fleet(fleet_out);
    told(list);
    for (const auto &dispatcher : dispatchers_)
        dispatcher->restore(handover);
}

void EndpointRegistry::retire(bool on) {
    for (const auto &dispatcher : dispatchers_)
        dispatcher->drain_for_successor(on);
    if (!on)
        return;
    for (const auto &[node, entry] : endpoints_.entries())
        ports_.close_idle(node);
}

std::size_t EndpointRegistry::avoided() const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.entries().begin(), endpoints_.entries().end(), [&](const auto &listed) {
            return std::any_of(dispatchers_.begin(), dispatchers_.end(),
                               [&](const auto &dispatcher) { return dispatcher->is_avoided(listed.first); });
        }));
}
std::size_t EndpointRegistry::open() const {
    std::size_t all = 0;
    for (const auto &dispatcher : dispatchers_)
        all += dispatcher->unanswered();
    return all;
}

} // namespace marblewood::net
