// A bound on the lines a second that one kind of event may put into the log.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <utility>

namespace marblewood::core {

class LineLimit {
public:
    explicit LineLimit(int lines_per_second) : most_(lines_per_second) {}

    /// Whether one more line may be written at time `now`; if not, it is counted as left out.
    bool allows(Micros now) {
        if (now - second_ >= kSecond) {
            second_ = now;
            lines_ = 0;
        }
        if (lines_ >= most_) {
            ++left_out_;
            return false;
        }
        ++lines_;
        return true;
    }
    /// How many lines were left out since this was asked last.
    std::uint64_t take_left_out() { return std::exchange(left_out_, 0); }

private:
    static constexpr Micros kSecond = 1'000'000;

    const int most_;
    Micros second_ = 0; // when the current second began, Unix time in us
    int lines_ = 0;
    std::uint64_t left_out_ = 0;
};

} // namespace marblewood::core
