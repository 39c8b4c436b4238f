/// \file
/// Responses of discovery: the decoded form, and how it is read from JSON. Documents and node lists share the
/// envelope, so distributors serve and read both.
#pragma once

#include "config/decode.hpp"

#include <string>
#include <vector>

namespace marblewood::discovery {

/// The address of one node, as its entry gives it ("host:port", not resolved).
struct NodeAddress {
    NodeId node{};
    std::string host_port;
};

/// One decoded response, not yet applied.
struct ListResponse {
    std::int64_t revision = 0;
    ListUpdate update;
    std::vector<NodeAddress> addresses;
    Json::Value members; ///< the entries as received, for those who forward them
};

/// Reads what every response begins with: its revision, whether it is complete, and that it has a list of
/// members. Throws config::Error.
ListResponse decode_envelope(const Json::Value &response);

/// Reads a list of nodes: a response of discovery, or `known` in the configuration. Numbers new names in
/// `nodes` and `zones`. Throws config::Error.
ListResponse decode_node_list(Json::Value response, config::Names &nodes, config::Names &zones);

} // namespace marblewood::discovery
