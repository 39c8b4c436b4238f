/// \file
/// Selects the distributor that a broker calls. The distributors of the broker's zone come first, then those
/// of its region, then all others, each group in the order of rendezvous hashing; the first one that has not
/// failed recently is selected. No I/O and no clock.
///
/// Guarantees:
/// - The orders of different brokers are independent: the brokers of a distributor that fails spread evenly
///   over the remaining ones.
/// - After a failure the next distributor is selected immediately. While another one answers, the failed
///   one is selected again no sooner than kMinAvoidance and no later than 2 * kMaxAvoidance after its
///   failure. The time is random for each broker.
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
    static constexpr Micros kMinAvoidance = 5'000'000, kMaxAvoidance = 40'000'000;

    /// `distributors` must not be empty.
    DistributorSelector(std::vector<Distributor> distributors, const std::string &broker,
                        const Locality &locality, std::uint64_t seed);

    const Distributor &current() const { return candidates_[current_].distributor; }
    /// The current distributor has answered.
    void record_success() { candidates_[current_].avoidance = 0; }
    /// The current distributor has failed; selects another one if there is one.
    void record_failure(Micros now);
    /// Returns to a distributor that comes earlier in the order once it may be called again. True if the
    /// current one has changed.
    bool reconsider(Micros now);

private:
    struct Candidate {
        Distributor distributor;
        Micros avoid_until = 0;
        Micros avoidance =
            0; ///< the minimum time without calls after its last failure; doubles with each one
    };
    std::size_t choose(Micros now) const;

    std::vector<Candidate> candidates_; ///< most preferred first
    std::size_t current_ = 0;
    std::mt19937_64 random_;
};

} // namespace marblewood::distribution
