// Between discovery's JSON and the log's own types; the calls that a distributor answers, and the reports
// that come with them.
#pragma once

#include "discovery/discovery_client.hpp"
#include "distribution/delivery.hpp"
#include "distribution/report_book.hpp"

#include <string>

namespace marblewood::net::lists {

/// An answer that discovery::decode_node_list() has taken.
distribution::Update to_update(const discovery::ListResponse &reading);
/// Reads an answer about documents: entries with `id` and `document`. Throws config::Error.
discovery::ListResponse read_documents(Json::Value answer);
/// A document as an entry of an answer.
distribution::Member document_member(const std::string &id, const Json::Value &document);
/// The body of an answer in discovery's form.
std::string spell(const distribution::Delta &delta);

/// What a list server serves: nodes, and documents of the configuration. Each has revisions of its own.
enum class Channel : std::size_t { Nodes, Documents };
constexpr std::size_t kChannels = 2;
constexpr const char *kNodesPath = "/v1/servers", *kDocumentsPath = "/v1/documents";

/// What a caller says beside what it asks: a broker the version that it has in force, a distributor what it
/// has added up.
struct Report {
    std::string caller;
    std::optional<distribution::Revision> applied;
    std::optional<distribution::SubtreeReport> subtree;
};
std::string spell(const Report &report); // as part of a call's query

/// `GET` of a channel's path, with what follows it.
struct Call {
    Channel channel = Channel::Nodes;
    std::optional<distribution::Revision> since;
    Micros wait = 0; // us, at most kLongestWait
    Report report;   // its `caller` is empty where there is none
};
constexpr Micros kLongestWait = 60'000'000; // us
/// Nothing where the target is another one; throws std::runtime_error where its values are malformed.
std::optional<Call> read_call(std::string_view target);

} // namespace marblewood::net::lists
