/// \file
/// Results of a run: a printed table, result.json and a plot.
#pragma once

#include "lab/experiment.hpp"

#include <filesystem>

namespace marblewood::lab {

struct Verdict {
    Check check;
    std::optional<double> value; // empty if the run produced no such metric
    bool holds = false;
};
/// Evaluates each check against the metrics. A check whose metric is missing does not hold.
std::vector<Verdict> judge(const std::vector<Check> &checks, const std::map<std::string, double> &metrics);
Json::Value to_json(const std::vector<Verdict> &verdicts);

/// Adds the comparison with the baseline run to the metrics: kept.* and of_base.* as ratios to the baseline,
/// and all metrics of the baseline as base.*.
void compare(const Experiment &experiment, std::map<std::string, double> &metrics,
             const std::map<std::string, double> &base);

using Series = std::map<int, std::vector<double>>; // cell -> units served in each second
void write_result(const std::filesystem::path &folder, const Experiment &experiment, std::uint64_t seed,
                  const std::map<std::string, double> &metrics, const std::vector<Verdict> &verdicts,
                  const Series &series);
void print(const std::map<std::string, double> &metrics, const std::vector<Verdict> &verdicts);
/// Draws service.svg with gnuplot; returns false if there is no data or gnuplot is missing or fails.
bool plot(const std::filesystem::path &folder, const Experiment &experiment, const Series &series,
          const Series &base);

} // namespace marblewood::lab
