/// \file
/// Converts lists and documents between discovery's JSON and the entries of a change log. The encoding must
/// not change, since servers and callers of different versions exchange it (tests/fixtures/lists/).
#pragma once

#include "discovery/list_response.hpp"
#include "distribution/change_log.hpp"

#include <string>

namespace marblewood::list_distribution {

/// Converts a decoded response to an update of a change log.
distribution::Update to_update(const discovery::ListResponse &response);

/// Decodes a response with documents: entries with `id`, `phase` and `document`. Throws config::Error.
discovery::ListResponse decode_documents(Json::Value response);

/// Converts a document to an entry of a change log.
distribution::Member document_member(const std::string &id, const Json::Value &document);

/// Encodes the body of a response.
std::string encode(const distribution::Delta &delta);

} // namespace marblewood::list_distribution
