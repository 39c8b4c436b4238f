/// \file
/// When the bytes in a session's input buffer arrived. Does no I/O and reads no clock.
#pragma once

#include "marblewood/types.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace marblewood::net {

/// Records the arrival times of a stream's bytes, oldest first, so that a request that is parsed long after
/// it arrived is timed from its arrival. Times are Unix time in microseconds.
class InputArrivals {
public:
    /// Reads within this time count as one, at the time of the first of them. It bounds the memory for a
    /// client that sends single bytes.
    static constexpr Micros kResolution = 10'000;

    /// `bytes` more have arrived at `at`, which is not before the time of earlier ones.
    void add(std::size_t bytes, Micros at);
    /// When the last byte before the newest `remaining` bytes arrived, at most kResolution too early. That
    /// byte must not have been forgotten.
    Micros before(std::size_t remaining) const;
    /// Forgets all but the newest `remaining` bytes.
    void keep(std::size_t remaining);

private:
    struct Read {
        std::uint64_t end = 0; // number of the stream's bytes up to its last one
        Micros at = 0;
    };
    std::vector<Read> reads_;
    std::uint64_t total_ = 0; // bytes added
};

} // namespace marblewood::net
