/// \file
/// The decisions' only source of chance.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>

namespace marblewood::policy {

/// Pseudo-random spans of time (xorshift), so that hosts that see the same do not act in step. The same seed
/// gives the same sequence.
class JitterSource {
public:
    explicit JitterSource(std::uint64_t seed) : state_(seed * 2 + 1) {} // odd: xorshift must not start at 0

    /// A span in [0, bound), in the unit of `bound`, which must be positive.
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
