/// \file
/// The clock that all parts of the program use.
#pragma once

#include "marblewood/types.hpp"

#include <chrono>

namespace marblewood::core {

/// Unix time in microseconds. It is read from the system clock once and advanced by the steady clock, so that
/// it never goes backwards.
class Clock {
public:
    Micros now() const { return start_ + to_micros(Steady::now() - steady_start_); }

    /// Sets the clock to `time`, which the predecessor of this process read from its own clock (hot restart).
    /// To be called before any other use of the clock.
    void continue_from(Micros time) { start_ += time - now(); }

private:
    using Steady = std::chrono::steady_clock;

    template <typename Duration> static Micros to_micros(Duration duration) {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

    Steady::time_point steady_start_ = Steady::now();
    Micros start_ = to_micros(std::chrono::system_clock::now().time_since_epoch());
};

} // namespace marblewood::core
