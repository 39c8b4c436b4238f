/// \file
/// Numbers that tie grants to the requests they answer.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>

namespace marblewood::overload {

/// Numbers of one process, unique among those it still waits on. The time in them keeps them apart from those
/// of the processes before and after it at the same place.
class RequestNumbers {
public:
    std::uint64_t next(Micros now) {
        ++count_;
        return static_cast<std::uint64_t>(now) << kCounterBits | (count_ & kCounterMask);
    }

private:
    static constexpr int kCounterBits = 8;
    static constexpr std::uint64_t kCounterMask = (1u << kCounterBits) - 1;

    std::uint64_t count_ = 0;
};

} // namespace marblewood::overload
