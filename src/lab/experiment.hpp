/// \file
/// Definition of an experiment: topology, load, faults and checks. It is read from a JSON file that is
/// validated against a schema. Times are in seconds from the start of the load.
#pragma once

#include "config/decode.hpp"

#include <map>
#include <set>

namespace marblewood::lab {

/// Performance model of an emulated node.
struct NodeModel {
    int cores = 2;
    double unit_ms = 2;  // mean processing time of one unit on one core
    double sigma = 0.35; // standard deviation of the logarithm of the processing time
    int queue = 64;      // maximum number of waiting requests; further ones are rejected
    // Fraction of the full speed right after a start, and the time over which it grows linearly to 1.
    double slow_start_initial_fraction = 0.18, cold_s = 17;
    // Fraction of the writes that are answered before most of their work is done.
    double early_answer_fraction = 0.1;
    /// Units a second at full speed.
    double capacity() const { return cores / unit_ms * 1000; }
};

/// A group of volumes with the same plan and load.
struct VolumeKind {
    std::string plan;
    int count = 1;
    double rate = 10;    // requests a second per volume
    double units = 2;    // mean units per request
    double writes = 0.2; // fraction of the requests that are writes
    double busiest = 0;  // fraction of the requests sent through one broker; the others are spread evenly
    double shift_s = 0;  // time after which another broker becomes the busiest; 0: never
};

/// Additional load on one volume.
struct Surge {
    double at = 0, length = 0;
    int cell = 0; // the surge hits the first volume of `plan` that starts in this cell
    std::string plan;
    double times = 5; // multiple of the regular request rate of the whole cell
};

struct Fault {
    double at = 0, length = 0;
    // Kind of the fault:
    // - datagrams: datagrams from brokers `from` to brokers `to` are lost, duplicated and delayed
    // - cut: no datagrams pass from brokers `from` to brokers `to`
    // - cut-nodes: streams between brokers `from` and nodes `to` stay open but carry no data
    // - break-streams: streams from brokers `from` to nodes `to` are reset
    // - slow-node: one node takes `times` as long for its work
    // - restart-nodes: all nodes `to` of the cell restart at the same time
    // - silence-lists: discovery accepts requests but does not answer them
    // - move-surging: the volume of the first surge is moved to `cell`
    // - kill-keeper, stop-keeper: the cell coordinator is killed, or paused with SIGSTOP
    // - restart-broker, stop-broker: one broker is killed and started again, or paused with SIGSTOP
    // - drain-cell, drain-node: all nodes of the cell, or one node, drain for `length` and then start cold
    // - restart-node: one node closes its connections, rejects new ones for `length`, then starts cold
    // - pause-node: one node does no work for `length`
    std::string what;
    int cell = 0, index = 0;
    std::set<int> from = {}, to = {}; // an empty set matches all
    double lost = 0, doubled = 0, min_delay = 0, max_delay = 0, times = 1;
};

/// Bounds for one metric; at least one of them is set.
struct Check {
    std::string name, metric;
    std::optional<double> least, most;
};

/// Throws config::Error if a check has no bound.
std::vector<Check> read_checks(const Json::Value &rows);

struct Experiment {
    std::string name;
    // Duration of the load; requests sent before `settle` are left out of the service metrics.
    double seconds = 10, settle = 5;
    int cells = 3, brokers = 2, nodes = 2, spread = 2;
    bool forward = true;
    bool peers = false;  // brokers of a cell may exchange datagrams, through a DatagramRelay
    bool relay = false;  // streams to nodes pass through a StreamRelay
    bool shards = false; // each node of a cell holds its own shard
    // Bounds of the delay until a pushed list change reaches a broker's agent.
    double min_list_delay = 0, max_list_delay = 0;
    NodeModel node;
    std::vector<VolumeKind> volumes;
    std::vector<Surge> surges;
    std::vector<Fault> faults;
    int moves = 0;
    double moves_from = 0, moves_to = 0;
    // Parts left out of the baseline run, whose metrics the experiment is compared with: `surges`, `faults`,
    // `moves` (of volumes to other cells) and `talk` (datagrams between brokers and the lending of rate
    // limits between them). Without entries there is no baseline run.
    std::vector<std::string> without;
    std::vector<Check> checks;
    Json::Value settings; // of the brokers
};

/// Throws config::Error that names the field and the line.
Experiment read_experiment(const std::string &text);

} // namespace marblewood::lab
