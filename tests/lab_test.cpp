// Tests the invariant checks and random faults of the experiments: each check must be able to fail.
#include "lab/network_faults.hpp"
#include "lab/oracle.hpp"
#include "lab/report.hpp"
#include "lab/scale/plan.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace marblewood;
using namespace marblewood::lab;

namespace {

std::string demo() {
    std::ostringstream text;
    text << std::ifstream(MARBLEWOOD_LAB_FOLDER "/demo.json").rdbuf();
    return text.str();
}
std::string read_error(std::string text, const std::string &from, const std::string &to) {
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    try {
        read_experiment(text);
    } catch (const config::Error &error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST(LimitWatch, SeesABurstBeyondTheSlack) {
    LimitMonitor watch(100, 50, 10, 0);
    watch.spend(0, 50);
    EXPECT_EQ(watch.worst_ratio(), 0);
    watch.spend(0, 5);
    EXPECT_DOUBLE_EQ(watch.worst_ratio(), 0.5);
    watch.spend(200'000, 20); // 20 units were refilled, of which 5 cover the overdraft
    EXPECT_DOUBLE_EQ(watch.worst_ratio(), 0.5);
    watch.spend(200'000, 6);
    EXPECT_GT(watch.worst_ratio(), 1);
    LimitMonitor idle_watch(100, 50, 10, 0);
    idle_watch.spend(10'000'000, 61); // the bucket never holds more than its burst
    EXPECT_GT(idle_watch.worst_ratio(), 1);
}

TEST(ColdWatch, CountsAgainstWhatTheNodeCanDoThen) {
    NodeModel model;
    model.cores = 1, model.unit_ms = 1, model.slow_start_initial_fraction = 0.1,
    model.cold_s = 10; // the speed grows from 100 to 1,000 units a second in the 10 s after a start
    SlowStartMonitor watch(model, 1'000'000);
    watch.units_received(0, 1e6); // not counted: without a start so far, the node runs at full speed
    EXPECT_EQ(watch.worst_ratio(), 0);
    watch.started(0);
    // Permitted in a window of 1 s: 4 times (`kMaxCapacityMultiple`) what the node can process in it.
    watch.units_received(0, 200); // permitted: 4 x 100
    EXPECT_DOUBLE_EQ(watch.worst_ratio(), 0.5);
    watch.units_received(500'000, 300); // 500 in the window; permitted: 4 x 145
    EXPECT_DOUBLE_EQ(watch.worst_ratio(), 500 / 580.0);
    watch.units_received(1'600'000, 800); // the earlier units are older than the window; permitted: 4 x 244
    EXPECT_DOUBLE_EQ(watch.worst_ratio(), 500 / 580.0);
    watch.units_received(1'600'000, 800);
    EXPECT_GT(watch.worst_ratio(), 1);
}

TEST(OracleRules, WhatIsBrokenIsCounted) {
    const Experiment e = read_experiment(demo());
    const Settings settings = config::read_settings(e.settings, 0);
    Oracle oracle(e, settings, {0, 1}, {0, 2}, 0);
    const ClientRequest good{3'000'000, 0, false, false, 2}, bad{3'100'000, 0, true, false, 4};
    oracle.request_started(good), oracle.request_started(bad);
    oracle.answer_received(), oracle.attempt_unanswered(), oracle.extra_answer_received(),
        oracle.wrong_value_received();
    oracle.request_ended(3'010'000, good, true);
    oracle.request_ended(4'700'000, bad, false);
    oracle.write_executed("k", 0), oracle.write_executed("k", 0), oracle.write_executed("l", 0),
        oracle.write_executed("l", 1);
    oracle.charge_units(3'000'000, 1, 1000);
    const auto m = oracle.metrics();
    EXPECT_EQ(m.at("answers.never"), 1);
    EXPECT_EQ(m.at("answers.twice"), 1);
    EXPECT_EQ(m.at("answers.wrong"), 1);
    EXPECT_EQ(m.at("writes.doubled"), 1);
    EXPECT_GT(m.at("limit.worst"), 1);
    EXPECT_DOUBLE_EQ(m.at("service.cell.0"), 2.0 / 6);
    EXPECT_DOUBLE_EQ(m.at("reserve"), 2.0 / 6);
    EXPECT_NEAR(m.at("latency_ms.p50"), 10, 0.5);
    auto checked = e;
    checked.checks = {
        {"a", "answers.never", {}, 0.0}, {"b", "no.such", 0.0, {}}, {"c", "service.cell.0", 0.3, 0.4}};
    const auto verdicts = judge(checked.checks, m);
    EXPECT_FALSE(verdicts[0].holds);
    EXPECT_FALSE(verdicts[1].holds); // a missing metric must not pass
    EXPECT_TRUE(verdicts[2].holds);
}

// Faults must apply only in their direction and interval, and to the given fraction of the datagrams.
TEST(NetworkFaults, CutsOneSideOnlyAndLosesItsPart) {
    NetworkFaults network_faults(3);
    network_faults.add({1'000, 2'000, {1}, {2}, false, true, 0, 0, 0, 0});
    network_faults.add({1'000, 2'000, {0}, {}, true, true, 0, 0, 0, 0});
    network_faults.add({5'000, 9'000, {}, {}, false, false, 0.3, 0.1, 20, 40});
    EXPECT_EQ(network_faults.arrivals(1, 2, 1'500), std::vector<Micros>{});
    EXPECT_EQ(network_faults.arrivals(2, 1, 1'500), std::vector<Micros>{0}); // opposite direction
    EXPECT_EQ(network_faults.arrivals(1, 2, 2'000), std::vector<Micros>{0}); // the interval has ended
    EXPECT_TRUE(network_faults.silent(0, 7, 1'500));
    EXPECT_FALSE(network_faults.silent(1, 7, 1'500) || network_faults.silent(0, 7, 2'500));
    int lost = 0, doubled = 0;
    for (int n = 0; n < 10'000; ++n) {
        const auto copies = network_faults.arrivals(n % 5, 5, 6'000);
        lost += copies.empty(), doubled += copies.size() == 2;
        for (const Micros late : copies)
            EXPECT_TRUE(late >= 20 && late <= 40);
    }
    EXPECT_NEAR(lost, 3'000, 200);
    EXPECT_NEAR(doubled, 700, 120); // 10% of the datagrams that are not lost
}

TEST(Experiments, AllThatAreKeptAreInOrder) {
    int read = 0;
    for (const auto &file : std::filesystem::directory_iterator(MARBLEWOOD_LAB_FOLDER)) {
        std::ostringstream text;
        text << std::ifstream(file.path()).rdbuf();
        const std::string stem = file.path().stem();
        // Scale experiments have another format and are told apart by their name.
        const bool scale = stem.starts_with("scale");
        EXPECT_EQ(scale ? scale::read_plan(text.str()).name : read_experiment(text.str()).name, stem);
        ++read;
    }
    EXPECT_GE(read, 4);
}

TEST(Experiments, WhatIsWrongIsNamed) {
    EXPECT_EQ(read_error(demo(), "demo", "demo"), "");
    EXPECT_NE(read_error(demo(), "\"seconds\": 8", "\"seconds\": -8").find("line 4: field 'seconds'"),
              std::string::npos);
    EXPECT_NE(read_error(demo(), "\"plan\": \"basic\"", "\"plan\": \"gold\"").find("gold"),
              std::string::npos);
    EXPECT_NE(read_error(demo(), "\"topology\"", "\"topologie\"").find("topolog"), std::string::npos);
    EXPECT_NE(read_error(demo(), "\"cell\": 0", "\"cell\": 7").find("'surges'"), std::string::npos);
    EXPECT_NE(read_error(demo(), "\"most\": 0", "\"mist\": 0").find("checks"), std::string::npos);
    EXPECT_NE(read_error(demo(), "{", "").find("malformed JSON"), std::string::npos);
}
