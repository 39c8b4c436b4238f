// The log: one line an event on standard error, with the time since the start. A line that can't be written
// (a full disk, a reader that has gone) is lost; nothing else is.
#pragma once

#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <string>

namespace marblewood::core {

inline double seconds_up() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
template <typename... Args> void log(fmt::format_string<Args...> format, Args &&...args) {
    const std::string line =
        fmt::format("{:.3f} {}\n", seconds_up(), fmt::format(format, std::forward<Args>(args)...));
    std::fwrite(line.data(), 1, line.size(), stderr); // fmt::print would throw
}

} // namespace marblewood::core
