// Exponential backoff with jitter: how long to wait before each further call of something that fails. Seeded,
// so that many callers don't act in step and a run can be repeated.
#pragma once

#include "marblewood/scheduler.hpp"

#include <algorithm>
#include <random>

namespace marblewood::core {

class Backoff {
public:
    Backoff(Micros least, Micros most, std::uint64_t seed) : least_(least), most_(most), random_(seed) {}
    // Twice the last one, `most` at the longest; of that a part drawn from its upper half.
    Micros next() {
        wait_ = std::clamp(2 * wait_, least_, most_);
        return wait_ - part(wait_ / 2);
    }
    void reset() { wait_ = 0; }
    Micros part(Micros most) { // drawn from 0 to `most`
        return most > 0 ? static_cast<Micros>(random_() % static_cast<std::uint64_t>(most + 1)) : 0;
    }

private:
    Micros least_, most_, wait_ = 0;
    std::mt19937_64 random_;
};

} // namespace marblewood::core
