/// \file
/// Tests the adapter of the benchmark link, which reads and writes lines of JSON.
#include "link.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

using nlohmann::json;

namespace {

const std::string kParams =
    R"({"instances":2,"position":0,"period":2.0,"unheard_of":{"a":1},"classes":[{"name":"read","target":500.0,)"
    R"("hard_limit":2500.0,"importance":2.0,"late_worth":0.1,"effect":"idempotent"},{"name":"write",)"
    R"("target":750.0,"hard_limit":4000.0,"effect":"at_most_once","by_arrival":true}],"policies":[{"name":"p",)"
    R"("nominal":4.0,"reserve":2.0,"parts":1.0,"pays":1.0}],"membership_mode":"on_request",)"
    R"("bounds":{"max_attempts":3,"cancel":true},"contract":{"grace_to_answer":8.0}})";
const std::string kStart =
    R"({"t":"Sync","clock":100.5})"
    "\n"
    R"({"t":"Boot","scheduler_id":3,"init_seed":7,"params":)" +
    kParams +
    "}\n"
    R"({"t":"Roster","ref":0,"rows":[{"server":"server.a","site":"z","cluster":0,"condition":"Ready","weight":1}]})"
    "\n"
    R"({"t":"Update","scheduler_id":3,"form":"SAVED","generation":1,"ref":0})"
    "\n"
    R"({"t":"YourTurn"})"
    "\n";

std::string request(const std::string &handle, const std::string &more = "") {
    return R"({"t":"WorkItem","scheduler_id":3,"handle":")" + handle +
           R"(","contract":"p","region":11,"placement":0,"time_left":2500.0,"writers":2,"owner":5,"weight":2,)"
           R"("category":"read")" +
           more + "}\n";
}
std::string batch(double clock, const std::string &events) {
    return R"({"t":"Sync","clock":)" + std::to_string(clock) + "}\n" + events + R"({"t":"YourTurn"})" + "\n";
}

std::vector<json> run_adapter(const std::string &input) {
    std::istringstream in(input);
    std::ostringstream out;
    marblewood::benchlink::run(in, out);
    std::vector<json> lines;
    std::istringstream text(out.str());
    for (std::string line; std::getline(text, line);)
        lines.push_back(json::parse(line));
    return lines;
}
std::vector<json> of_kind(const std::vector<json> &lines, const std::string &kind) {
    std::vector<json> found;
    for (const json &line : lines)
        if (line.at("t") == kind)
            found.push_back(line);
    return found;
}
void fails(const std::string &input, const std::string &part, std::size_t whole_replies = 0) {
    std::istringstream in(input);
    std::ostringstream out;
    try {
        marblewood::benchlink::run(in, out);
        ADD_FAILURE() << "taken: " << input;
    } catch (const std::exception &error) {
        EXPECT_NE(std::string(error.what()).find(part), std::string::npos) << error.what();
    }
    const std::string text = out.str();
    std::size_t ready = 0;
    for (std::size_t at = 0; (at = text.find("\"Ready\"", at)) != std::string::npos; ++at)
        ++ready;
    EXPECT_EQ(ready, whole_replies);
    EXPECT_TRUE(text.empty() || text.back() == '\n');
}

TEST(Link, EmptyBatchesAndEndOfInput) {
    EXPECT_TRUE(run_adapter("").empty());
    const auto lines = run_adapter(batch(1, "") + batch(1, ""));
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0], json({{"t", "Ready"}}));
}

TEST(Link, ARequestIsSentAndAnswered) {
    const auto lines = run_adapter(
        kStart + batch(200, request("c:x", R"(,"novel":[1])")) +
        batch(230, R"({"t":"Verdict","scheduler_id":3,"handle":"c:x","copy":0,"server":"server.a",)"
                   R"("disposition":"GOOD","took":30.0,"complete":true,"report":{"busy":0.5,"odd":1}})"
                   "\n"));
    ASSERT_EQ(of_kind(lines, "StreamChanges").size(), 1u);
    const auto sends = of_kind(lines, "CallOut");
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].at("handle"), "c:x");
    EXPECT_EQ(sends[0].at("server"), "server.a");
    EXPECT_EQ(sends[0].at("scheduler_id"), 3);
    EXPECT_DOUBLE_EQ(sends[0].at("expire_at").get<double>(), 200 + 2500);
    EXPECT_TRUE(of_kind(lines, "Decline").empty());
}

TEST(Link, EveryOutcomeAndOddRoundIsTaken) {
    for (const char *status : {"GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP"}) {
        const std::string verdict =
            R"({"t":"Verdict","scheduler_id":3,"handle":"c:x","copy":0,"server":"server.a",)"
            R"("disposition":")" +
            std::string(status) + "\",\"took\":30.0}\n";
        const auto lines =
            run_adapter(kStart + batch(200, request("c:x")) + batch(230, verdict + verdict) +
                        batch(240, R"({"t":"Left","scheduler_id":3,"handle":"c:x"})"
                                   "\n"
                                   R"({"t":"Left","scheduler_id":3,"handle":"c:unheard"})"
                                   "\n"
                                   R"({"t":"Flowing","scheduler_id":3,"handle":"c:x","copy":0,)"
                                   R"("server":"server.a","took":1.0})"
                                   "\n"
                                   R"({"t":"Timer","scheduler_id":3,"name":"0"})"
                                   "\n"
                                   R"({"t":"ProbeResult","scheduler_id":3,"server":"server.a",)"
                                   R"("disposition":"GOOD","took":1.4})"
                                   "\n"
                                   R"({"t":"Inbox","scheduler_id":3,"neighbour":1,"body":"aGkgNw=="})"
                                   "\n"
                                   R"({"t":"Update","scheduler_id":3,"form":"FAILED","generation":1})"
                                   "\n"));
        EXPECT_EQ(of_kind(lines, "Ready").size(), 4u) << status;
    }
}

// The adapter itself, not the decision module, reopens a failed watch. The delay never exceeds the longest
// time allowed between requests for the list, and it varies so that instances do not reconnect in step.
TEST(Link, AFailedWatchIsOpenedAnewInTime) {
    const std::string failed = R"({"t":"Update","scheduler_id":3,"form":"FAILED","generation":1})"
                               "\n";
    for (const double max_delay : {6000.0, 2000.0}) { // the adapter's own limit, then that of the settings
        double clock = 200, last = 0;
        std::string input = kStart;
        const std::string rules = R"("contract":{)";
        if (max_delay == 2000)
            input.insert(input.find(rules) + rules.size(), R"("must_ask_in":2000.0,)");
        for (int k = 1; k <= 8; ++k) {
            const auto lines = run_adapter(input + batch(clock, failed));
            const auto timers = of_kind(lines, "WakeMe");
            ASSERT_FALSE(timers.empty());
            const json timer = timers.back();
            ASSERT_EQ(timer.at("name"), "watch");
            const double wait = timer.at("from_now").get<double>();
            EXPECT_GT(wait, 0);
            EXPECT_LE(wait, max_delay);
            EXPECT_NE(wait, last);
            last = wait;
            input += batch(clock, failed);
            clock += wait;
            input += batch(clock, R"({"t":"Timer","scheduler_id":3,"name":"watch"})"
                                  "\n");
            EXPECT_EQ(of_kind(run_adapter(input), "StreamChanges").size(), static_cast<std::size_t>(k + 1));
        }
    }
}

TEST(Link, ListNumbersAreReusedWithinABatch) {
    const auto lines = run_adapter(
        kStart +
        batch(200, R"({"t":"Roster","ref":0,"rows":[{"server":"server.a","cluster":0,"condition":"Gone"}]})"
                   "\n"
                   R"({"t":"Update","scheduler_id":3,"form":"INCREMENTAL","generation":2,"ref":0})"
                   "\n"
                   R"({"t":"Roster","ref":0,"rows":[{"server":"server.b","cluster":0,"condition":"Ready"}]})"
                   "\n"
                   R"({"t":"Update","scheduler_id":3,"form":"INCREMENTAL","generation":3,"ref":0})"
                   "\n" +
                       request("c:x")));
    ASSERT_EQ(of_kind(lines, "CallOut").size(), 1u);
    EXPECT_EQ(of_kind(lines, "CallOut")[0].at("server"), "server.b");
}

TEST(Link, AKilledInstanceStartsAnewInOneBatch) {
    const std::string start = kStart.substr(kStart.find("\n") + 1);
    const auto lines =
        run_adapter(kStart + batch(200, request("c:x")) +
                    batch(210, "{\"t\":\"CrashNow\",\"scheduler_id\":3}\n" +
                                   start.substr(0, start.rfind("{\"t\":\"YourTurn")) + request("c:x")));
    EXPECT_EQ(of_kind(lines, "CallOut").size(), 2u);
    EXPECT_EQ(of_kind(lines, "StreamChanges").size(), 2u);
}

TEST(Link, InstancesInOneProcessShareNothing) {
    std::string two = kStart;
    const std::string boot = kStart.substr(kStart.find("\n") + 1);
    std::string other = boot;
    for (std::size_t at = 0; (at = other.find("\"scheduler_id\":3", at)) != std::string::npos;)
        other.replace(at, 16, "\"scheduler_id\":4");
    const auto alone = of_kind(run_adapter(kStart + batch(200, request("c:x"))), "CallOut");
    const auto beside = of_kind(run_adapter(R"({"t":"Sync","clock":100.5})"
                                            "\n" +
                                            other + kStart + batch(200, request("c:x"))),
                                "CallOut");
    EXPECT_EQ(alone, beside);
}

TEST(Link, MalformedInputEndsWithOnePlainMessage) {
    const auto probed = [](const char *report) {
        return kStart + batch(200, std::string(R"({"t":"ProbeResult","scheduler_id":3,"server":"server.a",)"
                                               R"("disposition":"GOOD","took":1.4,"report":)") +
                                       report + "}\n");
    };
    fails(probed("[1]"), "not an object", 1);
    fails(probed(R"({"busy":"much"})"), "'busy' is not a number", 1);
    EXPECT_EQ(
        of_kind(run_adapter(probed(R"({"busy":null,"odd":"text","lat_ms":-1e300,"q":3})")), "Ready").size(),
        2u);
    fails("nonsense\n", "line 1");
    fails("[1]\n", "not an object");
    fails("{\"t\":\"Sync\"}\n", "missing field 'clock'");
    fails("{\"t\":\"YourTurn\"}\n", "outside a batch");
    fails("{\"t\":\"Sync\",\"clock\":1}\n", "inside a batch");
    fails(kStart + batch(200, "{\"t\":\"Odd\",\"scheduler_id\":3}\n"), "unknown message", 1);
    fails(kStart + batch(200, "{\"t\":\"Timer\",\"scheduler_id\":9,\"name\":\"0\"}\n"), "not started", 1);
    fails(kStart + batch(200, "{\"t\":\"WorkItem\",\"scheduler_id\":3}\n"), "missing field 'handle'", 1);
    fails(kStart + batch(200, "{\"t\":\"Update\",\"scheduler_id\":3,\"form\":\"FULL\",\"ref\":9}\n"), "list",
          1);
}

TEST(Link, SettingsThatTheModuleRejectsBecomeAFault) {
    std::string bad = kStart;
    const std::string from = "\"max_attempts\":3";
    bad.replace(bad.find(from), from.size(), "\"max_attempts\":0");
    const auto faults = of_kind(run_adapter(bad), "GiveIn");
    ASSERT_EQ(faults.size(), 1u);
    EXPECT_NE(faults[0].at("reason_text").get<std::string>().find("max_attempts"), std::string::npos);
}

} // namespace
