#include "net/costs.hpp"

#include "core/log.hpp"

namespace marblewood::net {
namespace {

constexpr Micros kEvery = 1'000'000; // us between looks

double a_thousand(std::uint64_t count, std::uint64_t requests) {
    return requests == 0 ? 0 : 1000.0 * static_cast<double>(count) / static_cast<double>(requests);
}

} // namespace

Counts counts(const OverloadFigures &f) {
    const auto whole = [](double units) { return static_cast<std::uint64_t>(units); };
    return {{{"cold_asked", f.grants.asked},      {"cold_given", f.grants.given},
             {"cold_taken", f.grants.taken},      {"cold_used", f.grants.used},
             {"cold_wasted", f.grants.wasted},    {"cold_strange", f.grants.strange},
             {"loans_asked", f.loans.asked},      {"loans_met", f.loans.met},
             {"units_lent", whole(f.loans.lent)}, {"units_taken", whole(f.loans.taken)},
             {"units_used", whole(f.loans.used)}, {"units_wasted", whole(f.loans.wasted)},
             {"loans_strange", f.loans.strange},  {"shed_limit", f.shed.limit},
             {"shed_no_node", f.shed.no_node},    {"shed_distrust", f.shed.distrust},
             {"shed_cold", f.shed.cold},          {"shed_bound", f.shed.bound},
             {"shed_worth", f.shed.worth},        {"shed_held", f.shed.held}}};
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
        if (n > 0) text += fmt::format(" {}={}", name, n);
    return text;
}

CostLog::CostLog(core::Deadlines &deadlines, std::function<Costs()> read)
    : deadlines_(deadlines), read_(std::move(read)) {
    next_ = deadlines_.in(kEvery, [this] { look(); });
}

void CostLog::look() {
    const Costs now = read_();
    if (now != last_) core::log("{}", spell(now));
    last_ = now;
    next_ = deadlines_.in(kEvery, [this] { look(); });
}

} // namespace marblewood::net
