/// \file
/// Limits how many log lines per second one kind of event may write.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <utility>

namespace marblewood::core {

/// Allows a fixed number of lines in each window of one second and counts the suppressed ones.
class LogRateLimiter {
public:
    explicit LogRateLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}

    /// Whether one more line may be written at the Unix time `now`. If not, the line is counted as
    /// suppressed.
    bool allow(Micros now) {
        if (now - window_start_ >= kWindowLength) {
            window_start_ = now;
            lines_in_window_ = 0;
        }
        if (lines_in_window_ >= lines_per_second_) {
            ++suppressed_;
            return false;
        }
        ++lines_in_window_;
        return true;
    }
    /// Returns the number of lines suppressed since the last call and resets it.
    std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }

private:
    static constexpr Micros kWindowLength = 1'000'000;

    const int lines_per_second_;
    Micros window_start_ = 0; // Unix time
    int lines_in_window_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace marblewood::core
