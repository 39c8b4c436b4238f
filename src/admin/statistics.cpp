#include "admin/statistics.hpp"

#include <fmt/format.h>

namespace marblewood::admin {
namespace {

/// The names that metrics use for the enumerators of Outcome::Kind, in their order.
constexpr std::array<std::string_view, 3> kOutcomeNames{"answered", "deferred", "errored"};

/// Formats metrics as StatsD text.
class MetricsWriter {
public:
    void counter(std::string_view name, std::uint64_t value) { append_line(name, value, 'c'); }
    void gauge(std::string_view name, std::uint64_t value) { append_line(name, value, 'g'); }
    std::string take() { return std::move(text_); }

private:
    void append_line(std::string_view name, std::uint64_t value, char type) {
        text_ += fmt::format("balancer.{}:{}|{}\n", name, value, type);
    }
    std::string text_;
};

void write_requests(MetricsWriter &out, const core::Metrics &metrics, const Settings &settings) {
    for (std::size_t cls = 0; cls < metrics.completed.size(); ++cls)
        for (std::size_t kind = 0; kind < kOutcomeNames.size(); ++kind)
            out.counter(fmt::format("{}.{}", kOutcomeNames[kind], settings.classes[cls].name),
                        metrics.completed[cls][kind]);
    out.counter("sends", metrics.attempts_written);
    out.counter("conf_loaded", metrics.reloads);
    out.counter("conf_invalid", metrics.reloads_failed);
}

void write_costs(MetricsWriter &out, const net::Costs &costs) {
    out.counter("probes", costs.probes);
    out.counter("connections", costs.connections);
    out.counter("list_calls", costs.list_calls);
    out.counter("broken", costs.broken);
    out.counter("turned_away", costs.turned_away);
    out.counter("unsent", costs.unsent);
    out.counter("datagrams", costs.datagrams);
    out.counter("datagram_bytes", costs.datagram_bytes);
    for (const auto &[name, value] : costs.overload)
        out.counter(name, value);
}

void write_retries(MetricsWriter &out, const core::Metrics &metrics) {
    for (std::size_t status = 0; status < metrics.retries.size(); ++status)
        out.counter(fmt::format("repeats_{}", core::kStatusNames[status]), metrics.retries[status]);
    out.counter("hedges", metrics.hedges);
    out.counter("refused_closing", metrics.refused_closing);
    out.counter("withdrawn", metrics.answered_early);
}

void write_clients(MetricsWriter &out, const BrokerStatus &status) {
    out.counter("clients_accepted", status.clients.accepted);
    for (std::size_t reason = 0; reason < status.clients.closed.size(); ++reason)
        out.counter(fmt::format("clients_closed_{}", net::kCloseReasonNames[reason]),
                    status.clients.closed[reason]);
    out.counter("clients_closed_unread", status.clients.closed_unread);
    out.counter("clients_closed_undelivered", status.clients.closed_undelivered);
    out.counter("clients_closed_unanswered", status.clients.closed_unanswered);
    out.gauge("clients_open", status.clients_open);
    out.gauge("clients_closing", status.clients_closing);
}

void write_memory(MetricsWriter &out, const BrokerStatus &status) {
    constexpr std::size_t kBytesPerKilobyte = 1024;
    out.gauge("memory_resident_kb", status.memory.resident_kb);
    out.gauge("memory_peak_kb", status.memory.peak_kb);
    out.gauge("memory_reserved_kb", status.reserved_bytes / kBytesPerKilobyte);
    out.gauge("quota_accounts", status.quota_accounts);
}

} // namespace

std::string format_statistics(const core::Metrics &metrics, const Settings &settings,
                              const BrokerStatus &status) {
    MetricsWriter out;
    write_requests(out, metrics, settings);
    write_costs(out, status.costs);
    write_retries(out, metrics);
    write_clients(out, status);
    out.gauge("current", status.open_requests);
    out.gauge("cluster_size", status.nodes);
    out.gauge("list_revision", static_cast<std::uint64_t>(std::max<std::int64_t>(status.list_revision, 0)));
    out.gauge("cluster_unhealthy", status.avoided_nodes);
    write_memory(out, status);
    return out.take();
}

} // namespace marblewood::admin
