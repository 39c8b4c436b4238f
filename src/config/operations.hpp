/// \file
/// Operators' settings for the whole fleet that may change while brokers serve. They are a versioned
/// document, which distributors pass on, and are read completely or not at all.
#pragma once

#include "config/decode.hpp"

#include <set>

namespace marblewood::config {

/// The document with the id kOperationsDocument.
struct Operations {
    std::set<std::string> cordons; ///< nodes that get no new requests, by their id in discovery
};
inline constexpr const char *kOperationsDocument = "operations";

/// Throws Error naming the field.
Operations read_operations(const Json::Value &document);

/// The file from which the topmost distributor serves documents.
struct DocumentFile {
    std::int64_t version = 0;
    Json::Value operations; ///< was validated by read_operations()
};
/// Throws Error naming the field.
DocumentFile load_documents(const std::string &path);

} // namespace marblewood::config
