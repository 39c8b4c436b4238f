/// \file
/// Validates configuration files against JSON schemas, with valijson.
#pragma once

#include "config/decode.hpp"

namespace marblewood::config {

/// The schema of the operator's file, which load_operator() reads: an optional configuration file that can
/// add front ends, telemetry and dispatchers to a broker.
extern const char *const kOperatorSchema;
/// The schema of a distributor's configuration file.
extern const char *const kDistributorSchema;

/// `text` is the text from which `root` was parsed. Throws Error naming the field and its line in `text`.
void validate(const Json::Value &root, const std::string &text, const char *schema);

} // namespace marblewood::config
