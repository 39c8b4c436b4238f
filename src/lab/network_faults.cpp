#include "lab/network_faults.hpp"

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace marblewood::lab {

std::vector<Micros> NetworkFaults::arrivals(int from, int to, Micros now) {
    std::vector<Micros> copies{0};
    for (const Spell &spell : spells_) {
        if (!spell.holds(false, from, to, now))
            continue;
        if (spell.cut || boost::random::bernoulli_distribution<double>(spell.lost)(random_))
            return {};
        if (boost::random::bernoulli_distribution<double>(spell.doubled)(random_))
            copies.push_back(copies.front());
        boost::random::uniform_int_distribution<Micros> late(spell.late_least,
                                                             std::max(spell.late_least, spell.late_most));
        for (Micros &copy : copies)
            copy += late(random_);
    }
    return copies;
}

bool NetworkFaults::silent(int broker, int node, Micros now) const {
    return std::ranges::any_of(
        spells_, [&](const Spell &spell) { return spell.cut && spell.holds(true, broker, node, now); });
}

} // namespace marblewood::lab
