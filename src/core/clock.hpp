/// \file
/// The clock of the whole program.
#pragma once

#include "marblewood/types.hpp"

#include <chrono>

namespace marblewood::core {

/// Unix time in us, read once from the system clock and carried on by the steady clock, so that it never goes
/// back.
class Clock {
public:
    Micros now() const { return start_ + to_micros(Steady::now() - steady_start_); }

    /// Sets the clock to `time`, which a predecessor of this process read on its own clock (hot restart). To
    /// be called before any time is used.
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
