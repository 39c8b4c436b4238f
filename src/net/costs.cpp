#include "net/costs.hpp"

#include "core/log.hpp"

namespace marblewood::net {
namespace {

constexpr Micros kEvery = 1'000'000; // us between looks

double a_thousand(std::uint64_t count, std::uint64_t requests) {
    return requests == 0 ? 0 : 1000.0 * static_cast<double>(count) / static_cast<double>(requests);
}

} // namespace

std::string spell(const Costs &c) {
    return fmt::format("costs: requests={} probes={} connections={} list_calls={} probes_per_k={:.1f} "
                       "connections_per_k={:.1f} list_calls_per_k={:.1f} failed={} broken={} turned_away={} "
                       "refused={} unsent={}",
                       c.requests, c.probes, c.connections, c.list_calls, a_thousand(c.probes, c.requests),
                       a_thousand(c.connections, c.requests), a_thousand(c.list_calls, c.requests), c.failed,
                       c.broken, c.turned_away, c.refused, c.unsent);
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
