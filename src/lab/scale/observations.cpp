#include "lab/scale/observations.hpp"

#include <algorithm>

namespace marblewood::lab::scale {
namespace {

constexpr Micros kSecond = 1'000'000;

// When the broker first held the revision or a later one.
std::optional<Micros> held_from(const std::vector<Adoption> &adoptions, distribution::Revision revision) {
    const auto at = std::lower_bound(
        adoptions.begin(), adoptions.end(), revision,
        [](const Adoption &adoption, distribution::Revision wanted) { return adoption.revision < wanted; });
    if (at == adoptions.end())
        return std::nullopt;
    return at->at;
}

// Samples between two times, as indices: the first at or after `from`, and one beyond the last before
// `until`.
std::pair<std::size_t, std::size_t> samples(const BrokerRecord &broker, Micros from, Micros until) {
    const auto index = [&](Micros at) {
        const Micros seconds = (at - broker.first_sample + kSecond - 1) / kSecond;
        return std::min(static_cast<std::size_t>(std::max<Micros>(seconds, 0)), broker.traffic.size());
    };
    return {index(from), index(until)};
}

} // namespace

Micros due_from(const Published &change, const BrokerRecord &broker, const std::vector<Outage> &outages) {
    Micros due = std::max(change.at, broker.started);
    for (const Outage &outage : outages)
        if (outage.region == broker.region && due >= outage.from && due < outage.until)
            due = outage.until;
    return due;
}

Latencies latencies(const std::vector<Published> &changes, const std::vector<BrokerRecord> &brokers,
                    std::vector<Adoption> BrokerRecord::*held, const std::vector<Outage> &outages,
                    const std::function<bool(const Published &)> &counts) {
    Latencies found;
    std::vector<double> all;
    for (const Published &change : changes) {
        if (!counts(change))
            continue;
        for (const BrokerRecord &broker : brokers) {
            const auto at = held_from(broker.*held, change.revision);
            if (!at) {
                ++found.missed;
                continue;
            }
            const Micros late = std::max<Micros>(*at - due_from(change, broker, outages), 0);
            all.push_back(static_cast<double>(late) / 1e6);
            if (all.back() < found.worst_s)
                continue;
            found.worst_s = all.back();
            found.worst_broker = broker.name;
        }
    }
    found.counted = static_cast<int>(all.size());
    if (all.empty())
        return found;
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    found.median_s = *middle;
    return found;
}

Rates rates(const std::vector<BrokerRecord> &brokers, Micros from, Micros until) {
    Rates found;
    double bytes = 0, seconds = 0;
    for (const BrokerRecord &broker : brokers) {
        const auto [first, last] = samples(broker, from, until);
        if (last <= first + 1)
            continue;
        bytes += broker.traffic[last - 1] - broker.traffic[first];
        seconds += static_cast<double>(last - 1 - first);
        for (std::size_t n = first; n + kWindow < last; ++n)
            found.worst_window =
                std::max(found.worst_window, (broker.traffic[n + kWindow] - broker.traffic[n]) / kWindow);
    }
    if (seconds > 0)
        found.mean = bytes / seconds;
    return found;
}

} // namespace marblewood::lab::scale
