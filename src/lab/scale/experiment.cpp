#include "lab/scale/experiment.hpp"

#include "lab/scale/client_load.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>

namespace marblewood::lab::scale {
namespace {

FleetPlan fleet_of(const Sweep &sweep, double value, const Json::Value &settings) {
    FleetPlan fleet;
    fleet.size = sweep.size;
    fleet.real = sweep.real;
    fleet.without_list = sweep.without_list;
    fleet.settings = settings;
    double changes = sweep.changes_per_second;
    if (sweep.of == Sweep::Of::Nodes)
        fleet.size.nodes = static_cast<int>(value);
    if (sweep.of == Sweep::Of::Brokers)
        fleet.size.brokers = static_cast<int>(value);
    if (sweep.of == Sweep::Of::Changes)
        changes = value;
    fleet.phases.push_back({"rest", sweep.seconds, changes, 0});
    return fleet;
}

Figures play_once(const Sweep &sweep, double value, const Plan &plan, std::uint64_t seed,
                  const std::filesystem::path &folder) {
    const bool clients = sweep.of == Sweep::Of::Clients, volumes = sweep.of == Sweep::Of::Volumes;
    if (clients || volumes)
        return load_clients(clients ? ClientLoad::Connections : ClientLoad::Volumes, static_cast<int>(value),
                            sweep.size.nodes, plan.settings, seed, folder);
    return play(fleet_of(sweep, value, plan.settings), seed, folder);
}

std::vector<Slope> run_sweep(const Sweep &sweep, const Plan &plan, std::uint64_t seed,
                             const std::filesystem::path &folder) {
    std::vector<Slope> slopes;
    for (const std::string &figure : sweep.figures)
        slopes.push_back({sweep.name, figure, {}, {}});
    for (const double value : sweep.values)
        for (int repeat = 0; repeat < plan.repeats; ++repeat) {
            const std::uint64_t own_seed = seed + static_cast<std::uint64_t>(repeat);
            const Figures figures =
                play_once(sweep, value, plan, own_seed, folder / fmt::format("{}-{:g}", sweep.name, value));
            fmt::print("{} {:g}, seed {}:", sweep.name, value, own_seed);
            for (Slope &slope : slopes) {
                const auto at = figures.find(slope.figure);
                if (at == figures.end())
                    throw std::runtime_error("there is no figure " + slope.figure);
                slope.points.push_back({value, at->second});
                fmt::print(" {} {:.4g}", slope.figure, at->second);
            }
            fmt::print("\n");
        }
    for (Slope &slope : slopes) {
        slope.line = fit(slope.points);
        fmt::print("  {} {}: {:.4g} + {:.4g} x (errors {:.2g}, {:.2g}; x {:g} to {:g})\n", slope.sweep,
                   slope.figure, slope.line.intercept, slope.line.slope, slope.line.intercept_error,
                   slope.line.slope_error, slope.line.least, slope.line.most);
    }
    return slopes;
}

const Slope &slope_of(const std::vector<Slope> &slopes, const std::string &sweep, const std::string &figure) {
    const auto at = std::find_if(slopes.begin(), slopes.end(), [&](const Slope &slope) {
        return slope.sweep == sweep && slope.figure == figure;
    });
    if (at == slopes.end())
        throw config::Error(fmt::format("no line of sweep '{}' and figure '{}'", sweep, figure));
    return *at;
}

std::map<double, double> means(const std::vector<Point> &points) {
    std::map<double, std::pair<double, int>> sums;
    for (const Point &point : points) {
        sums[point.x].first += point.y;
        ++sums[point.x].second;
    }
    std::map<double, double> all;
    for (const auto &[x, sum] : sums)
        all[x] = sum.first / sum.second;
    return all;
}

double percent(double value, double of) {
    return of == 0 ? 0 : 100 * (value - of) / of;
}

void compare(const Plan &plan, Result &result) {
    for (const Comparison &comparison : plan.comparisons) {
        const Slope &first = slope_of(result.slopes, comparison.sweep, comparison.figure);
        const Slope &second = slope_of(result.slopes, comparison.with, comparison.figure);
        const auto firsts = means(first.points);
        const std::string name = fmt::format("compare.{}.{}", comparison.with, comparison.figure);
        for (const auto &[x, mean] : means(second.points))
            if (const auto at = firsts.find(x); at != firsts.end())
                result.figures[fmt::format("{}.{:g}.percent", name, x)] = percent(mean, at->second);
        result.figures[name + ".slope_percent"] = percent(second.line.slope, first.line.slope);
    }
}

} // namespace

std::vector<Predicted> predict(const Plan &plan, const std::vector<Slope> &slopes) {
    std::vector<Predicted> all;
    for (const Prediction &prediction : plan.predictions) {
        const Line &line = slope_of(slopes, prediction.sweep, prediction.figure).line;
        all.push_back({prediction, line.at(prediction.at) * prediction.times, {}});
    }
    return all;
}

Result run(const Plan &plan, std::uint64_t seed, const std::filesystem::path &folder) {
    Result result;
    for (const Sweep &sweep : plan.sweeps) {
        auto slopes = run_sweep(sweep, plan, seed, folder);
        result.slopes.insert(result.slopes.end(), slopes.begin(), slopes.end());
    }
    result.predictions = predict(plan, result.slopes);
    if (plan.fleet) {
        fmt::print("{} brokers before {} nodes, {} distributors\n", plan.fleet->size.brokers,
                   plan.fleet->size.nodes, plan.fleet->size.distributors);
        result.figures = play(*plan.fleet, seed, folder / "fleet");
    }
    if (plan.fleet && plan.compare_direct) {
        FleetPlan direct = *plan.fleet;
        direct.size.distributors = 0;
        direct.size.documents = false; // there is no other way for them
        for (Phase &phase : direct.phases)
            phase.documents_per_second = 0;
        std::erase_if(direct.events, [](const Event &event) {
            return event.kind != Event::Kind::StartZone && event.kind != Event::Kind::RemoveNodes;
        });
        fmt::print("the same, all asking discovery\n");
        for (const auto &[name, value] : play(direct, seed, folder / "direct"))
            result.figures["direct." + name] = value;
    }
    for (Predicted &predicted : result.predictions) {
        const std::string &name = predicted.prediction.measured;
        const auto at = result.figures.find(name);
        if (at == result.figures.end())
            continue;
        predicted.measured = at->second;
        const double error = std::abs(percent(predicted.value, at->second));
        result.figures["predicted." + name + ".error_percent"] = error;
    }
    compare(plan, result);
    for (const Slope &slope : result.slopes)
        result.figures[fmt::format("slope.{}.{}", slope.sweep, slope.figure)] = slope.line.slope;
    return result;
}

void write_result(const std::filesystem::path &folder, const Plan &plan, std::uint64_t seed,
                  const Result &result, const std::vector<Verdict> &verdicts) {
    Json::Value root;
    root["experiment"] = plan.name;
    root["seed"] = static_cast<Json::UInt64>(seed);
    root["checks"] = to_json(verdicts);
    for (const auto &[name, value] : result.figures)
        root["metrics"][name] = value;
    for (const Slope &slope : result.slopes) {
        Json::Value row;
        row["sweep"] = slope.sweep, row["figure"] = slope.figure;
        row["slope"] = slope.line.slope, row["slope_error"] = slope.line.slope_error;
        row["intercept"] = slope.line.intercept, row["intercept_error"] = slope.line.intercept_error;
        row["residual"] = slope.line.residual;
        row["from"] = slope.line.least, row["to"] = slope.line.most;
        for (const Point &point : slope.points) {
            Json::Value pair;
            pair.append(point.x), pair.append(point.y);
            row["points"].append(std::move(pair));
        }
        root["slopes"].append(std::move(row));
    }
    for (const Predicted &predicted : result.predictions) {
        Json::Value row;
        row["sweep"] = predicted.prediction.sweep, row["figure"] = predicted.prediction.figure;
        row["at"] = predicted.prediction.at, row["times"] = predicted.prediction.times;
        row["predicted"] = predicted.value;
        row["metric"] = predicted.prediction.measured;
        if (predicted.measured)
            row["measured"] = *predicted.measured;
        root["predictions"].append(std::move(row));
    }
    std::ofstream(folder / "result.json") << root.toStyledString();
}

} // namespace marblewood::lab::scale
