/// \file
/// Exponential backoff with jitter.
#pragma once

#include "marblewood/types.hpp"

#include <algorithm>
#include <random>

namespace marblewood::core {

/// How long to wait before each further call of something that fails. Seeded, so that many callers don't act
/// in step and a run can be repeated. All spans are in us.
class Backoff {
public:
    Backoff(Micros initial, Micros maximum, std::uint64_t seed)
        : initial_(initial), maximum_(maximum), random_(seed) {}

    /// Doubles the wait, from `initial` to `maximum`, and returns it less a random part of up to its half.
    Micros next() {
        wait_ = std::clamp(2 * wait_, initial_, maximum_);
        return wait_ - jitter(wait_ / 2);
    }
    /// To be called after a success.
    void reset() { wait_ = 0; }
    /// A random span from 0 to `maximum`, both included.
    Micros jitter(Micros maximum) {
        return maximum > 0 ? static_cast<Micros>(random_() % static_cast<std::uint64_t>(maximum + 1)) : 0;
    }

private:
    Micros initial_;
    Micros maximum_;
    Micros wait_ = 0; // the last one, before its jitter
    std::mt19937_64 random_;
};

} // namespace marblewood::core
