// What a real broker takes for each client connection, and for each volume: hollow clients that say PING, or
// ask once for each volume, of a broker process whose nodes don't answer.
#pragma once

#include "lab/scale/fleet_run.hpp"

namespace marblewood::lab::scale {

enum class ClientLoad { Connections, Volumes };

/// Figures: broker.memory_kb and broker.cpu_ms that `count` of them took, of one broker before `nodes` nodes.
Figures load_clients(ClientLoad kind, int count, int nodes, const Json::Value &settings, std::uint64_t seed,
                     const std::filesystem::path &folder);

} // namespace marblewood::lab::scale
