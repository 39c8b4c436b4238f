// An experiment: what stands, what is asked of it, what goes wrong, and what must hold. Read from a JSON
// file, checked against a schema. Times are in seconds from the start of the load.
#pragma once

#include "config/decode.hpp"

#include <map>
#include <set>

namespace marblewood::lab {

struct NodeModel {
    int cores = 2;
    double unit_ms = 2;  // work of one unit on one core, on the mean
    double sigma = 0.35; // of its logarithm
    int queue = 64;      // requests that wait, beyond which it turns away
    double slow_start_initial_fraction = 0.18,
           cold_s = 17;   // part of its speed after a start, and until when it grows to 1
    double put_off = 0.1; // part of the writes answered before most of their work
    double capacity() const { return cores / unit_ms * 1000; } // units a second
};

struct VolumeKind {
    std::string plan;
    int count = 1;
    double rate = 10;    // requests a second of each
    double units = 2;    // of a request, on the mean
    double writes = 0.2; // part of the requests
    double busiest = 0;  // part of the requests that come through one of its brokers, the others evenly
    double shift_s = 0;  // after which that is another; 0: never
};

struct Surge {
    double at = 0, length = 0;
    int cell = 0; // one of the volumes that live there at the start
    std::string plan;
    double times = 5; // the whole cell's usual rate
};

struct Fault {
    double at = 0, length = 0;
    // datagrams: between brokers `from` and `to` they are lost, doubled and late; cut: none pass from `from`
    // to `to`; cut-nodes: streams from brokers `from` to nodes `to` fall silent; break-streams: those are
    // reset; slow-node: `times` slower; restart-nodes: all of `to` at once; kill-keeper, stop-keeper,
    // stop-broker, restart-broker, drain-cell, drain-node, restart-node, pause-node; silence-lists: discovery
    // takes calls and answers none; move-surging: the first surge's volume moves to `cell`
    std::string what;
    int cell = 0, index = 0;
    std::set<int> from = {}, to = {}; // empty: all
    double lost = 0, doubled = 0, late_least = 0, late_most = 0, times = 1;
};

struct Check {
    std::string name, metric;
    std::optional<double> least, most;
};

/// Throws config::Error where a check has no bound.
std::vector<Check> read_checks(const Json::Value &rows);

struct Experiment {
    std::string name;
    double seconds = 10, settle = 5; // of load; before the first of it that counts
    int cells = 3, brokers = 2, nodes = 2, spread = 2;
    bool forward = true;
    bool peers = false;  // brokers of a cell may send one another datagrams, through the relay
    bool relay = false;  // streams to nodes pass through it, too
    bool shards = false; // each node of a cell holds a shard of its own
    double list_least = 0, list_most = 0; // until a change reaches a broker's agent, where lists are pushed
    NodeModel node;
    std::vector<VolumeKind> volumes;
    std::vector<Surge> surges;
    std::vector<Fault> faults;
    int moves = 0;
    double moves_from = 0, moves_to = 0;
    std::vector<std::string>
        without; // of a first run to compare with: surges, faults, moves, talk; empty: no such run
    std::vector<Check> checks;
    Json::Value settings; // the brokers'
};

// Throws config::Error naming field and line.
Experiment read_experiment(const std::string &text);

} // namespace marblewood::lab
