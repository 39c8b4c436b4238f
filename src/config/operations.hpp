// The configuration that may change while brokers serve: what operators tell the whole fleet, as a versioned
// document that distributors carry. It is read whole or not at all.
#pragma once

#include "config/decode.hpp"

#include <set>

namespace marblewood::config {

/// The document by the name kOperationsDocument.
struct Operations {
    std::set<std::string> cordons; // nodes that get nothing new, by discovery's id
};
inline constexpr const char *kOperationsDocument = "operations";

/// Throws Error naming the field.
Operations read_operations(const Json::Value &document);

/// The file that a distributor at the top serves documents from.
struct DocumentFile {
    std::int64_t version = 0;
    Json::Value operations; // was read, and is in order
};
/// Throws Error naming the field.
DocumentFile load_documents(const std::string &path);

} // namespace marblewood::config
