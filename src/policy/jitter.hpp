/// \file
/// The decision module's only source of randomness.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>

namespace marblewood::policy {

/// Generates pseudo-random time spans (xorshift), so that hosts with the same observations do not act at the
/// same time. The same seed gives the same sequence.
class JitterSource {
public:
    explicit JitterSource(std::uint64_t seed) : state_(seed * 2 + 1) {} // odd: xorshift must not start at 0

    /// A time span in [0, bound). `bound` must be positive.
    Micros next(Micros bound) {
        state_ ^= state_ << 13;
        state_ ^= state_ >> 7;
        state_ ^= state_ << 17;
        return static_cast<Micros>(state_ % static_cast<std::uint64_t>(bound));
    }

private:
    std::uint64_t state_;
};

} // namespace marblewood::policy
