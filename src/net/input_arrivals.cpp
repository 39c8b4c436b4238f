#include "net/input_arrivals.hpp"

#include <algorithm>

namespace marblewood::net {

void InputArrivals::add(std::size_t bytes, Micros at) {
    if (bytes == 0)
        return;
    total_ += bytes;
    if (!reads_.empty() && at - reads_.back().at < kResolution)
        reads_.back().end = total_;
    else
        reads_.push_back({total_, at});
}

Micros InputArrivals::before(std::size_t remaining) const {
    const std::uint64_t position = total_ - remaining;
    const auto read = std::ranges::lower_bound(reads_, position, {}, &Read::end);
    return read->at;
}

void InputArrivals::keep(std::size_t remaining) {
    const std::uint64_t position = total_ - remaining;
    reads_.erase(reads_.begin(), std::ranges::upper_bound(reads_, position, {}, &Read::end));
}

} // namespace marblewood::net
