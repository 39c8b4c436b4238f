/// \file
/// Responses of discovery, decoded from JSON. Documents and node lists have the same envelope, so
/// distributors can serve and read both.
#pragma once

#include "config/decode.hpp"

#include <string>
#include <vector>

namespace marblewood::discovery {

/// The revision of a caller that has no list; its first call requests the complete one.
constexpr std::int64_t kNoRevision = -1;

/// The address of one node as its entry has it: "host:port", not resolved.
struct NodeAddress {
    NodeId node{};
    std::string host_port;
};

/// One decoded response, not yet applied.
struct ListResponse {
    std::int64_t revision = 0;
    ListUpdate update;
    std::vector<NodeAddress> addresses;
    Json::Value members; ///< the entries as received, for forwarding
};

/// Decodes the fields that all responses have in common: the revision and whether it is complete. Checks that
/// there is a list of members. Throws config::Error.
ListResponse decode_envelope(const Json::Value &response);

/// Decodes a list of nodes: a response of discovery, or the field `known` of the configuration. Adds new
/// names to `nodes` and `zones`. Throws config::Error.
ListResponse decode_node_list(Json::Value response, config::Names &nodes, config::Names &zones);

} // namespace marblewood::discovery
