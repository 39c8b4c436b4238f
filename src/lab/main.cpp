// marblewood-lab: runs experiments against real brokers. docs/laboratory.md.
#include "lab/report.hpp"
#include "lab/world.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/resource.h>

using namespace marblewood;

namespace {

// 0: all checks hold; 1: one does not.
int run(const lab::Experiment &experiment, std::uint64_t seed, const std::filesystem::path &out) {
    const auto off = [&](const char *what) {
        return std::count(experiment.without.begin(), experiment.without.end(), what) > 0;
    };
    lab::Series base_series;
    std::map<std::string, double> base;
    if (!experiment.without.empty()) {
        fmt::print("{}, seed {}: the run to compare with, {} s\n", experiment.name, seed, experiment.seconds);
        std::filesystem::create_directories(out / "base");
        auto *const world = new lab::World(experiment, seed, out / "base",
                                           {!off("surges"), !off("faults"), !off("moves"), !off("talk")});
        base = world->run();
        base_series = world->series();
    }
    fmt::print("{}, seed {}: {} s\n", experiment.name, seed, experiment.seconds);
    auto *const world = new lab::World(experiment, seed, out / "run", {});
    auto metrics = world->run();
    if (!base.empty()) lab::compare(experiment, metrics, base);
    const auto verdicts = lab::judge(experiment, metrics);
    lab::print(metrics, verdicts);
    lab::write_result(out, experiment, seed, metrics, verdicts, world->series());
    const bool drawn = lab::plot(out, experiment, world->series(), base_series);
    fmt::print("\n{}{}\n", (out / "result.json").string(),
               drawn ? fmt::format(", {}", (out / "service.svg").string())
                     : " (no plot: there is no gnuplot)");
    return std::all_of(verdicts.begin(), verdicts.end(), [](const lab::Verdict &v) { return v.holds; }) ? 0
                                                                                                        : 1;
}

} // namespace

int main(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = std::min<rlim_t>(files.rlim_max, 16384);
        setrlimit(RLIMIT_NOFILE, &files);
    }
    CLI::App app{"marblewood-lab, experiments with brokers, keepers and emulated nodes on loopback"};
    auto *command =
        app.add_subcommand("run", "run an experiment: 0 if all its checks hold, 1 if not, 2 on bad input");
    auto *check = app.add_subcommand("check", "read an experiment and say what is wrong with it");
    app.require_subcommand(1);
    std::string file, out = "lab-out";
    std::uint64_t seed = 1;
    double seconds = 0;
    for (auto *sub : {command, check}) sub->add_option("file", file, "the experiment")->required();
    command->add_option("--seed", seed, "of arrivals, work and moves")->capture_default_str();
    command->add_option("--out", out, "the folder for what it writes")->capture_default_str();
    command->add_option("--seconds", seconds, "another length of the load");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    lab::Experiment experiment;
    try {
        std::ifstream in(file);
        std::ostringstream text;
        if (!in || !(text << in.rdbuf())) throw config::Error("cannot read " + file);
        experiment = lab::read_experiment(text.str());
        if (seconds > 0) experiment.seconds = seconds;
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood-lab: {}: {}\n", file, error.what());
        return 2;
    }
    if (*check) {
        fmt::print("{}: in order\n", file);
        return 0;
    }
    int code = 2;
    try {
        std::filesystem::create_directories(out);
        code = run(experiment, seed, std::filesystem::absolute(out));
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood-lab: {}\n", error.what());
    }
    std::fflush(nullptr);
    std::quick_exit(code); // the worlds' loops still hold coroutines: see World
}
