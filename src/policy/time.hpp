/// \file
/// Helpers on time that several rules share.
#pragma once

#include "marblewood/types.hpp"

#include <cmath>
#include <cstdint>

namespace marblewood::policy {

/// A point in time that lies before every other; far enough from the end of the range to subtract from.
constexpr Micros kLongAgo = INT64_MIN / 4;

/// The factor by which an exponentially decayed sum shrinks between two times, for a time constant in us.
inline double decay(Micros from, Micros to, double time_constant) {
    return std::exp(-static_cast<double>(to - from) / time_constant);
}

} // namespace marblewood::policy
