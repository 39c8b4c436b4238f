#include "net/costs.hpp"

#include "core/log.hpp"

namespace marblewood::net {
namespace {

constexpr Micros kLogInterval = 1'000'000;

double per_thousand(std::uint64_t count, std::uint64_t requests) {
    return requests == 0 ? 0 : 1000.0 * static_cast<double>(count) / static_cast<double>(requests);
}

} // namespace

Counts counts(const OverloadMetrics &metrics) {
    const auto whole = [](double units) { return static_cast<std::uint64_t>(units); };
    return {{{"cold_asked", metrics.grants.requested},
             {"cold_given", metrics.grants.granted},
             {"cold_taken", metrics.grants.accepted},
             {"cold_used", metrics.grants.used},
             {"cold_wasted", metrics.grants.wasted},
             {"cold_strange", metrics.grants.malformed},
             {"loans_asked", metrics.loans.requested},
             {"loans_met", metrics.loans.registrations},
             {"units_lent", whole(metrics.loans.units_lent)},
             {"units_taken", whole(metrics.loans.units_borrowed)},
             {"units_used", whole(metrics.loans.units_used)},
             {"units_wasted", whole(metrics.loans.units_wasted)},
             {"loans_strange", metrics.loans.malformed},
             {"shed_limit", metrics.shed.rate_limit},
             {"shed_no_node", metrics.shed.no_node},
             {"shed_distrust", metrics.shed.ejected},
             {"shed_cold", metrics.shed.slow_start},
             {"shed_bound", metrics.shed.concurrency_limit},
             {"shed_worth", metrics.shed.lower_priority},
             {"shed_held", metrics.shed.queue_full}}};
}

std::string format_costs(const Costs &costs) {
    std::string text = fmt::format(
        "costs: requests={} probes={} connections={} list_calls={} probes_per_k={:.1f} "
        "connections_per_k={:.1f} list_calls_per_k={:.1f} failed={} broken={} turned_away={} "
        "refused={} unsent={} datagrams={} datagram_bytes={}",
        costs.requests, costs.probes, costs.connections, costs.list_calls,
        per_thousand(costs.probes, costs.requests), per_thousand(costs.connections, costs.requests),
        per_thousand(costs.list_calls, costs.requests), costs.failed, costs.broken, costs.turned_away,
        costs.refused, costs.unsent, costs.datagrams, costs.datagram_bytes);
    for (const auto &[name, count] : costs.overload)
        if (count > 0)
            text += fmt::format(" {}={}", name, count);
    return text;
}

CostLog::CostLog(core::Deadlines &deadlines, std::function<Costs()> read)
    : deadlines_(deadlines), read_(std::move(read)) {
    timer_ = deadlines_.in(kLogInterval, [this] { log_if_changed(); });
}

void CostLog::log_if_changed() {
    const Costs now = read_();
    if (now != last_logged_)
        core::log("{}", format_costs(now));
    last_logged_ = now;
    timer_ = deadlines_.in(kLogInterval, [this] { log_if_changed(); });
}

} // namespace marblewood::net
