/// \file
/// The JSON encoding of the registry's state, which a process hands to its successor in a hot restart. The
/// field names are fixed, because processes of different versions exchange it (tests/fixtures/hot_restart/).
#pragma once

#include "discovery/list_response.hpp"
#include "marblewood/events.hpp"

#include <set>
#include <string>
#include <vector>

namespace marblewood::net {

/// The state to encode. Nodes and zones are numbers of the caller's name tables.
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
    HandoverState handover;              ///< to be restored by every dispatcher
};

Json::Value encode(const RegistryState &state, const config::Names &nodes, const config::Names &zones);

/// Adds names that `nodes` and `zones` lack. Throws config::Error, which names the field, if a field is
/// missing or invalid.
RestoredRegistryState decode_registry_state(const Json::Value &state, config::Names &nodes,
                                            config::Names &zones);

} // namespace marblewood::net
