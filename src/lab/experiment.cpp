#include "lab/experiment.hpp"

#include "config/schema.hpp"

#include <fmt/format.h>

namespace marblewood::lab {
namespace {

const char *const kSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "seconds", "topology", "volumes", "checks", "settings"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9-]+$"},
    "about": {"type": "string"},
    "seconds": {"type": "number", "minimum": 1, "maximum": 3600},
    "settle": {"type": "number", "minimum": 0, "maximum": 60},
    "topology": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "cells": {"type": "integer", "minimum": 1, "maximum": 16},
        "brokers": {"type": "integer", "minimum": 1, "maximum": 16},
        "nodes": {"type": "integer", "minimum": 1, "maximum": 64},
        "spread": {"type": "integer", "minimum": 1, "maximum": 16},
        "forward": {"type": "boolean"},
        "peers": {"type": "boolean"},
        "relay": {"type": "boolean"},
        "shards": {"type": "boolean"}
      }
    },
    "node": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "cores": {"type": "integer", "minimum": 1, "maximum": 64},
        "unit_ms": {"type": "number", "exclusiveMinimum": 0},
        "sigma": {"type": "number", "minimum": 0, "maximum": 2},
        "queue": {"type": "integer", "minimum": 0},
        "cold_from": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "cold_s": {"type": "number", "minimum": 0},
        "put_off": {"type": "number", "minimum": 0, "maximum": 1}
      }
    },
    "volumes": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["plan", "count", "rate"],
        "properties": {
          "plan": {"type": "string"},
          "count": {"type": "integer", "minimum": 1, "maximum": 10000},
          "rate": {"type": "number", "exclusiveMinimum": 0},
          "units": {"type": "number", "minimum": 1, "maximum": 8},
          "writes": {"type": "number", "minimum": 0, "maximum": 1},
          "busiest": {"type": "number", "minimum": 0, "maximum": 1},
          "shift_s": {"type": "number", "minimum": 0}
        }
      }
    },
    "surges": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["at", "length", "cell", "plan", "times"],
        "properties": {
          "at": {"type": "number", "minimum": 0},
          "length": {"type": "number", "exclusiveMinimum": 0},
          "cell": {"type": "integer", "minimum": 0},
          "plan": {"type": "string"},
          "times": {"type": "number", "exclusiveMinimum": 0}
        }
      }
    },
    "faults": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["at", "what"],
        "properties": {
          "at": {"type": "number", "minimum": 0},
          "length": {"type": "number", "minimum": 0},
          "what": {"enum": ["kill-keeper", "stop-keeper", "stop-broker", "restart-broker", "drain-cell", "drain-node",
                            "restart-node", "silence-lists", "pause-node", "move-surging", "datagrams", "cut", "cut-nodes",
                            "break-streams", "slow-node", "restart-nodes"]},
          "from": {"type": "array", "items": {"type": "integer", "minimum": 0}},
          "to": {"type": "array", "items": {"type": "integer", "minimum": 0}},
          "lost": {"type": "number", "minimum": 0, "maximum": 1},
          "doubled": {"type": "number", "minimum": 0, "maximum": 1},
          "late_from": {"type": "number", "minimum": 0, "maximum": 30},
          "late_to": {"type": "number", "minimum": 0, "maximum": 30},
          "times": {"type": "number", "minimum": 1, "maximum": 1000},
          "cell": {"type": "integer", "minimum": 0},
          "index": {"type": "integer", "minimum": 0}
        }
      }
    },
    "moves": {
      "type": "object",
      "additionalProperties": false,
      "required": ["count", "from", "to"],
      "properties": {
        "count": {"type": "integer", "minimum": 1, "maximum": 10000},
        "from": {"type": "number", "minimum": 0},
        "to": {"type": "number", "minimum": 0}
      }
    },
    "lists": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "late_from": {"type": "number", "minimum": 0, "maximum": 30},
        "late_to": {"type": "number", "minimum": 0, "maximum": 30}
      }
    },
    "compare_without": {"type": "array", "items": {"enum": ["surges", "faults", "moves", "talk"]}},
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

} // namespace

std::vector<Check> read_checks(const Json::Value &rows) {
    std::vector<Check> checks;
    for (const Json::Value &row : rows) {
        Check check{config::need_text(row, "name"), config::need_text(row, "metric"), {}, {}};
        if (row.isMember("least"))
            check.least = config::need_number(row, "least");
        if (row.isMember("most"))
            check.most = config::need_number(row, "most");
        if (!check.least && !check.most)
            throw config::Error(fmt::format("field 'checks': '{}' has no bound", check.name));
        checks.push_back(std::move(check));
    }
    return checks;
}

Experiment read_experiment(const std::string &text) {
    using namespace config;
    const Json::Value root = parse(text);
    validate(root, text, kSchema);
    const auto number = [](const Json::Value &of, const char *name, double otherwise) {
        return number_or(of, name, otherwise);
    };
    const auto count = [](const Json::Value &of, const char *name, int otherwise) {
        return static_cast<int>(integer_or(of, name, otherwise));
    };
    Experiment e;
    e.name = need_text(root, "name");
    e.seconds = need_number(root, "seconds");
    e.settle = number(root, "settle", e.settle);
    const Json::Value &top = root["topology"];
    e.cells = count(top, "cells", e.cells), e.brokers = count(top, "brokers", e.brokers);
    e.nodes = count(top, "nodes", e.nodes), e.spread = count(top, "spread", e.spread);
    e.forward = flag_or(top, "forward", true);
    e.peers = flag_or(top, "peers", false), e.relay = flag_or(top, "relay", false);
    e.shards = flag_or(top, "shards", false);
    if (root.isMember("lists"))
        e.min_list_delay = number(root["lists"], "late_from", 0),
        e.max_list_delay = number(root["lists"], "late_to", 0);
    if (e.max_list_delay < e.min_list_delay)
        throw Error("field 'lists': 'late_to' is before 'late_from'");
    if (root.isMember("node")) {
        const Json::Value &n = root["node"];
        e.node = {count(n, "cores", e.node.cores),
                  number(n, "unit_ms", e.node.unit_ms),
                  number(n, "sigma", e.node.sigma),
                  count(n, "queue", e.node.queue),
                  number(n, "cold_from", e.node.slow_start_initial_fraction),
                  number(n, "cold_s", e.node.cold_s),
                  number(n, "put_off", e.node.early_answer_fraction)};
    }
    for (const Json::Value &v : root["volumes"])
        e.volumes.push_back({need_text(v, "plan"), count(v, "count", 1), need_number(v, "rate"),
                             number(v, "units", 2), number(v, "writes", 0.2), number(v, "busiest", 0),
                             number(v, "shift_s", 0)});
    for (const Json::Value &s : root["surges"])
        e.surges.push_back({need_number(s, "at"), need_number(s, "length"), count(s, "cell", 0),
                            need_text(s, "plan"), need_number(s, "times")});
    for (const Json::Value &f : root["faults"]) {
        Fault fault{need_number(f, "at"), number(f, "length", 0), need_text(f, "what"), count(f, "cell", 0),
                    count(f, "index", 0)};
        for (const Json::Value &n : f["from"])
            fault.from.insert(n.asInt());
        for (const Json::Value &n : f["to"])
            fault.to.insert(n.asInt());
        fault.lost = number(f, "lost", 0), fault.doubled = number(f, "doubled", 0);
        fault.min_delay = number(f, "late_from", 0), fault.max_delay = number(f, "late_to", fault.min_delay);
        fault.times = number(f, "times", 1);
        if (fault.max_delay < fault.min_delay)
            throw Error("field 'faults': 'late_to' is before 'late_from'");
        if ((fault.what == "datagrams" || fault.what == "cut") && !e.peers)
            throw Error("field 'faults': brokers send no datagrams without 'peers' in 'topology'");
        if ((fault.what == "cut-nodes" || fault.what == "break-streams") && !e.relay)
            throw Error("field 'faults': faults of streams need 'relay' in 'topology'");
        e.faults.push_back(std::move(fault));
    }
    if (root.isMember("moves")) {
        e.moves = count(root["moves"], "count", 0);
        e.moves_from = need_number(root["moves"], "from"), e.moves_to = need_number(root["moves"], "to");
    }
    for (const Json::Value &w : root["compare_without"])
        e.without.push_back(w.asString());
    e.checks = read_checks(root["checks"]);
    e.settings = root["settings"];
    const Settings settings = read_settings(e.settings, 0);
    if (settings.poll_endpoint_list && e.max_list_delay > 0)
        throw Error("field 'lists': delays apply only to pushed lists, not to polled ones");
    const auto has_plan = [&](const std::string &name) {
        for (const PlanSettings &p : settings.plans)
            if (p.name == name)
                return;
        throw Error(fmt::format("field 'plan': there is no plan named '{}'", name));
    };
    for (const VolumeKind &v : e.volumes)
        has_plan(v.plan);
    for (const Surge &s : e.surges) {
        has_plan(s.plan);
        if (s.cell >= e.cells)
            throw Error("field 'surges': there is no such cell");
    }
    for (const Fault &f : e.faults)
        if (f.cell >= e.cells)
            throw Error("field 'faults': there is no such cell");
    if (e.peers && !settings.peers)
        throw Error("field 'peers': 'bounds.peers' of the settings does not allow them");
    if (e.moves > 0 && (e.cells < 2 || e.moves_to <= e.moves_from))
        throw Error("field 'moves': at least two cells are needed, and 'to' must be after 'from'");
    if (settings.classes.size() < 2 || settings.classes[0].idempotency != Idempotency::Idempotent ||
        settings.classes[1].idempotency != Idempotency::WithKey)
        throw Error("field 'settings': the first class must be idempotent, the second idempotent by key");
    return e;
}

} // namespace marblewood::lab
