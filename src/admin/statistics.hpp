/// \file
/// The broker's metrics in StatsD text format, as returned by `GET /admin/stats`. The names, order and types
/// of the metrics are fixed, because operators' tools read them (see tests/fixtures/admin/).
#pragma once

#include "core/memory_usage.hpp"
#include "core/metrics.hpp"
#include "net/client_figures.hpp"
#include "net/costs.hpp"

#include <string>

namespace marblewood::admin {

/// Current values, and those counters that are not part of core::Metrics.
struct BrokerStatus {
    std::size_t open_requests = 0;
    std::size_t nodes = 0;
    std::int64_t list_revision = 0; ///< of the endpoint list in use
    std::size_t avoided_nodes = 0;
    net::Costs costs;
    net::ClientFigures clients;
    std::size_t clients_open = 0;
    std::size_t clients_closing = 0;
    core::MemoryUsage memory;
    std::size_t reserved_bytes = 0; ///< of the budget for clients' requests and answers
    std::size_t quota_accounts = 0; ///< volumes that this host accounts for
};

/// Formats one line per metric: "balancer.NAME:VALUE|c" for counters, "balancer.NAME:VALUE|g" for gauges.
std::string format_statistics(const core::Metrics &metrics, const Settings &settings,
                              const BrokerStatus &status);

} // namespace marblewood::admin
