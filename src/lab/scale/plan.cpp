#include "lab/scale/plan.hpp"

#include "config/schema.hpp"

#include <fmt/format.h>
#include <sys/sysinfo.h>

namespace marblewood::lab::scale {
namespace {

const char *const kSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "checks", "settings"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9-]+$"},
    "about": {"type": "string"},
    "fleet": {
      "type": "object",
      "additionalProperties": false,
      "required": ["brokers", "nodes"],
      "properties": {
        "brokers": {"type": "integer", "minimum": 1, "maximum": 10000},
        "nodes": {"type": "integer", "minimum": 1, "maximum": 10000},
        "zones": {"type": "integer", "minimum": 1, "maximum": 100},
        "regions": {"type": "integer", "minimum": 1, "maximum": 100},
        "distributors": {"type": "integer", "minimum": 0, "maximum": 100},
        "per_process": {"type": "integer", "minimum": 1, "maximum": 1000},
        "documents": {"type": "boolean"}
      }
    },
    "compare_direct": {"type": "boolean"},
    "repeats": {"type": "integer", "minimum": 1, "maximum": 10},
    "phases": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "seconds"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9-]+$"},
          "seconds": {"type": "number", "minimum": 1, "maximum": 3600},
          "changes_per_second": {"type": "number", "minimum": 0, "maximum": 1000},
          "documents_per_second": {"type": "number", "minimum": 0, "maximum": 1000}
        }
      }
    },
    "events": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["at", "what", "name"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9-]+$"},
          "what": {"enum": ["kill-distributor", "pause-distributor", "start-zone", "remove-nodes", "cut-region"]},
          "at": {"type": "number", "minimum": 0},
          "length": {"type": "number", "minimum": 0},
          "index": {"type": "integer", "minimum": 0},
          "count": {"type": "integer", "minimum": 0}
        }
      }
    },
    "sweeps": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "of", "values", "figures"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9-]+$"},
          "of": {"enum": ["nodes", "brokers", "changes", "clients", "volumes"]},
          "values": {"type": "array", "minItems": 2, "items": {"type": "number", "exclusiveMinimum": 0}},
          "brokers": {"type": "integer", "minimum": 1, "maximum": 10000},
          "nodes": {"type": "integer", "minimum": 1, "maximum": 10000},
          "distributors": {"type": "integer", "minimum": 0, "maximum": 100},
          "per_process": {"type": "integer", "minimum": 1, "maximum": 1000},
          "seconds": {"type": "number", "minimum": 1, "maximum": 600},
          "changes_per_second": {"type": "number", "minimum": 0, "maximum": 1000},
          "real": {"type": "boolean"},
          "without_list": {"type": "boolean"},
          "figures": {"type": "array", "minItems": 1, "items": {"type": "string"}}
        }
      }
    },
    "predictions": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["sweep", "figure", "at", "measured"],
        "properties": {
          "sweep": {"type": "string"},
          "figure": {"type": "string"},
          "at": {"type": "number"},
          "times": {"type": "number"},
          "measured": {"type": "string"}
        }
      }
    },
    "comparisons": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["figure", "sweep", "with"],
        "properties": {
          "figure": {"type": "string"},
          "sweep": {"type": "string"},
          "with": {"type": "string"}
        }
      }
    },
    "checks": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "metric"],
        "properties": {
          "name": {"type": "string"},
          "metric": {"type": "string"},
          "least": {"type": "number"},
          "most": {"type": "number"}
        }
      }
    },
    "settings": {"type": "object"}
  }
})";

constexpr config::Words<Event::Kind, 5> kEvents{{{"kill-distributor", Event::Kind::KillDistributor},
                                                 {"pause-distributor", Event::Kind::PauseDistributor},
                                                 {"start-zone", Event::Kind::StartZone},
                                                 {"remove-nodes", Event::Kind::RemoveNodes},
                                                 {"cut-region", Event::Kind::CutRegion}}};
constexpr config::Words<Sweep::Of, 5> kSweeps{{{"nodes", Sweep::Of::Nodes},
                                               {"brokers", Sweep::Of::Brokers},
                                               {"changes", Sweep::Of::Changes},
                                               {"clients", Sweep::Of::Clients},
                                               {"volumes", Sweep::Of::Volumes}}};

// Estimates on the safe side, from the first probe (issue 34); the run measures them.
constexpr double kBrokerMb = 0.5, kNodeMb = 0.0045, kProcessMb = 20, kRealMb = 12, kClientMb = 0.02;

int count(const Json::Value &of, const char *field, int otherwise) {
    return static_cast<int>(config::integer_or(of, field, otherwise));
}

FleetSize read_size(const Json::Value &row) {
    FleetSize size;
    size.brokers = count(row, "brokers", size.brokers);
    size.nodes = count(row, "nodes", size.nodes);
    size.zones = count(row, "zones", size.zones);
    size.regions = count(row, "regions", size.regions);
    size.distributors = count(row, "distributors", size.distributors);
    size.per_process = count(row, "per_process", size.per_process);
    size.documents = config::flag_or(row, "documents", false);
    return size;
}

Event read_event(const Json::Value &row, const FleetSize &size) {
    Event event{config::word(kEvents, config::need_text(row, "what"), "what"),
                config::need_text(row, "name"),
                config::need_number(row, "at"),
                config::number_or(row, "length", 0),
                count(row, "index", 0),
                count(row, "count", 0)};
    using Kind = Event::Kind;
    const bool of_distributor = event.kind == Kind::KillDistributor || event.kind == Kind::PauseDistributor;
    if (of_distributor && event.index >= size.distributors)
        throw config::Error(fmt::format("field 'events': '{}': there is no such distributor", event.name));
    if (event.kind == Kind::CutRegion && event.index >= size.regions)
        throw config::Error(fmt::format("field 'events': '{}': there is no such region", event.name));
    if (event.kind == Kind::RemoveNodes && event.count > size.nodes)
        throw config::Error(fmt::format("field 'events': '{}': there are fewer nodes", event.name));
    if (event.kind == Kind::StartZone && event.count >= size.brokers)
        throw config::Error(fmt::format("field 'events': '{}': there are fewer brokers", event.name));
    return event;
}

FleetPlan read_fleet(const Json::Value &root) {
    FleetPlan fleet;
    fleet.size = read_size(root["fleet"]);
    fleet.settings = root["settings"];
    double seconds = 0;
    for (const Json::Value &row : root["phases"]) {
        fleet.phases.push_back({config::need_text(row, "name"), config::need_number(row, "seconds"),
                                config::number_or(row, "changes_per_second", 0),
                                config::number_or(row, "documents_per_second", 0)});
        if (fleet.phases.back().documents_per_second > 0 && !fleet.size.documents)
            throw config::Error("field 'phases': no documents are carried without 'documents' in 'fleet'");
        seconds += fleet.phases.back().seconds;
    }
    for (const Json::Value &row : root["events"]) {
        fleet.events.push_back(read_event(row, fleet.size));
        const Event &event = fleet.events.back();
        if (event.at + event.length > seconds)
            throw config::Error(fmt::format("field 'events': '{}' ends after the last phase", event.name));
    }
    return fleet;
}

Sweep read_sweep(const Json::Value &row) {
    Sweep sweep;
    sweep.name = config::need_text(row, "name");
    sweep.of = config::word(kSweeps, config::need_text(row, "of"), "of");
    for (const Json::Value &value : row["values"])
        sweep.values.push_back(value.asDouble());
    sweep.size = read_size(row);
    sweep.seconds = config::number_or(row, "seconds", sweep.seconds);
    sweep.changes_per_second = config::number_or(row, "changes_per_second", 0);
    sweep.real = config::flag_or(row, "real", false);
    sweep.without_list = config::flag_or(row, "without_list", false);
    for (const Json::Value &figure : row["figures"])
        sweep.figures.push_back(figure.asString());
    return sweep;
}

} // namespace

Plan read_plan(const std::string &text) {
    const Json::Value root = config::parse(text);
    config::validate(root, text, kSchema);
    Plan plan;
    plan.name = config::need_text(root, "name");
    plan.compare_direct = config::flag_or(root, "compare_direct", false);
    plan.repeats = count(root, "repeats", plan.repeats);
    plan.settings = root["settings"];
    config::read_settings(plan.settings, 0);
    if (root.isMember("fleet"))
        plan.fleet = read_fleet(root);
    for (const Json::Value &row : root["sweeps"])
        plan.sweeps.push_back(read_sweep(row));
    for (const Json::Value &row : root["predictions"])
        plan.predictions.push_back({config::need_text(row, "sweep"), config::need_text(row, "figure"),
                                    config::need_number(row, "at"), config::number_or(row, "times", 1),
                                    config::need_text(row, "measured")});
    for (const Json::Value &row : root["comparisons"])
        plan.comparisons.push_back({config::need_text(row, "figure"), config::need_text(row, "sweep"),
                                    config::need_text(row, "with")});
    plan.checks = read_checks(root["checks"]);
    return plan;
}

Load load_of(const FleetPlan &plan) {
    const FleetSize &size = plan.size;
    const double broker = kBrokerMb + kNodeMb * size.nodes;
    Load load;
    load.processes = size.distributors;
    if (plan.real) {
        load.processes += size.brokers;
        load.memory_mb = size.brokers * (kRealMb + broker);
    } else {
        const int hosts = (size.brokers + size.per_process - 1) / size.per_process;
        load.processes += hosts;
        load.memory_mb = size.brokers * broker + hosts * kProcessMb;
    }
    load.memory_mb += size.distributors * (kProcessMb + kNodeMb * size.nodes) + size.brokers * kClientMb;
    return load;
}

double machine_memory_mb() {
    struct sysinfo info {};
    ::sysinfo(&info);
    return static_cast<double>(info.totalram) * info.mem_unit / (1 << 20);
}

void check_load(const FleetPlan &plan, double machine_mb) {
    const Load load = load_of(plan);
    if (load.memory_mb > machine_mb / 2)
        throw config::Error(
            fmt::format("field 'fleet': {} brokers before {} nodes take some {:.0f} MB, over half of this "
                        "machine's {:.0f} MB",
                        plan.size.brokers, plan.size.nodes, load.memory_mb, machine_mb));
    if (load.processes > kMostProcesses)
        throw config::Error(
            fmt::format("field 'fleet': {} processes are needed, over the {} that are allowed",
                        load.processes, kMostProcesses));
}

} // namespace marblewood::lab::scale
