/// \file
/// Time helpers that several rules use.
#pragma once

#include "marblewood/types.hpp"

#include <cmath>
#include <cstdint>

namespace marblewood::policy {

/// A point in time before all others. It is far enough from the end of the range that differences to it do
/// not overflow.
constexpr Micros kLongAgo = INT64_MIN / 4;

/// The factor by which an exponentially decayed sum shrinks from one time to another. The time constant is in
/// microseconds.
inline double decay(Micros from, Micros to, double time_constant_micros) {
    return std::exp(-static_cast<double>(to - from) / time_constant_micros);
}

} // namespace marblewood::policy
