/// \file
/// The program's log: one line for each event on standard error, with the seconds since the start.
#pragma once

#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <string>
#include <utility>

namespace marblewood::core {

/// Seconds since the first call.
inline double uptime_seconds() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Writes one line, in the form `event_name key=value key=value`. A line that can't be written (full disk,
/// closed pipe) is lost without an error.
template <typename... Args> void log(fmt::format_string<Args...> format, Args &&...args) {
    const std::string line =
        fmt::format("{:.3f} {}\n", uptime_seconds(), fmt::format(format, std::forward<Args>(args)...));
    std::fwrite(line.data(), 1, line.size(), stderr); // fmt::print would throw
}

} // namespace marblewood::core
