#include "config/schema.hpp"

#include <algorithm>
#include <fmt/format.h>
#define VALIJSON_USE_EXCEPTIONS 1
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace marblewood::config {

const char *const kOperatorSchema = R"({
  "type": "object",
  "properties": {
    "planners": {"type": "integer"},
    "lend_limits": {"type": "boolean"},
    "distribution": {
      "type": "object",
      "additionalProperties": false,
      "required": ["zone", "region", "distributors"],
      "properties": {
        "zone": {"type": "string"},
        "region": {"type": "string"},
        "documents": {"type": "boolean"},
        "distributors": {
          "type": "array",
          "minItems": 1,
          "maxItems": 256,
          "items": {
            "type": "object",
            "additionalProperties": false,
            "required": ["name", "address", "zone", "region"],
            "properties": {
              "name": {"type": "string", "minLength": 1, "maxLength": 64},
              "address": {"type": "string"},
              "zone": {"type": "string"},
              "region": {"type": "string"}
            }
          }
        }
      }
    },
    "cells": {
      "type": "object",
      "additionalProperties": false,
      "required": ["keeper", "cells"],
      "properties": {
        "keeper": {
          "type": "object",
          "additionalProperties": false,
          "required": ["link", "control"],
          "properties": {"link": {"type": "string"}, "control": {"type": "string"}}
        },
        "state": {"type": "string"},
        "spread": {"type": "integer", "minimum": 1, "maximum": 64},
        "forward": {"type": "boolean"},
        "most_forwarded": {"type": "integer", "minimum": 0, "maximum": 100000},
        "most_waiting": {"type": "integer", "minimum": 0, "maximum": 100000},
        "evacuate_drained": {"type": "boolean"},
        "step_ms": {"type": "number", "minimum": 50, "maximum": 600000},
        "drain_ms": {"type": "number", "minimum": 50, "maximum": 600000},
        "moves_at_once": {"type": "integer", "minimum": 1, "maximum": 1000},
        "spare": {"type": "array", "items": {"type": "string", "minLength": 1}},
        "cells": {
          "type": "array",
          "minItems": 1,
          "maxItems": 256,
          "items": {
            "type": "object",
            "additionalProperties": false,
            "required": ["name", "capacity", "brokers", "nodes"],
            "properties": {
              "name": {"type": "string", "minLength": 1, "maxLength": 64},
              "capacity": {"type": "number", "exclusiveMinimum": 0},
              "nodes": {"type": "array", "items": {"type": "string", "minLength": 1}},
              "brokers": {
                "type": "array",
                "minItems": 1,
                "items": {
                  "type": "object",
                  "additionalProperties": false,
                  "required": ["name", "clients", "link"],
                  "properties": {
                    "name": {"type": "string", "minLength": 1, "maxLength": 64},
                    "clients": {"type": "string"},
                    "link": {"type": "string"}
                  }
                }
              }
            }
          }
        }
      }
    }
  }
})";

const char *const kDistributorSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "listen", "zone", "region", "parents"],
  "properties": {
    "name": {"type": "string", "minLength": 1, "maxLength": 64},
    "listen": {"type": "string"},
    "control": {"type": "string"},
    "zone": {"type": "string"},
    "region": {"type": "string"},
    "parents": {"$ref": "#/definitions/parents"},
    "documents": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "file": {"type": "string", "minLength": 1},
        "parents": {"$ref": "#/definitions/parents"}
      }
    },
    "caller_bytes_per_second": {"type": "number", "minimum": 100, "maximum": 1e9},
    "caller_burst_bytes": {"type": "number", "minimum": 100, "maximum": 1e9},
    "machine_bytes_per_second": {"type": "number", "minimum": 1000, "maximum": 1e10},
    "machine_burst_bytes": {"type": "number", "minimum": 1000, "maximum": 1e10},
    "most_removed": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "most_callers": {"type": "integer", "minimum": 1, "maximum": 100000}
  },
  "definitions": {
    "parents": {
      "type": "array",
      "minItems": 1,
      "maxItems": 256,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "address"],
        "properties": {
          "name": {"type": "string", "minLength": 1, "maxLength": 64},
          "address": {"type": "string"},
          "zone": {"type": "string"},
          "region": {"type": "string"}
        }
      }
    }
  }
})";

namespace {

/// Follows valijson's context ("<root>", "[cells]", "[0]", ...) to the value as far as it exists. Appends the
/// path to `name`.
const Json::Value &find_value(const Json::Value &root, const std::vector<std::string> &context,
                              std::string &name) {
    const Json::Value *current = &root;
    for (const std::string &step : context) {
        if (step.size() < 2 || step.front() != '[')
            continue;
        const std::string key = step.substr(1, step.size() - 2);
        const bool digits =
            !key.empty() && std::all_of(key.begin(), key.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (current->isArray() && digits && std::stoul(key) < current->size()) {
            current = &(*current)[static_cast<Json::ArrayIndex>(std::stoul(key))];
            name += fmt::format("[{}]", key);
        } else if (current->isObject() && current->isMember(key)) {
            current = &(*current)[key];
            name += fmt::format("{}{}", name.empty() ? "" : ".", key);
        } else {
            break;
        }
    }
    return *current;
}

} // namespace

void validate(const Json::Value &root, const std::string &text, const char *schema) {
    const Json::Value rules = parse(schema);
    valijson::Schema compiled;
    valijson::SchemaParser().populateSchema(valijson::adapters::JsonCppAdapter(rules), compiled);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(compiled, valijson::adapters::JsonCppAdapter(root), &results))
        return;
    valijson::ValidationResults::Error error, deepest;
    // An error of an inner value is also reported for the values that contain it, so the deepest one is used.
    while (results.popError(error))
        if (deepest.context.empty() || error.context.size() > deepest.context.size())
            deepest = error;
    std::string name;
    const Json::Value &value = find_value(root, deepest.context, name);
    const auto start =
        std::min(static_cast<std::size_t>(std::max<std::ptrdiff_t>(value.getOffsetStart(), 0)), text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(start), '\n');
    std::string description = deepest.description;
    std::replace(description.begin(), description.end(), '\n', ' ');
    throw Error(fmt::format("line {}: field '{}': {}", line, name.empty() ? "(root)" : name, description));
}

} // namespace marblewood::config
