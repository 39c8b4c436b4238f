#include "app/broker_stats.hpp"

#include "admin/statistics.hpp"

#include <fmt/format.h>

namespace marblewood::app {

namespace {

/// Overload counters, summed over all dispatchers.
net::Counts overload_counts(const net::EndpointRegistry::Dispatchers &dispatchers) {
    net::Counts sum{};
    for (const auto &dispatcher : dispatchers) {
        const net::Counts counts = net::counts(dispatcher->overload());
        for (std::size_t n = 0; n < counts.size(); ++n)
            sum[n] = {counts[n].first, sum[n].second + counts[n].second};
    }
    return sum;
}

/// Volumes with an account, summed over all dispatchers.
std::size_t quota_accounts(const net::EndpointRegistry::Dispatchers &dispatchers) {
    std::size_t sum = 0;
    for (const auto &dispatcher : dispatchers)
        sum += dispatcher->quota_accounts();
    return sum;
}

} // namespace

net::Costs BrokerStats::costs() const {
    using Kind = core::Outcome::Kind;
    net::Costs costs;
    costs.requests = sources_.metrics.total();
    costs.probes = sources_.metrics.probes;
    costs.connections = sources_.sockets.node_sockets_opened();
    costs.list_calls = sources_.discovery ? sources_.discovery->metrics().calls : 0;
    costs.failed = sources_.metrics.total(Kind::Failed);
    costs.broken = sources_.metrics.streams_broken;
    costs.turned_away = sources_.metrics.malformed_requests;
    costs.refused = sources_.metrics.total(Kind::Refused);
    costs.unsent = sources_.metrics.refused_unsent;
    costs.datagrams = sources_.peers ? sources_.peers->datagrams_sent() : 0;
    costs.datagram_bytes = sources_.peers ? sources_.peers->bytes_sent() : 0;
    costs.overload = overload_counts(sources_.dispatchers);
    return costs;
}

ProcessState BrokerStats::process_state() const {
    const net::Clients::Busiest busiest = sources_.clients.take_busiest();
    return {.reserved_bytes = sources_.memory.reserved(),
            .reserved_limit_bytes = sources_.memory.limit(),
            .clients_open = sources_.clients.open_connections(),
            .clients_closing = sources_.clients.closing_connections(),
            .open_requests = sources_.endpoints.open_requests(),
            .quota_accounts = quota_accounts(sources_.dispatchers),
            .busiest_client = busiest.client,
            .busiest_received = busiest.bytes};
}

std::string BrokerStats::text() const {
    admin::BrokerStatus status;
    status.open_requests = sources_.endpoints.open_requests();
    status.nodes = sources_.endpoints.size();
    status.list_revision = sources_.endpoints.revision();
    status.avoided_nodes = sources_.endpoints.avoided_nodes();
    status.costs = costs();
    status.clients = sources_.clients.metrics();
    status.clients_open = sources_.clients.open_connections();
    status.clients_closing = sources_.clients.closing_connections();
    status.memory = core::read_memory_usage().value_or(core::MemoryUsage{});
    status.reserved_bytes = sources_.memory.reserved();
    status.quota_accounts = quota_accounts(sources_.dispatchers);
    std::string text = admin::format_statistics(sources_.metrics, sources_.settings, status);
    if (sources_.documents)
        text += fmt::format("balancer.configuration_version:{}|g\nbalancer.configuration_refused:{}|c\n",
                            sources_.documents->applied_version(), sources_.documents->rejected());
    if (sources_.cell_router)
        text += sources_.cell_router->stats();
    return text;
}

} // namespace marblewood::app
