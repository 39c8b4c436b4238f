#include "net/costs.hpp"

#include "core/log.hpp"

namespace marblewood::net {
namespace {

constexpr Micros kEvery = 1'000'000; // us between looks

double a_thousand(std::uint64_t count, std::uint64_t requests) {
    return requests == 0 ? 0 : 1000.0 * static_cast<double>(count) / static_cast<double>(requests);
}

} // namespace

Counts counts(const OverloadMetrics &f) {
    const auto whole = [](double units) { return static_cast<std::uint64_t>(units); };
    return {{{"cold_asked", f.grants.requested},        {"cold_given", f.grants.granted},
             {"cold_taken", f.grants.accepted},         {"cold_used", f.grants.used},
             {"cold_wasted", f.grants.wasted},          {"cold_strange", f.grants.malformed},
             {"loans_asked", f.loans.requested},        {"loans_met", f.loans.registrations},
             {"units_lent", whole(f.loans.units_lent)}, {"units_taken", whole(f.loans.units_borrowed)},
             {"units_used", whole(f.loans.units_used)}, {"units_wasted", whole(f.loans.units_wasted)},
             {"loans_strange", f.loans.malformed},      {"shed_limit", f.shed.rate_limit},
             {"shed_no_node", f.shed.no_node},          {"shed_distrust", f.shed.ejected},
             {"shed_cold", f.shed.slow_start},          {"shed_bound", f.shed.concurrency_limit},
             {"shed_worth", f.shed.lower_priority},     {"shed_held", f.shed.queue_full}}};
}

std::string spell(const Costs &c) {
    std::string text =
        fmt::format("costs: requests={} probes={} connections={} list_calls={} probes_per_k={:.1f} "
                    "connections_per_k={:.1f} list_calls_per_k={:.1f} failed={} broken={} turned_away={} "
                    "refused={} unsent={} datagrams={} datagram_bytes={}",
                    c.requests, c.probes, c.connections, c.list_calls, a_thousand(c.probes, c.requests),
                    a_thousand(c.connections, c.requests), a_thousand(c.list_calls, c.requests), c.failed,
                    c.broken, c.turned_away, c.refused, c.unsent, c.datagrams, c.datagram_bytes);
    for (const auto &[name, n] : c.overload)
        if (n > 0)
            text += fmt::format(" {}={}", name, n);
    return text;
}

CostLog::CostLog(core::Deadlines &deadlines, std::function<Costs()> read)
    : deadlines_(deadlines), read_(std::move(read)) {
    next_ = deadlines_.in(kEvery, [this] { look(); });
}

void CostLog::look() {
    const Costs now = read_();
    if (now != last_)
        core::log("{}", spell(now));
    last_ = now;
    next_ = deadlines_.in(kEvery, [this] { look(); });
}

} // namespace marblewood::net
