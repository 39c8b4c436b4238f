/// \file
/// What a broker knows of the nodes, as it is handed to a successor in a hot restart. The JSON's names are
/// fixed: processes of different versions exchange it (tests/fixtures/hot_restart/).
#pragma once

#include "discovery/list_response.hpp"
#include "marblewood/events.hpp"

#include <set>
#include <string>
#include <vector>

namespace marblewood::net {

/// The state to encode. Nodes and zones are named by the caller's tables.
struct RegistryState {
    struct Node {
        NodeEntry entry;
        std::string host_port;
    };
    std::int64_t revision = 0; ///< of the endpoint list
    std::vector<Node> nodes;
    std::set<NodeId> cordons;       ///< of this broker
    std::set<NodeId> fleet_cordons; ///< of all brokers
    std::vector<HandoverState> dispatchers;
};

/// A decoded state.
struct RestoredRegistryState {
    discovery::ListResponse list;
    std::vector<NodeId> cordons;
    std::set<std::string> fleet_cordons; ///< ids
    HandoverState handover;              ///< for each dispatcher
};

Json::Value encode(const RegistryState &state, const config::Names &nodes, const config::Names &zones);

/// Numbers new names. Throws config::Error naming a field that is missing or wrong.
RestoredRegistryState decode_registry_state(const Json::Value &state, config::Names &nodes,
                                            config::Names &zones);

} // namespace marblewood::net
