/// \file
/// A broker's configuration: the file named by $BALANCER_CONFIG or on the command line, and the operator's
/// file.
#pragma once

#include "config/decode.hpp"

namespace marblewood::config {

struct Config {
    std::string name, listen, discovery, peer_listen, peers_all, control;
    std::vector<std::string> peers;
    int sockets = 1024;
    std::size_t memory_mb = 192;
    Json::Value known; ///< a list of nodes in the format of discovery's responses
    Settings settings; ///< of the scheduler
    Json::Value file;  ///< the whole file, to find out at a reload which fields have changed
};

/// The operator's file, which can add front ends, telemetry and dispatchers. The JSON parts are decoded by
/// the modules that use them.
struct Operator {
    int dispatchers = 1;
    bool lends = false; ///< lends units of the plans' rate limits to other brokers, and borrows from them
    Json::Value nvme, otlp, cells;
    Json::Value distribution; ///< decoded in config/distribution.hpp
};
/// Returns the defaults for an empty path. Throws Error naming the field.
Operator load_operator(const std::string &path);

/// Throws Error naming the field.
Config read_config(const Json::Value &root);
Config load(const std::string &path);
/// The contents of a file. Throws Error.
std::string read_text(const std::string &path);

} // namespace marblewood::config
