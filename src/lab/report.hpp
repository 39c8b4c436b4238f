// What a run says: a table, result.json, and a plot.
#pragma once

#include "lab/experiment.hpp"

#include <filesystem>

namespace marblewood::lab {

struct Verdict {
    Check check;
    std::optional<double> value; // empty: there is no such figure
    bool holds = false;
};
// Each check against the figures. One whose figure is missing does not hold.
std::vector<Verdict> judge(const std::vector<Check> &checks, const std::map<std::string, double> &metrics);
Json::Value to_json(const std::vector<Verdict> &verdicts);

// Figures of a run beside those of the run it is compared with: kept.*, and all of that run's as base.*
void compare(const Experiment &experiment, std::map<std::string, double> &metrics,
             const std::map<std::string, double> &base);

using Series = std::map<int, std::vector<double>>; // cell -> units served in each second
void write_result(const std::filesystem::path &folder, const Experiment &experiment, std::uint64_t seed,
                  const std::map<std::string, double> &metrics, const std::vector<Verdict> &verdicts,
                  const Series &series);
void print(const std::map<std::string, double> &metrics, const std::vector<Verdict> &verdicts);
// By gnuplot; false where there is none.
bool plot(const std::filesystem::path &folder, const Experiment &experiment, const Series &series,
          const Series &base);

} // namespace marblewood::lab
