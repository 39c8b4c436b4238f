/// \file
/// The calls that a list server answers: `GET` of a channel's path, with a query that holds the revision
/// known to the caller and a report of the configuration that is in force there.
#pragma once

#include "distribution/delivery.hpp"
#include "distribution/report_book.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace marblewood::list_distribution {

/// What a list server serves: nodes, and documents of the configuration. Each has revisions of its own.
enum class Channel : std::size_t { Nodes, Documents };
constexpr std::size_t kChannelCount = 2;
constexpr const char *kNodesPath = "/v1/servers";
constexpr const char *kDocumentsPath = "/v1/documents";

/// us that a call may wait for a change.
constexpr Micros kMaxPollTime = 60'000'000;

/// A broker reports the version that it has applied, a distributor the sum of the reports made to it.
struct Report {
    std::string caller; ///< empty: no report
    std::optional<distribution::Revision> applied;
    std::optional<distribution::SubtreeReport> subtree;
};
/// The report as part of a call's query.
std::string encode_query(const Report &report);

struct ListCall {
    Channel channel = Channel::Nodes;
    std::optional<distribution::Revision> since; ///< empty: the complete list is requested
    Micros wait = 0;                             ///< us, at most kMaxPollTime
    Report report;
};
/// Empty where the target is another one. Throws std::runtime_error where its values are malformed.
std::optional<ListCall> parse_call(std::string_view target);

} // namespace marblewood::list_distribution
