// The scale laboratory's own arithmetic: lines, latencies, windows, and what it refuses to start.
#include "config/config.hpp"
#include "lab/scale/experiment.hpp"
#include "lab/scale/observations.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace marblewood;
using namespace marblewood::lab::scale;

namespace {

std::string plan_text(const std::string &name) {
    return config::read_text(fmt::format("{}/{}.json", MARBLEWOOD_LAB_FOLDER, name));
}
std::string why(std::string text, const std::string &from, const std::string &to) {
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    try {
        read_plan(text);
    } catch (const config::Error &error) {
        return error.what();
    }
    return "";
}

TEST(Line, IsFoundWithItsErrors) {
    const Line exact = fit({{1, 5}, {2, 7}, {4, 11}});
    EXPECT_NEAR(exact.slope, 2, 1e-12);
    EXPECT_NEAR(exact.intercept, 3, 1e-12);
    EXPECT_NEAR(exact.residual, 0, 1e-9);
    EXPECT_DOUBLE_EQ(exact.most, 4);
    // By hand: x 0, 1, 2; y 0, 1, 5: slope 2.5, intercept -0.5, residual sqrt(1.5), sum of squares of x 2.
    const Line rough = fit({{0, 0}, {1, 1}, {2, 5}});
    EXPECT_NEAR(rough.slope, 2.5, 1e-12);
    EXPECT_NEAR(rough.intercept, -0.5, 1e-12);
    EXPECT_NEAR(rough.residual, std::sqrt(1.5), 1e-12);
    EXPECT_NEAR(rough.slope_error, std::sqrt(0.75), 1e-12);
    EXPECT_NEAR(rough.intercept_error, std::sqrt(1.5 * (1.0 / 3 + 0.5)), 1e-12);
    EXPECT_EQ(fit({}).points, 0);
    EXPECT_DOUBLE_EQ(fit({{3, 1}, {3, 2}}).slope, 0);
}

BrokerRecord record(const std::string &name, std::vector<Adoption> adopted) {
    BrokerRecord broker;
    broker.name = name;
    broker.region = "r";
    broker.adopted = std::move(adopted);
    return broker;
}

TEST(Observations, CountFromWhenAChangeCouldBeKnown) {
    const std::vector<Published> changes{{1, 1'000'000, "", 1}, {2, 2'000'000, "zone", 3}};
    std::vector<BrokerRecord> brokers{record("a", {{1, 1'500'000}, {2, 2'100'000}}),
                                      record("b", {{2, 4'000'000}}), record("c", {{1, 1'100'000}})};
    const auto all = [](const Published &) { return true; };
    const Latencies found = latencies(changes, brokers, &BrokerRecord::adopted, {}, all);
    EXPECT_EQ(found.counted, 5);
    EXPECT_EQ(found.missed, 1);         // c never held the second
    EXPECT_DOUBLE_EQ(found.worst_s, 3); // b held the first with the second
    EXPECT_EQ(found.worst_broker, "b");
    const auto zone = [](const Published &change) { return change.event == "zone"; };
    EXPECT_DOUBLE_EQ(latencies(changes, brokers, &BrokerRecord::adopted, {}, zone).worst_s, 2);
    brokers[1].started = 3'000'000;
    EXPECT_EQ(due_from(changes[0], brokers[1], {}), 3'000'000);
    EXPECT_DOUBLE_EQ(latencies(changes, brokers, &BrokerRecord::adopted, {}, all).worst_s, 1);
    const std::vector<Outage> outages{{"r", 900'000, 3'500'000}, {"other", 0, 9'000'000}};
    EXPECT_EQ(due_from(changes[0], brokers[1], outages), 3'500'000);
    EXPECT_EQ(due_from({3, 4'000'000, "", 1}, brokers[1], outages), 4'000'000);
}

TEST(Observations, FindTheWorstWindow) {
    BrokerRecord broker = record("a", {});
    broker.first_sample = 100'000'000;
    double bytes = 0;
    for (int second = 0; second < 40; ++second) {
        bytes += second >= 20 && second < 25 ? 1'000 : 10;
        broker.traffic.push_back(bytes);
    }
    const Rates all = rates({broker}, 100'000'000, 140'000'000);
    EXPECT_DOUBLE_EQ(all.worst_window, (5 * 1'000 + 5 * 10) / 10.0);
    EXPECT_NEAR(all.mean, (5 * 1'000 + 34 * 10) / 39.0, 1e-9);
    EXPECT_DOUBLE_EQ(rates({broker}, 100'000'000, 115'000'000).worst_window, 10);
    EXPECT_DOUBLE_EQ(rates({broker}, 100'000'000, 105'000'000).worst_window, 0); // shorter than a window
}

TEST(ScalePlan, IsReadAndWhatIsWrongIsNamed) {
    for (const char *const name : {"scale", "scale-slopes", "scale-faults"})
        EXPECT_EQ(read_plan(plan_text(name)).fleet->size.brokers, 1'400) << name;
    const std::string faults = plan_text("scale-faults");
    EXPECT_NE(why(faults, "\"kill-distributor\"", "\"lose-distributor\"").find("what"), std::string::npos);
    EXPECT_NE(why(faults, "\"index\": 1", "\"index\": 9").find("no such distributor"), std::string::npos);
    EXPECT_NE(why(faults, "\"length\": 60", "\"length\": 600").find("ends after"), std::string::npos);
    EXPECT_NE(why(faults, "\"count\": 150", "\"count\": 1501").find("fewer nodes"), std::string::npos);
    EXPECT_NE(why(faults, "\"documents\": true", "\"documents\": false").find("documents"),
              std::string::npos);
    EXPECT_NE(why(faults, "\"most\": 0", "\"worst\": 0").find("checks"), std::string::npos);
}

TEST(ScalePlan, RefusesWhatTheMachineDoesNotBear) {
    FleetPlan plan = *read_plan(plan_text("scale")).fleet;
    EXPECT_NO_THROW(check_load(plan, 24'000));
    EXPECT_THROW(check_load(plan, 8'000), config::Error);
    plan.real = true; // 1,400 processes
    EXPECT_THROW(check_load(plan, 1e6), config::Error);
    plan.size.brokers = 200;
    EXPECT_NO_THROW(check_load(plan, 1e6));
}

TEST(ScalePlan, PredictsFromItsLinesAndNamesOneThatIsNotThere) {
    Plan plan;
    plan.predictions.push_back({"nodes", "memory", 1'500, 2, "m"});
    std::vector<Slope> slopes{{"nodes", "memory", fit({{100, 30}, {200, 40}}), {}}};
    EXPECT_NEAR(predict(plan, slopes).at(0).value, 2 * 170, 1e-9);
    plan.predictions[0].figure = "bytes";
    EXPECT_THROW(predict(plan, slopes), config::Error);
}

} // namespace
