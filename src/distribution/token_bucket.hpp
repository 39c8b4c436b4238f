// A byte budget: so many bytes a second, and a burst. What is sent may overdraw it, and is paid back before
// anything more is sent. Free of I/O and clock.
//
// Bound promised. Of sends that each waited for ready(), the bytes in any time T add up to at most
// burst + rate * T and the last send.
#pragma once

#include "marblewood/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::distribution {

/// Bytes a second, and bytes that may go at once.
struct ByteBudget {
    double rate = 0;
    double burst = 0;
};

class TokenBucket {
public:
    TokenBucket(ByteBudget budget, Micros now) : budget_(budget), level_(budget.burst), at_(now) {}

    bool ready(Micros now) const { return level(now) > 0; }
    /// When it is ready next, if nothing more is spent.
    Micros ready_at(Micros now) const {
        const double lacking = -level(now);
        return lacking < 0 ? now : now + 1 + static_cast<Micros>(std::ceil(lacking / budget_.rate * 1e6));
    }
    void spend(Micros now, double bytes) {
        level_ = level(now) - bytes;
        at_ = std::max(at_, now);
    }

private:
    double level(Micros now) const {
        const double passed = static_cast<double>(std::max<Micros>(now - at_, 0)) / 1e6;
        return std::min(budget_.burst, level_ + passed * budget_.rate);
    }

    ByteBudget budget_;
    double level_;
    Micros at_;
};

} // namespace marblewood::distribution
