/// \file
/// Numbers that match grants to the requests that they answer.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>

namespace marblewood::overload {

/// Generates request numbers that are unique among the pending requests of a process. They contain the time,
/// so that they differ from those of earlier and later processes of the same host.
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
