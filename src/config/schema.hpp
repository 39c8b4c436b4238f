// Settings against a JSON Schema, by valijson.
#pragma once

#include "config/decode.hpp"

namespace marblewood::config {

// The operator's file.
extern const char *const kOperatorSchema;
// A distributor's file.
extern const char *const kDistributorSchema;

// Throws Error naming the field, and its line in `text`, from which `root` was parsed.
void validate(const Json::Value &root, const std::string &text, const char *schema);

} // namespace marblewood::config
