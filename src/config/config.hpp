// What a broker is told: $BALANCER_CONFIG, or a file named on the command line.
#pragma once

#include "config/decode.hpp"

namespace marblewood::config {

struct Config {
    std::string name, listen, discovery, peer_listen, peers_all, control;
    std::vector<std::string> peers;
    int sockets = 1024;
    std::size_t memory_mb = 192;
    Json::Value known; // in discovery's form
    Settings settings; // the module's own
    Json::Value file;  // as written, to tell at a reload what has changed
};

// What an operator may add in a file of his own: more fronts, telemetry, more planners. Each part is decoded
// by those who use it.
struct Operator {
    int dispatchers = 1;
    bool lends = false; // units of plans' limits to other brokers, and borrows
    Json::Value nvme, otlp, cells;
    Json::Value distribution; // see config/distribution.hpp
};
Operator load_operator(const std::string &path); // an empty path: nothing added

Config read_config(const Json::Value &root); // throws Error naming the field
Config load(const std::string &path);
std::string read_text(const std::string &path); // a whole file; throws Error

} // namespace marblewood::config
