#include "list_distribution/list_call.hpp"

#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <stdexcept>

namespace marblewood::list_distribution {
namespace {

constexpr std::size_t kMaxReportedVersions = 8; ///< in a report; older versions are left out
constexpr std::int64_t kMaxReportedBrokers = 1'000'000;
constexpr std::int64_t kMaxLackingMillis = 1'000'000'000'000;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::int64_t parse_number(std::string_view text) {
    std::int64_t value = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (text.empty() || error != std::errc() || end != last || value < 0)
        throw std::runtime_error("value is not a non-negative integer");
    return value;
}

/// Shortens the name to kMaxNameBytes and replaces each character that may not occur in a query by '_'.
std::string sanitize(std::string name) {
    constexpr std::size_t kMaxNameBytes = 64;
    if (name.size() > kMaxNameBytes)
        name.resize(kMaxNameBytes);
    for (char &character : name)
        if (!std::isalnum(static_cast<unsigned char>(character)) && character != '-' && character != '.')
            character = '_';
    return name;
}

/// Removes the text up to `separator`, and the separator, from the front of `rest`. Returns the text.
std::string_view next_item(std::string_view &rest, char separator) {
    const std::string_view item = rest.substr(0, rest.find(separator));
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    return item;
}

/// Calls `handle` with each pair of "NAME:NUMBER,NAME:NUMBER". Throws std::runtime_error if the list is
/// malformed.
template <typename Handler> void parse_pairs(std::string_view list, Handler handle) {
    while (!list.empty()) {
        const std::string_view item = next_item(list, ',');
        const std::size_t colon = item.rfind(':');
        if (colon == std::string_view::npos || colon == 0)
            throw std::runtime_error("item is not a NAME:NUMBER pair");
        handle(item.substr(0, colon), parse_number(item.substr(colon + 1)));
    }
}

void parse_broker_counts(std::string_view list, distribution::SubtreeReport &subtree) {
    parse_pairs(list, [&](std::string_view version, std::int64_t brokers) {
        if (subtree.brokers.size() >= kMaxReportedVersions)
            return;
        subtree.brokers[parse_number(version)] +=
            static_cast<std::size_t>(std::min(brokers, kMaxReportedBrokers));
    });
}

void parse_lacking(std::string_view list, distribution::SubtreeReport &subtree) {
    parse_pairs(list, [&](std::string_view broker, std::int64_t millis) {
        if (subtree.lagging.size() >= distribution::ReportBook::kMaxNamedBrokers)
            return;
        const Micros lacking_for = std::min(millis, kMaxLackingMillis) * kMicrosPerMilli;
        subtree.lagging.push_back({sanitize(std::string(broker)), lacking_for});
    });
}

/// The rest of `item` if it begins with `name`.
std::optional<std::string_view> value_of(std::string_view item, std::string_view name) {
    if (!item.starts_with(name))
        return std::nullopt;
    return item.substr(name.size());
}

distribution::SubtreeReport &subtree_of(Report &report) {
    if (!report.subtree)
        report.subtree.emplace();
    return *report.subtree;
}

void parse_report_item(std::string_view item, Report &report) {
    if (const auto caller = value_of(item, "caller="))
        report.caller = sanitize(std::string(*caller));
    else if (const auto applied = value_of(item, "applied="))
        report.applied = parse_number(*applied);
    else if (const auto below = value_of(item, "below="); below && !below->empty())
        parse_broker_counts(*below, subtree_of(report));
    else if (const auto lacking = value_of(item, "lacking="); lacking && !lacking->empty())
        parse_lacking(*lacking, subtree_of(report));
}

void parse_item(std::string_view item, ListCall &call) {
    if (const auto since = value_of(item, "since="))
        call.since = parse_number(*since);
    else if (const auto timeout = value_of(item, "timeout_ms="))
        call.wait = std::min(parse_number(*timeout), kMaxPollTime / kMicrosPerMilli) * kMicrosPerMilli;
    else
        parse_report_item(item, call.report);
}

std::string encode_subtree(const distribution::SubtreeReport &subtree) {
    std::vector<std::string> below;
    for (const auto &[version, brokers] : subtree.brokers)
        below.push_back(fmt::format("{}:{}", version, brokers));
    if (below.size() > kMaxReportedVersions)
        below.erase(below.begin(), below.end() - kMaxReportedVersions);
    std::vector<std::string> lacking;
    for (const distribution::LaggingBroker &broker : subtree.lagging)
        lacking.push_back(fmt::format("{}:{}", sanitize(broker.broker), broker.lag / kMicrosPerMilli));
    return fmt::format("&below={}&lacking={}", fmt::join(below, ","), fmt::join(lacking, ","));
}

} // namespace

std::string encode_query(const Report &report) {
    std::string query = "caller=" + sanitize(report.caller);
    if (report.applied)
        query += fmt::format("&applied={}", *report.applied);
    if (report.subtree)
        query += encode_subtree(*report.subtree);
    return query;
}

std::optional<ListCall> parse_call(std::string_view target) {
    const std::size_t question = target.find('?');
    const std::string_view path = target.substr(0, question);
    if (path != kNodesPath && path != kDocumentsPath)
        return std::nullopt;
    ListCall call;
    call.channel = path == kNodesPath ? Channel::Nodes : Channel::Documents;
    std::string_view query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty())
        parse_item(next_item(query, '&'), call);
    return call;
}

} // namespace marblewood::list_distribution
