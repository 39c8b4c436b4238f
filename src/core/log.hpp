/// \file
/// The program's log: writes one line per event to standard error, prefixed with the seconds since the start
/// of the process.
#pragma once

#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <string>
#include <utility>

namespace marblewood::core {

/// Seconds since the first call of this function.
inline double uptime_seconds() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Writes one line of the form `event_name key=value key=value`. A line that cannot be written (full disk,
/// closed pipe) is dropped without an error.
template <typename... Args> void log(fmt::format_string<Args...> format, Args &&...args) {
    const std::string line =
        fmt::format("{:.3f} {}\n", uptime_seconds(), fmt::format(format, std::forward<Args>(args)...));
    std::fwrite(line.data(), 1, line.size(), stderr); // unlike fmt::print, does not throw on a failed write
}

} // namespace marblewood::core
