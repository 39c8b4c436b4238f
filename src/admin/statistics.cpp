#include "admin/statistics.hpp"

#include <fmt/format.h>

namespace marblewood::admin {
namespace {

/// The wire's names of Outcome::Kind, in its order.
constexpr std::array<std::string_view, 3> kOutcomeNames{"answered", "deferred", "errored"};

class Writer {
public:
    void count(std::string_view name, std::uint64_t value) { line(name, value, 'c'); }
    void gauge(std::string_view name, std::uint64_t value) { line(name, value, 'g'); }
    std::string take() { return std::move(text_); }

private:
    void line(std::string_view name, std::uint64_t value, char type) {
        text_ += fmt::format("balancer.{}:{}|{}\n", name, value, type);
    }
    std::string text_;
};

void put_requests(Writer &out, const core::Metrics &metrics, const Settings &settings) {
    for (std::size_t cls = 0; cls < metrics.completed.size(); ++cls)
        for (std::size_t kind = 0; kind < kOutcomeNames.size(); ++kind)
            out.count(fmt::format("{}.{}", kOutcomeNames[kind], settings.classes[cls].name),
                      metrics.completed[cls][kind]);
    out.count("sends", metrics.attempts_written);
    out.count("conf_loaded", metrics.reloads);
    out.count("conf_invalid", metrics.reloads_failed);
}

void put_costs(Writer &out, const net::Costs &costs) {
    out.count("probes", costs.probes);
    out.count("connections", costs.connections);
    out.count("list_calls", costs.list_calls);
    out.count("broken", costs.broken);
    out.count("turned_away", costs.turned_away);
    out.count("unsent", costs.unsent);
    out.count("datagrams", costs.datagrams);
    out.count("datagram_bytes", costs.datagram_bytes);
    for (const auto &[name, value] : costs.overload)
        out.count(name, value);
}

void put_retries(Writer &out, const core::Metrics &metrics) {
    for (std::size_t status = 0; status < metrics.retries.size(); ++status)
        out.count(fmt::format("repeats_{}", core::kStatusNames[status]), metrics.retries[status]);
    out.count("hedges", metrics.hedges);
    out.count("refused_closing", metrics.refused_closing);
    out.count("withdrawn", metrics.answered_early);
}

void put_clients(Writer &out, const BrokerStatus &status) {
    out.count("clients_accepted", status.clients.accepted);
    for (std::size_t reason = 0; reason < status.clients.closed.size(); ++reason)
        out.count(fmt::format("clients_closed_{}", net::kCloseReasonNames[reason]),
                  status.clients.closed[reason]);
    out.count("clients_closed_unread", status.clients.closed_unread);
    out.gauge("clients_open", status.clients_open);
    out.gauge("clients_closing", status.clients_closing);
}

} // namespace

std::string format_statistics(const core::Metrics &metrics, const Settings &settings,
                              const BrokerStatus &status) {
    Writer out;
    put_requests(out, metrics, settings);
    put_costs(out, status.costs);
    put_retries(out, metrics);
    put_clients(out, status);
    out.gauge("current", status.open_requests);
    out.gauge("cluster_size", status.nodes);
    out.gauge("cluster_unhealthy", status.avoided_nodes);
    return out.take();
}

} // namespace marblewood::admin
