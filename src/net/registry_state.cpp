#include "net/registry_state.hpp"

#include <fmt/format.h>

namespace marblewood::net {
namespace {

constexpr double kMicrosPerMilli = 1000;

Json::Int64 integer(Micros time) {
    return static_cast<Json::Int64>(time);
}

const std::string &name_of(NodeId node, const config::Names &nodes) {
    return nodes.text(static_cast<std::uint32_t>(node));
}

Json::Value encode_list(const RegistryState &state, const config::Names &nodes, const config::Names &zones) {
    Json::Value list;
    list["revision"] = static_cast<Json::Int64>(state.revision);
    list["complete"] = true;
    list["members"] = Json::arrayValue;
    for (const RegistryState::Node &node : state.nodes) {
        Json::Value row;
        row["id"] = name_of(node.entry.node, nodes);
        row["host_port"] = node.host_port;
        row["locality"] = zones.text(static_cast<std::uint32_t>(node.entry.zone));
        row["cell"] = static_cast<Json::Int64>(node.entry.shard);
        row["phase"] = node.entry.state == NodeState::Ready ? "up" : "draining";
        row["up_since_ms"] = static_cast<double>(node.entry.started) / kMicrosPerMilli;
        list["members"].append(std::move(row));
    }
    return list;
}

Json::Value encode_ids(const std::set<NodeId> &ids, const config::Names &nodes) {
    Json::Value list = Json::arrayValue;
    for (const NodeId node : ids)
        list.append(name_of(node, nodes));
    return list;
}

Json::Value encode_quota(const HandoverState::VolumeQuota &quota) {
    Json::Value row;
    row["volume"] = static_cast<Json::UInt64>(quota.volume);
    row["units"] = quota.units;
    row["lent"] = quota.lent;
    return row;
}

Json::Value encode_history(const HandoverState::NodeHistory &history, const config::Names &nodes) {
    Json::Value row;
    row["id"] = name_of(history.node, nodes);
    row["since"] = integer(history.slow_start_began);
    row["declared"] = history.start_listed;
    row["sum"] = history.latency_sum;
    row["weight"] = history.latency_weight;
    row["stamp"] = integer(history.latency_updated);
    row["spent"] = Json::arrayValue;
    for (const HandoverState::SlowStartSend &send : history.slow_start_sends) {
        Json::Value sent;
        sent["at"] = integer(send.at);
        sent["units"] = send.units;
        sent["layer"] = send.layer;
        row["spent"].append(std::move(sent));
    }
    return row;
}

const Json::Value &need_list(const Json::Value &object, const char *field) {
    const Json::Value &list = config::need(object, field);
    if (!list.isArray())
        throw config::Error(fmt::format("field '{}' is not a list", field));
    return list;
}

/// Returns `id` as text; throws if it is not a string. `field`: the list that holds it.
std::string need_id(const Json::Value &id, const char *field) {
    if (!id.isString())
        throw config::Error(fmt::format("field '{}' is not a list of ids", field));
    return id.asString();
}

HandoverState::VolumeQuota decode_quota(const Json::Value &row) {
    const Json::Value &volume = config::need(row, "volume");
    if (!volume.isUInt64())
        throw config::Error("field 'volume' is not a number");
    HandoverState::VolumeQuota quota;
    quota.volume = VolumeId{volume.asUInt64()};
    quota.units = config::need_number(row, "units");
    quota.lent = config::number_or(row, "lent", 0);
    return quota;
}

HandoverState::NodeHistory decode_history(const Json::Value &row, config::Names &nodes) {
    HandoverState::NodeHistory history;
    history.node = NodeId{nodes.number(config::need_text(row, "id"))};
    history.slow_start_began = config::need_integer(row, "since");
    history.start_listed = config::flag_or(row, "declared", false);
    history.latency_sum = config::need_number(row, "sum");
    history.latency_weight = config::need_number(row, "weight");
    history.latency_updated = config::need_integer(row, "stamp");
    for (const Json::Value &sent : need_list(row, "spent")) {
        HandoverState::SlowStartSend send;
        send.at = config::need_integer(sent, "at");
        send.units = config::need_number(sent, "units");
        send.layer = static_cast<int>(config::need_integer(sent, "layer"));
        history.slow_start_sends.push_back(send);
    }
    return history;
}

HandoverState decode_handover(const Json::Value &state, config::Names &nodes) {
    HandoverState handover;
    handover.started_at = config::need_integer(state, "born");
    for (const Json::Value &row : need_list(state, "limits"))
        handover.quotas.push_back(decode_quota(row));
    for (const Json::Value &row : need_list(state, "nodes"))
        handover.nodes.push_back(decode_history(row, nodes));
    return handover;
}

} // namespace

Json::Value encode(const RegistryState &state, const config::Names &nodes, const config::Names &zones) {
    Json::Value encoded;
    encoded["list"] = encode_list(state, nodes, zones);
    encoded["cordons"] = encode_ids(state.cordons, nodes);
    encoded["fleet_cordons"] = encode_ids(state.fleet_cordons, nodes);
    encoded["limits"] = Json::arrayValue;
    encoded["nodes"] = Json::arrayValue;
    for (const HandoverState &dispatcher : state.dispatchers) {
        encoded["born"] = integer(dispatcher.started_at);
        for (const HandoverState::VolumeQuota &quota : dispatcher.quotas)
            encoded["limits"].append(encode_quota(quota));
        for (const HandoverState::NodeHistory &history : dispatcher.nodes)
            encoded["nodes"].append(encode_history(history, nodes));
    }
    return encoded;
}

RestoredRegistryState decode_registry_state(const Json::Value &state, config::Names &nodes,
                                            config::Names &zones) {
    RestoredRegistryState decoded;
    decoded.list = discovery::decode_node_list(config::need(state, "list"), nodes, zones);
    for (const Json::Value &id : need_list(state, "cordons"))
        decoded.cordons.push_back(NodeId{nodes.number(need_id(id, "cordons"))});
    // Versions without fleet cordons do not write this field.
    const Json::Value fleet_cordons =
        state.isMember("fleet_cordons") ? state["fleet_cordons"] : Json::Value();
    for (const Json::Value &id : fleet_cordons)
        decoded.fleet_cordons.insert(need_id(id, "fleet_cordons"));
    decoded.handover = decode_handover(state, nodes);
    return decoded;
}

} // namespace marblewood::net
