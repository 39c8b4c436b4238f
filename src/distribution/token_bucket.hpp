/// \file
/// A token bucket for bytes. A send may overdraw it; the deficit has to refill before the next send. No I/O
/// and no clock.
///
/// Guarantee. If each send waits for ready(), the bytes sent in any time span T are at most burst + rate * T
/// plus the last send.
#pragma once

#include "marblewood/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::distribution {

struct ByteBudget {
    double rate = 0;  ///< bytes/s
    double burst = 0; ///< bytes
};

class TokenBucket {
public:
    TokenBucket(ByteBudget budget, Micros now) : budget_(budget), level_(budget.burst), updated_at_(now) {}

    bool ready(Micros now) const { return level(now) > 0; }
    /// When the bucket is ready next, if nothing more is spent.
    Micros ready_at(Micros now) const {
        const double deficit = -level(now);
        return deficit < 0 ? now : now + 1 + static_cast<Micros>(std::ceil(deficit / budget_.rate * 1e6));
    }
    void spend(Micros now, double bytes) {
        level_ = level(now) - bytes;
        updated_at_ = std::max(updated_at_, now);
    }

private:
    double level(Micros now) const {
        const double elapsed_seconds = static_cast<double>(std::max<Micros>(now - updated_at_, 0)) / 1e6;
        return std::min(budget_.burst, level_ + elapsed_seconds * budget_.rate);
    }

    ByteBudget budget_;
    double level_; ///< bytes; under 0 after an overdraft
    Micros updated_at_;
};

} // namespace marblewood::distribution
