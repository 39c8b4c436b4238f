#include "discovery/list_response.hpp"

#include <utility>

namespace marblewood::discovery {

ListResponse decode_envelope(const Json::Value &response) {
    ListResponse decoded;
    decoded.revision = config::need_integer(response, "revision");
    decoded.update.kind =
        config::flag_or(response, "complete", false) ? ListUpdate::Kind::Full : ListUpdate::Kind::Changes;
    if (!config::need(response, "members").isArray())
        throw config::Error("field 'members' is not a list");
    return decoded;
}

ListResponse decode_node_list(Json::Value response, config::Names &nodes, config::Names &zones) {
    ListResponse decoded = decode_envelope(response);
    for (const Json::Value &row : response["members"]) {
        const NodeEntry entry = config::read_entry(row, config::kDiscoveryEntry, nodes, zones);
        decoded.addresses.push_back({entry.node, config::text_or(row, "host_port", "")});
        decoded.update.entries.push_back(entry);
    }
    decoded.members = std::move(response["members"]);
    return decoded;
}

} // namespace marblewood::discovery
