// The one clock: Unix time in microseconds, read once from the system and carried on by the steady clock, so
// that it never goes back.
#pragma once

#include "marblewood/scheduler.hpp"

#include <chrono>

namespace marblewood::core {

class Clock {
public:
    Micros now() const {
        return start_ +
               std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_).count();
    }

    /// From now on it is `time`: as another process had it, which carried on its own reading.
    void continue_from(Micros time) { start_ += time - now(); }

private:
    using Steady = std::chrono::steady_clock;
    Steady::time_point steady_start_ = Steady::now();
    Micros start_ = std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
};

} // namespace marblewood::core
