/// \file
/// Helpers shared by the parts of an experiment.
#pragma once

#include "marblewood/scheduler.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <exception>
#include <random>

namespace marblewood::lab {

inline Micros micros(double seconds) {
    return static_cast<Micros>(seconds * 1e6);
}

inline boost::asio::ip::tcp::endpoint loopback(int port) {
    return {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}

/// Returns an independent random generator per purpose and number, so that draws for one purpose do not
/// change those for another.
inline std::mt19937_64 random_stream(std::uint64_t seed, std::uint32_t purpose, std::uint32_t number = 0) {
    std::seed_seq seeds{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32), purpose,
                        number};
    return std::mt19937_64(seeds);
}

/// Completion handler for coroutines whose failure must end the run.
inline void rethrow(const std::exception_ptr &error) {
    if (error)
        std::rethrow_exception(error);
}

} // namespace marblewood::lab
