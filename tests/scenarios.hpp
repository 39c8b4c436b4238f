/// \file
/// The command line of tests that run one of several scenarios, or a range of seeds.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <span>
#include <string>
#include <string_view>

namespace test {

struct Scenario {
    const char *name;
    void (*run)();
};

/// Runs the scenario that the first argument names. Returns the exit code.
inline int run_scenario(std::span<const Scenario> scenarios, int argc, char **argv) {
    const std::string_view wanted = argc > 1 ? argv[1] : "";
    for (const Scenario &scenario : scenarios)
        if (scenario.name == wanted) {
            scenario.run();
            return 0;
        }
    fmt::print(stderr, "usage: {} SCENARIO\n", argv[0]);
    return 2;
}

/// Calls `run` with each seed, from the first argument on, as many as the second says; it returns whether all
/// was well. Prints the seeds that failed. Returns the exit code.
inline int run_seeds(bool (*run)(unsigned seed), int argc, char **argv) {
    if (argc != 3) {
        fmt::print(stderr, "usage: {} FIRST-SEED SEEDS\n", argv[0]);
        return 2;
    }
    const auto first = static_cast<unsigned>(std::atoi(argv[1]));
    const auto count = static_cast<unsigned>(std::atoi(argv[2]));
    std::string failed_seeds;
    for (unsigned seed = first; seed < first + count; ++seed)
        if (!run(seed))
            failed_seeds += fmt::format(" {}", seed);
    fmt::print("{} seeds; failed:{}\n", count, failed_seeds.empty() ? " none" : failed_seeds);
    return failed_seeds.empty() ? 0 : 1;
}

} // namespace test
