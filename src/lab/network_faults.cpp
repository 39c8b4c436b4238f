#include "lab/network_faults.hpp"

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace marblewood::lab {

std::vector<Micros> NetworkFaults::arrivals(int from, int to, Micros now) {
    std::vector<Micros> copies{0};
    for (const FaultInterval &interval : intervals_) {
        if (!interval.applies(false, from, to, now))
            continue;
        if (interval.cut || boost::random::bernoulli_distribution<double>(interval.lost)(random_))
            return {};
        if (boost::random::bernoulli_distribution<double>(interval.doubled)(random_))
            copies.push_back(copies.front());
        boost::random::uniform_int_distribution<Micros> delay(
            interval.min_delay, std::max(interval.min_delay, interval.max_delay));
        for (Micros &copy : copies)
            copy += delay(random_);
    }
    return copies;
}

bool NetworkFaults::silent(int broker, int node, Micros now) const {
    return std::ranges::any_of(intervals_, [&](const FaultInterval &interval) {
        return interval.cut && interval.applies(true, broker, node, now);
    });
}

} // namespace marblewood::lab
