// What a scale experiment measures: one fleet through its phases and events, and slopes over sizes. Read from
// a JSON file, checked against a schema and against what the machine bears.
#pragma once

#include "lab/experiment.hpp"

#include <cstdint>

namespace marblewood::lab::scale {

/// How many of each stand. Brokers and distributors are spread over zones, zones over regions.
struct FleetSize {
    int brokers = 100, nodes = 100, zones = 1, regions = 1;
    int distributors = 0;   // 0: brokers ask discovery
    int per_process = 100;  // hollow brokers in one process
    bool documents = false; // distributors carry the configuration's documents, too
};

/// A stretch of time over which traffic and processor time are counted.
struct Phase {
    std::string name;
    double seconds = 10;
    double changes_per_second = 0;   // of the list, one entry each
    double documents_per_second = 0; // versions of the configuration
};

struct Event {
    enum class Kind {
        KillDistributor,  // and starts it again after `length`
        PauseDistributor, // for `length`
        StartZone,        // `count` brokers, held back until then, start at once with the first list
        RemoveNodes,      // `count`, all in one change, and back after `length`
        CutRegion         // region `index` hears nothing of discovery for `length`
    };
    Kind kind = Kind::KillDistributor;
    std::string name; // for figures
    double at = 0, length = 0;
    int index = 0, count = 0;
};

/// One fleet, played once.
struct FleetPlan {
    FleetSize size;
    bool real = false;         // broker processes in place of hollow ones
    bool without_list = false; // brokers start with no list, and ask for the whole
    std::vector<Phase> phases;
    std::vector<Event> events;
    Json::Value settings;
};

/// Figures of runs at several sizes, to which a line is fitted: y = intercept + slope * x.
struct Sweep {
    enum class Of { Nodes, Brokers, Changes, Clients, Volumes };
    std::string name;
    Of of = Of::Nodes;
    std::vector<double> values;
    FleetSize size;
    double seconds = 6; // of each run's phase
    double changes_per_second = 0;
    bool real = false, without_list = false;
    std::vector<std::string> figures; // of a run, to fit
};

/// A figure of the target's run, from a sweep's line at the target's size.
struct Prediction {
    std::string sweep, figure; // the line
    double at = 0;             // where it is read off
    double times = 1;          // what it is multiplied with
    std::string measured;      // the target's figure
};

/// The same figure of two sweeps, at the sizes that both have: how far the second lies from the first.
struct Comparison {
    std::string figure, sweep, with;
};

struct Plan {
    std::string name;
    std::optional<FleetPlan> fleet; // the target
    bool compare_direct = false;    // plays the target without distributors, too
    int repeats = 3;                // runs at each size of a sweep, each with a seed of its own
    std::vector<Sweep> sweeps;
    std::vector<Prediction> predictions;
    std::vector<Comparison> comparisons;
    std::vector<Check> checks;
    Json::Value settings; // the brokers'
};

/// Throws config::Error naming field and line, or what the machine does not bear.
Plan read_plan(const std::string &text);

/// What a fleet takes at most, estimated; and what it may.
struct Load {
    double memory_mb = 0;
    int processes = 0;
};
Load load_of(const FleetPlan &plan);
constexpr int kMostProcesses = 300;
/// Throws config::Error where a fleet takes over half of `machine_mb`, or over kMostProcesses processes.
void check_load(const FleetPlan &plan, double machine_mb);
double machine_memory_mb();

} // namespace marblewood::lab::scale
