#include "app/distributor_stats.hpp"

#include <fmt/format.h>
#include <optional>
#include <string_view>

namespace marblewood::app {

namespace {

using list_distribution::Channel;
using list_distribution::ListServer;

constexpr Micros kMillisecond = 1000;

/// Formats metrics as StatsD text.
class MetricsText {
public:
    void gauge(std::string_view name, auto value) { append(name, value, 'g'); }
    void counter(std::string_view name, std::uint64_t value) { append(name, value, 'c'); }
    std::string take() { return std::move(text_); }

private:
    void append(std::string_view name, auto value, char type) {
        text_ += fmt::format("distribution.{}:{}|{}\n", name, value, type);
    }
    std::string text_;
};

void append_endpoint_list(MetricsText &text, const ListServer &server) {
    const auto &log = server.log(Channel::Nodes);
    text.gauge("revision", log.revision());
    text.gauge("oldest_revision", log.oldest());
    text.gauge("members", log.size());
}

void append_callers(MetricsText &text, const ListServer &server) {
    const auto &log = server.log(Channel::Nodes);
    std::size_t up_to_date = 0;
    std::optional<distribution::Revision> lowest_revision;
    for (const auto &[revision, callers] : server.delivery(Channel::Nodes).revisions_held()) {
        if (!lowest_revision)
            lowest_revision = revision;
        if (revision >= log.revision())
            up_to_date += callers;
    }
    text.gauge("callers", server.callers());
    text.gauge("callers_with_revision", up_to_date);
    text.gauge("lowest_revision_held", lowest_revision.value_or(log.revision()));
}

void append_answers(MetricsText &text, const ListServer &server) {
    const auto &nodes = server.delivery(Channel::Nodes).metrics();
    const auto &documents = server.delivery(Channel::Documents).metrics();
    text.counter("calls", nodes.calls + documents.calls);
    text.counter("answers_nothing", nodes.no_change + documents.no_change);
    text.counter("answers_changes", nodes.changes + documents.changes);
    text.counter("answers_whole", nodes.complete_lists);
    text.counter("documents.answers_whole", documents.complete_lists);
    text.counter("answers_behind", nodes.behind + documents.behind);
    text.counter("put_off", nodes.deferred + documents.deferred);
}

void append_traffic(MetricsText &text, const ListServer &server, const discovery::DiscoveryMetrics &parent) {
    const auto &metrics = server.metrics();
    text.counter("accepted", metrics.accepted);
    text.counter("turned_away", metrics.rejected);
    text.counter("malformed_calls", metrics.malformed);
    text.counter("received_bytes", metrics.received_bytes);
    text.counter("sent_bytes", metrics.sent_bytes);
    text.gauge("peak_second_bytes", metrics.peak_second_bytes);
    text.counter("parent_calls", parent.calls);
    text.counter("parent_sent_bytes", parent.sent_bytes);
    text.counter("parent_received_bytes", parent.received_bytes);
    text.counter("parent_failed", parent.failed);
    text.counter("parent_malformed", parent.malformed);
    text.counter("parent_older", parent.stale);
    text.counter("parent_partial", parent.incomplete);
}

/// How far the newest version of the configuration documents has been distributed, which brokers do not have
/// it yet, and for how long.
void append_documents(MetricsText &text, const ListServer &server, Micros now) {
    const auto summary = server.reports().summary(now);
    text.gauge("documents.version", server.log(Channel::Documents).revision());
    text.gauge("documents.brokers", summary.brokers);
    text.gauge("documents.brokers_with_version", summary.current);
    for (const auto &lagging : summary.lagging)
        text.gauge("documents.lacking_ms." + lagging.broker, lagging.lag / kMillisecond);
}

} // namespace

std::string distributor_stats(const ListServer &server, const discovery::DiscoveryMetrics &parent,
                              Micros now) {
    MetricsText text;
    append_endpoint_list(text, server);
    append_callers(text, server);
    append_answers(text, server);
    append_traffic(text, server, parent);
    append_documents(text, server, now);
    return text.take();
}

} // namespace marblewood::app
