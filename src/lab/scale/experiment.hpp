// A scale experiment as a whole: the target's fleet, the sweeps with their lines, and what those predict.
#pragma once

#include "lab/report.hpp"
#include "lab/scale/fleet_run.hpp"
#include "lab/scale/line.hpp"

namespace marblewood::lab::scale {

struct Slope {
    std::string sweep, figure;
    Line line;
    std::vector<Point> points;
};

struct Predicted {
    Prediction prediction;
    double value = 0;
    std::optional<double> measured;
};

struct Result {
    Figures figures; // of the target; those of its run without distributors begin with "direct."
    std::vector<Slope> slopes;
    std::vector<Predicted> predictions;
};

/// Plays all that the plan names. Prints as it goes on.
Result run(const Plan &plan, std::uint64_t seed, const std::filesystem::path &folder);

/// What the lines say, before the target is played. Throws config::Error where there is no such line.
std::vector<Predicted> predict(const Plan &plan, const std::vector<Slope> &slopes);

/// result.json, in the form of other experiments, with `slopes` and `predictions`.
void write_result(const std::filesystem::path &folder, const Plan &plan, std::uint64_t seed,
                  const Result &result, const std::vector<Verdict> &verdicts);

} // namespace marblewood::lab::scale
