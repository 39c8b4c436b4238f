/// \file
/// The `nvme` section of the operator's file: the volumes that NVMe namespaces stand for, and the nodes that
/// speak NVMe/TCP.
#pragma once

#include "config/decode.hpp"

#include <map>

namespace marblewood::net::nvme {

/// A namespace that the front end offers. Its blocks are `blocks` data objects of a volume with consecutive
/// keys from `first_piece` on.
struct Namespace {
    VolumeId volume{};
    int plan = 0, read_class = 0, write_class = 0;
    Micros read_wait = 0, write_wait = 0; ///< relative deadlines
    ShardId shard{};
    int hosts = 1;
    double units = 1;
    std::uint64_t first_piece = 0, blocks = 0;
};

/// A node that speaks NVMe/TCP.
struct NodeMapping {
    std::string subsystem;
    std::uint32_t nsid = 1;
};

struct Mapping {
    std::string listen, subsystem; ///< of the front end; empty if there is none
    std::uint32_t block_bytes = 64 * 1024;
    std::map<std::uint32_t, Namespace> namespaces;
    std::map<std::string, NodeMapping> nodes; ///< by the node's id in discovery
};

/// Throws config::Error.
Mapping read_mapping(const Json::Value &nvme, const Settings &settings);

} // namespace marblewood::net::nvme
