/// \file
/// Lists and documents in discovery's JSON, and as the change log keeps them. The bytes are fixed: servers
/// and callers of different versions exchange them (tests/fixtures/lists/).
#pragma once

#include "discovery/list_response.hpp"
#include "distribution/change_log.hpp"

#include <string>

namespace marblewood::list_distribution {

/// A decoded response as an update of a change log.
distribution::Update to_update(const discovery::ListResponse &response);

/// Reads a response with documents: entries with `id`, `phase` and `document`. Throws config::Error.
discovery::ListResponse decode_documents(Json::Value response);

/// A document as an entry of a change log.
distribution::Member document_member(const std::string &id, const Json::Value &document);

/// The body of a response.
std::string encode(const distribution::Delta &delta);

} // namespace marblewood::list_distribution
