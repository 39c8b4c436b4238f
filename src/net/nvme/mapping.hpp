// The operator's file says how namespaces stand for volumes, and which nodes speak NVMe/TCP.
#pragma once

#include "config/decode.hpp"

#include <map>

namespace marblewood::net::nvme {

// A namespace is a row of blocks; a block is one piece of data.
struct Namespace {
    VolumeId volume{};
    int plan = 0, read_class = 0, write_class = 0;
    Micros read_wait = 0, write_wait = 0; // deadlines
    ShardId shard{};
    int hosts = 1;
    double units = 1;
    std::uint64_t first_piece = 0, blocks = 0;
};

struct NodeMapping { // a node that speaks NVMe/TCP
    std::string subsystem;
    std::uint32_t nsid = 1;
};

struct Mapping {
    std::string listen, subsystem; // empty: no front
    std::uint32_t block_bytes = 64 * 1024;
    std::map<std::uint32_t, Namespace> namespaces;
    std::map<std::string, NodeMapping> nodes; // by discovery's id
};

Mapping read_mapping(const Json::Value &nvme, const Settings &settings); // throws config::Error

} // namespace marblewood::net::nvme
