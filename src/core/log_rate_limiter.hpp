/// \file
/// Bounds how many log lines a second one kind of event may write.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <utility>

namespace marblewood::core {

/// Allows a fixed number of lines in each second and counts the others.
class LogRateLimiter {
public:
    explicit LogRateLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}

    /// Whether one more line may be written at `now` (Unix time in us); if not, it is counted as suppressed.
    bool allow(Micros now) {
        if (now - second_began_ >= kSecond) {
            second_began_ = now;
            lines_ = 0;
        }
        if (lines_ >= lines_per_second_) {
            ++suppressed_;
            return false;
        }
        ++lines_;
        return true;
    }
    /// How many lines were suppressed since the last call.
    std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }

private:
    static constexpr Micros kSecond = 1'000'000; // us

    const int lines_per_second_;
    Micros second_began_ = 0; // Unix time in us
    int lines_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace marblewood::core
