// Which of several distributors a broker asks. Rendezvous hashing orders those of its zone, then those of its
// region, then all others; the first one that has not failed lately is asked. Free of I/O and clock.
//
// Bounds promised.
// - All orders of brokers are drawn independently: the brokers of one that is lost spread evenly over the
// rest.
// - After a failure the next one is asked at once, and the failed one again no sooner than kLeastAvoided and
// no
//   later than 2 * kMostAvoided, drawn for each broker, as long as another one answers.
#pragma once

#include "marblewood/scheduler.hpp"

#include <random>
#include <string>
#include <vector>

namespace marblewood::distribution {

struct Locality {
    std::string zone, region;
};

struct Distributor {
    std::string name, address;
    Locality locality;
};

class DistributorSelector {
public:
    static constexpr Micros kLeastAvoided = 5'000'000, kMostAvoided = 40'000'000; // us

    /// `distributors` must not be empty.
    DistributorSelector(std::vector<Distributor> distributors, const std::string &broker,
                        const Locality &locality, std::uint64_t seed);

    const Distributor &current() const { return candidates_[current_].distributor; }
    /// The current one has answered.
    void answered() { candidates_[current_].avoided = 0; }
    /// The current one has failed: another one is current, if there is one.
    void failed(Micros now);
    /// Goes back to one that is better placed, if it may be asked again. True if the current one has changed.
    bool reconsider(Micros now);

private:
    struct Candidate {
        Distributor distributor;
        Micros avoid_until = 0;
        Micros avoided = 0; // for how long after its last failure
    };
    std::size_t choose(Micros now) const;

    std::vector<Candidate> candidates_; // best first
    std::size_t current_ = 0;
    std::mt19937_64 random_;
};

} // namespace marblewood::distribution
