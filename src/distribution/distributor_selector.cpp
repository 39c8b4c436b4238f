#include "distribution/distributor_selector.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace marblewood::distribution {
namespace {

int distance(const Locality &from, const Locality &to) {
    if (from.region != to.region)
        return 2;
    return from.zone == to.zone ? 0 : 1;
}

std::uint64_t rendezvous_hash(const std::string &broker, const std::string &distributor) {
    const std::string key = broker + '\n' + distributor;
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

DistributorSelector::DistributorSelector(std::vector<Distributor> distributors, const std::string &broker,
                                         const Locality &locality, std::uint64_t seed)
    : random_(seed) {
    for (Distributor &distributor : distributors)
        candidates_.push_back({std::move(distributor)});
    const auto rank = [&](const Candidate &candidate) {
        const Distributor &distributor = candidate.distributor;
        return std::tuple(distance(locality, distributor.locality),
                          ~rendezvous_hash(broker, distributor.name), std::cref(distributor.name).get());
    };
    std::sort(candidates_.begin(), candidates_.end(),
              [&](const Candidate &a, const Candidate &b) { return rank(a) < rank(b); });
}

void DistributorSelector::record_failure(Micros now) {
    Candidate &candidate = candidates_[current_];
    candidate.avoidance = std::clamp(2 * candidate.avoidance, kMinAvoidance, kMaxAvoidance);
    const auto jitter = random_() % static_cast<std::uint64_t>(candidate.avoidance);
    candidate.avoid_until = now + candidate.avoidance + static_cast<Micros>(jitter);
    current_ = choose(now);
}

bool DistributorSelector::reconsider(Micros now) {
    const std::size_t best = choose(now);
    if (best >= current_)
        return false;
    current_ = best;
    return true;
}

std::size_t DistributorSelector::choose(Micros now) const {
    const auto usable = [now](const Candidate &candidate) { return candidate.avoid_until <= now; };
    const auto found = std::find_if(candidates_.begin(), candidates_.end(), usable);
    if (found != candidates_.end())
        return static_cast<std::size_t>(found - candidates_.begin());
    const auto soonest =
        std::min_element(candidates_.begin(), candidates_.end(), [](const Candidate &a, const Candidate &b) {
            return a.avoid_until < b.avoid_until;
        });
    return static_cast<std::size_t>(soonest - candidates_.begin());
}

} // namespace marblewood::distribution
