#include "config/operations.hpp"

#include "config/config.hpp"
#include "config/schema.hpp"

namespace marblewood::config {
namespace {

const char *const kOperationsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["cordons"],
  "properties": {
    "cordons": {"type": "array", "maxItems": 10000, "items": {"type": "string", "minLength": 1, "maxLength": 128}}
  }
})";

const char *const kFileSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["version", "operations"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "operations": {"type": "object"}
  }
})";

} // namespace

Operations read_operations(const Json::Value &document) {
    validate(document, "", kOperationsSchema);
    Operations operations;
    for (const Json::Value &id : document["cordons"])
        operations.cordons.insert(id.asString());
    return operations;
}

DocumentFile load_documents(const std::string &path) {
    const std::string text = read_text(path);
    const Json::Value root = parse(text);
    validate(root, text, kFileSchema);
    read_operations(root["operations"]);
    return {need_integer(root, "version"), root["operations"]};
}

} // namespace marblewood::config
