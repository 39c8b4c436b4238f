/// \file
/// Exponential backoff with jitter.
#pragma once

#include "marblewood/types.hpp"

#include <algorithm>
#include <random>

namespace marblewood::core {

/// Computes the delay before each retry of a failed operation. The seed keeps many callers from retrying in
/// step and makes a run reproducible.
class Backoff {
public:
    Backoff(Micros initial, Micros maximum, std::uint64_t seed)
        : initial_(initial), maximum_(maximum), random_(seed) {}

    /// Doubles the delay, between `initial` and `maximum`, and returns it reduced by a random amount of at
    /// most half of it.
    Micros next() {
        delay_ = std::clamp(2 * delay_, initial_, maximum_);
        return delay_ - jitter(delay_ / 2);
    }
    /// Starts again from the initial delay. To be called after a success.
    void reset() { delay_ = 0; }
    /// A random duration between 0 and `maximum`, inclusive.
    Micros jitter(Micros maximum) {
        return maximum > 0 ? static_cast<Micros>(random_() % static_cast<std::uint64_t>(maximum + 1)) : 0;
    }

private:
    Micros initial_;
    Micros maximum_;
    Micros delay_ = 0; // the last delay, without jitter
    std::mt19937_64 random_;
};

} // namespace marblewood::core
