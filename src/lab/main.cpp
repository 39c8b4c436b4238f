/// \file
/// marblewood-lab runs experiments with real brokers; see docs/laboratory.md.
#include "config/config.hpp"
#include "lab/report.hpp"
#include "lab/scale/experiment.hpp"
#include "lab/scale/hollow_broker.hpp"
#include "lab/world.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>
#include <sys/resource.h>

using namespace marblewood;

namespace {

// Returns the exit code: 0 if all checks hold, else 1.
int run(const lab::Experiment &experiment, std::uint64_t seed, const std::filesystem::path &out) {
    const auto left_out = [&](const char *what) {
        return std::count(experiment.without.begin(), experiment.without.end(), what) > 0;
    };
    lab::Series base_series;
    std::map<std::string, double> base;
    if (!experiment.without.empty()) {
        fmt::print("{}, seed {}: baseline run, {} s\n", experiment.name, seed, experiment.seconds);
        std::filesystem::create_directories(out / "base");
        auto *const testbed = new lab::Testbed(
            experiment, seed, out / "base",
            {!left_out("surges"), !left_out("faults"), !left_out("moves"), !left_out("talk")});
        base = testbed->run();
        base_series = testbed->series();
    }
    fmt::print("{}, seed {}: {} s\n", experiment.name, seed, experiment.seconds);
    auto *const testbed = new lab::Testbed(experiment, seed, out / "run", {});
    auto metrics = testbed->run();
    if (!base.empty())
        lab::compare(experiment, metrics, base);
    const auto verdicts = lab::judge(experiment.checks, metrics);
    lab::print(metrics, verdicts);
    lab::write_result(out, experiment, seed, metrics, verdicts, testbed->series());
    const bool plotted = lab::plot(out, experiment, testbed->series(), base_series);
    fmt::print("\n{}{}\n", (out / "result.json").string(),
               plotted ? fmt::format(", {}", (out / "service.svg").string())
                       : " (no plot: there is no gnuplot)");
    return std::all_of(verdicts.begin(), verdicts.end(), [](const lab::Verdict &v) { return v.holds; }) ? 0
                                                                                                        : 1;
}

int run_scale(const lab::scale::Plan &plan, std::uint64_t seed, const std::filesystem::path &out) {
    const lab::scale::Result result = lab::scale::run(plan, seed, out);
    const auto verdicts = lab::judge(plan.checks, result.figures);
    lab::print(result.figures, verdicts);
    for (const auto &[prediction, value, measured] : result.predictions)
        fmt::print("  predicted {} {:.4g}, measured {}\n", prediction.measured, value,
                   measured ? fmt::format("{:.4g}", *measured) : "nothing");
    lab::scale::write_result(out, plan, seed, result, verdicts);
    fmt::print("\n{}\n", (out / "result.json").string());
    const auto holds = [](const lab::Verdict &verdict) { return verdict.holds; };
    return std::all_of(verdicts.begin(), verdicts.end(), holds) ? 0 : 1;
}

// Content of an experiment file; exactly one of the two is set.
struct Task {
    std::optional<lab::Experiment> experiment;
    std::optional<lab::scale::Plan> plan;
};

Task read(const std::string &file, bool scale, double seconds) {
    const std::string text = config::read_text(file);
    Task task;
    if (scale) {
        task.plan = lab::scale::read_plan(text);
        if (task.plan->fleet)
            lab::scale::check_load(*task.plan->fleet, lab::scale::machine_memory_mb());
        return task;
    }
    task.experiment = lab::read_experiment(text);
    if (seconds > 0)
        task.experiment->seconds = seconds;
    return task;
}

void allow_many_descriptors() {
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0)
        return;
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

} // namespace

int main(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    allow_many_descriptors();
    CLI::App app{"marblewood-lab, experiments with brokers, keepers and emulated nodes on loopback"};
    auto *command =
        app.add_subcommand("run", "run an experiment: 0 if all its checks hold, 1 if not, 2 on bad input");
    auto *scale =
        app.add_subcommand("scale", "run a scale experiment, with the same exit codes (docs/CAPACITY.md)");
    auto *check = app.add_subcommand("check", "validate an experiment file without running it");
    auto *check_scale =
        app.add_subcommand("check-scale", "validate a scale experiment file without running it");
    auto *hollow = app.add_subcommand("hollow", "run hollow brokers; started by scale experiments");
    app.require_subcommand(1);
    std::string file, out = "lab-out";
    std::uint64_t seed = 1;
    double seconds = 0;
    for (auto *sub : {command, scale, check, check_scale, hollow})
        sub->add_option("file", file, "the experiment file")->required();
    for (auto *sub : {command, scale}) {
        sub->add_option("--seed", seed, "seed of all random choices")->capture_default_str();
        sub->add_option("--out", out, "output folder")->capture_default_str();
    }
    command->add_option("--seconds", seconds, "duration of the load in seconds, instead of that in the file");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    Task task;
    try {
        if (*hollow)
            return lab::scale::run_hollow_process(file);
        task = read(file, *scale || *check_scale, seconds);
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood-lab: {}: {}\n", file, error.what());
        return 2;
    }
    if (*check || *check_scale) {
        fmt::print("{}: in order\n", file);
        return 0;
    }
    int code = 2;
    try {
        std::filesystem::create_directories(out);
        const auto folder = std::filesystem::absolute(out);
        code = task.plan ? run_scale(*task.plan, seed, folder) : run(*task.experiment, seed, folder);
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood-lab: {}\n", error.what());
    }
    std::fflush(nullptr);
    std::quick_exit(code); // Runs no destructors: the event loops still hold coroutines, see Testbed.
}
