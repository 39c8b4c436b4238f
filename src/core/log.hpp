// The log: one line an event on standard error, with the time since the start.
#pragma once

#include <chrono>
#include <cstdio>
#include <fmt/format.h>

namespace marblewood::core {

inline double seconds_up() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
template <typename... Args> void log(fmt::format_string<Args...> format, Args &&...args) {
    fmt::print(stderr, "{:.3f} {}\n", seconds_up(), fmt::format(format, std::forward<Args>(args)...));
}

} // namespace marblewood::core
