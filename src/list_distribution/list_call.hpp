/// \file
/// The calls that a list server answers: `GET` of a channel's path, with a query that contains the caller's
/// revision and its report on the configuration version that it has in force.
#pragma once

#include "distribution/delivery.hpp"
#include "distribution/report_book.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace marblewood::list_distribution {

/// The lists that a list server serves: nodes and configuration documents. Each has its own revisions.
enum class Channel : std::size_t { Nodes, Documents };
constexpr std::size_t kChannelCount = 2;
constexpr const char *kNodesPath = "/v1/servers";
constexpr const char *kDocumentsPath = "/v1/documents";

/// How long a call may wait for a change.
constexpr Micros kMaxPollTime = 60'000'000;

/// A broker reports the version that it has applied, a distributor the sum of the reports that it has
/// received.
struct Report {
    std::string caller; ///< name of the broker or distributor that reports; empty: the call has no report
    std::optional<distribution::Revision> applied;
    std::optional<distribution::SubtreeReport> subtree;
};
/// Encodes the report as a part of a call's query.
std::string encode_query(const Report &report);

struct ListCall {
    Channel channel = Channel::Nodes;
    std::optional<distribution::Revision> since; ///< empty: the complete list is requested
    Micros wait = 0;                             ///< at most kMaxPollTime
    Report report;
};
/// Empty if the path is not that of a channel. Throws std::runtime_error if a value is malformed.
std::optional<ListCall> parse_call(std::string_view target);

} // namespace marblewood::list_distribution
