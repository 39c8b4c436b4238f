#include "lab/report.hpp"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <set>

namespace marblewood::lab {
namespace {

std::string bound(const Check &c) {
    std::string text;
    if (c.least)
        text += fmt::format(">= {:g}", *c.least);
    if (c.most)
        text += fmt::format("{}<= {:g}", text.empty() ? "" : " and ", *c.most);
    return text;
}

} // namespace

std::vector<Verdict> judge(const std::vector<Check> &checks, const std::map<std::string, double> &metrics) {
    std::vector<Verdict> all;
    for (const Check &check : checks) {
        Verdict v{check, {}, false};
        if (const auto at = metrics.find(check.metric); at != metrics.end()) {
            v.value = at->second;
            v.holds = (!check.least || *v.value >= *check.least) && (!check.most || *v.value <= *check.most);
        }
        all.push_back(std::move(v));
    }
    return all;
}

Json::Value to_json(const std::vector<Verdict> &verdicts) {
    Json::Value checks(Json::arrayValue);
    for (const Verdict &v : verdicts) {
        Json::Value one;
        one["name"] = v.check.name;
        one["metric"] = v.check.metric;
        one["value"] = v.value ? Json::Value(*v.value) : Json::Value();
        one["bound"] = bound(v.check);
        one["holds"] = v.holds;
        checks.append(std::move(one));
    }
    return checks;
}

void compare(const Experiment &experiment, std::map<std::string, double> &metrics,
             const std::map<std::string, double> &base) {
    std::set<int> surged;
    for (const Surge &surge : experiment.surges)
        surged.insert(surge.cell);
    double others = 1e9;
    for (int cell = 0; cell < experiment.cells; ++cell) {
        const std::string name = fmt::format("served.cell.{}", cell);
        const auto was = base.find(name);
        const auto is = metrics.find(name);
        if (was == base.end() || is == metrics.end() || was->second <= 0)
            continue;
        const double kept = is->second / was->second;
        metrics[fmt::format("kept.cell.{}", cell)] = kept;
        if (!surged.contains(cell))
            others = std::min(others, kept);
    }
    if (others < 1e9)
        metrics["kept.others"] = others;
    if (const auto was = base.find("reserve"); was != base.end() && was->second > 0)
        metrics["kept.reserve"] = metrics["reserve"] / was->second;
    for (const auto &[name, value] : base) {
        metrics["base." + name] = value;
        if (value > 0 && metrics.contains(name))
            metrics["of_base." + name] = metrics[name] / value;
    }
}

void write_result(const std::filesystem::path &folder, const Experiment &experiment, std::uint64_t seed,
                  const std::map<std::string, double> &metrics, const std::vector<Verdict> &verdicts,
                  const Series &series) {
    Json::Value root;
    root["experiment"] = experiment.name;
    root["seed"] = static_cast<Json::UInt64>(seed);
    root["checks"] = to_json(verdicts);
    for (const auto &[name, value] : metrics)
        root["metrics"][name] = value;
    for (const auto &[cell, seconds] : series)
        for (const double units : seconds)
            root["series"][fmt::format("served.cell.{}", cell)].append(units);
    std::ofstream(folder / "result.json") << root.toStyledString();
}

void print(const std::map<std::string, double> &metrics, const std::vector<Verdict> &verdicts) {
    for (const auto &[name, value] : metrics)
        if (!name.starts_with("base."))
            fmt::print("  {:<44} {:>12.4g}\n", name, value);
    fmt::print("\n  {:<44} {:>12}  {:<16} {}\n", "check", "value", "bound", "holds");
    for (const Verdict &v : verdicts)
        fmt::print("  {:<44} {:>12}  {:<16} {}\n", v.check.name,
                   v.value ? fmt::format("{:.4g}", *v.value) : "missing", bound(v.check),
                   v.holds ? "yes" : "NO");
}

bool plot(const std::filesystem::path &folder, const Experiment &experiment, const Series &series,
          const Series &base) {
    std::string lines;
    const auto put = [&](const Series &of, const char *name) {
        for (const auto &[cell, seconds] : of) {
            const auto file = folder / fmt::format("{}-{}.dat", name, cell);
            std::ofstream data(file);
            for (std::size_t n = 0; n < seconds.size(); ++n)
                data << n << ' ' << seconds[n] << '\n';
            lines += fmt::format("{}'{}' using 1:2 with lines lc {} {} title 'cell {}{}'",
                                 lines.empty() ? "" : ", ", file.string(), cell + 1,
                                 name == std::string("base") ? "dt 3" : "lw 2", cell,
                                 name == std::string("base") ? ", compared with" : "");
        }
    };
    put(series, "run");
    put(base, "base");
    if (lines.empty())
        return false;
    std::FILE *const gnuplot = ::popen("gnuplot 2>/dev/null", "w");
    if (!gnuplot)
        return false;
    fmt::print(
        gnuplot,
        "set terminal svg size 900,420 font 'sans,11'\nset output '{}'\nset title '{}' noenhanced\nset "
        "xlabel 's'\n"
        "set ylabel 'units served in time, a second'\nset yrange [0:*]\nset key outside right\nplot {}\n",
        (folder / "service.svg").string(), experiment.name, lines);
    return ::pclose(gnuplot) == 0;
}

} // namespace marblewood::lab
