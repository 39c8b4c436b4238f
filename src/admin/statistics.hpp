/// \file
/// The broker's metrics in the text form of StatsD, as `GET /admin/stats` answers them. Names, order and
/// types of the metrics are fixed: operators' tools read them (tests/fixtures/admin/).
#pragma once

#include "core/metrics.hpp"
#include "net/client_figures.hpp"
#include "net/costs.hpp"

#include <string>

namespace marblewood::admin {

/// What holds at present, beside the counts since the start.
struct BrokerStatus {
    std::size_t open_requests = 0;
    std::size_t nodes = 0;
    std::size_t avoided_nodes = 0;
    net::Costs costs;
    net::ClientFigures clients;
    std::size_t clients_open = 0;
    std::size_t clients_closing = 0;
};

/// One line a figure: "balancer.NAME:VALUE|c" for counts, "|g" for gauges.
std::string format_statistics(const core::Metrics &metrics, const Settings &settings,
                              const BrokerStatus &status);

} // namespace marblewood::admin
