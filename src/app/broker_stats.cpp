#include "app/broker_stats.hpp"

#include "admin/statistics.hpp"

#include <fmt/format.h>

namespace marblewood::app {

namespace {

/// Overload counters, summed over all dispatchers.
net::Counts overload_counts(const net::EndpointRegistry::Dispatchers &dispatchers) {
    net::Counts sum{};
    for (const auto &dispatcher : dispatchers) {
        const net::Counts one = net::counts(dispatcher->overload());
        for (std::size_t n = 0; n < one.size(); ++n)
            sum[n] = {one[n].first, sum[n].second + one[n].second};
    }
    return sum;
}

} // namespace

net::Costs BrokerStats::costs() const {
    using Kind = core::Outcome::Kind;
    net::Costs costs;
    costs.requests = from_.metrics.total();
    costs.probes = from_.metrics.probes;
    costs.connections = from_.sockets.node_sockets_opened();
    costs.list_calls = from_.discovery ? from_.discovery->metrics().calls : 0;
    costs.failed = from_.metrics.total(Kind::Failed);
    costs.broken = from_.metrics.streams_broken;
    costs.turned_away = from_.metrics.malformed_requests;
    costs.refused = from_.metrics.total(Kind::Refused);
    costs.unsent = from_.metrics.refused_unsent;
    costs.datagrams = from_.peers ? from_.peers->datagrams_sent() : 0;
    costs.datagram_bytes = from_.peers ? from_.peers->bytes_sent() : 0;
    costs.overload = overload_counts(from_.dispatchers);
    return costs;
}

std::string BrokerStats::text() const {
    admin::BrokerStatus status;
    status.open_requests = from_.endpoints.open_requests();
    status.nodes = from_.endpoints.size();
    status.avoided_nodes = from_.endpoints.avoided_nodes();
    status.costs = costs();
    status.clients = from_.clients.metrics();
    status.clients_open = from_.clients.open();
    status.clients_closing = from_.clients.closing();
    std::string text = admin::format_statistics(from_.metrics, from_.settings, status);
    if (from_.documents)
        text += fmt::format("balancer.configuration_version:{}|g\nbalancer.configuration_refused:{}|c\n",
                            from_.documents->applied_version(), from_.documents->rejected());
    if (from_.cell_router)
        text += from_.cell_router->stats();
    return text;
}

} // namespace marblewood::app
