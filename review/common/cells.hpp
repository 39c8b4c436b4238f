/// \file
/// An installation with cells as in deploy/cells.json: a cell coordinator, two cells of two brokers each, one
/// node in each cell, and a discovery.
#pragma once

#include "case.hpp"

namespace review {

/// The settings of the site daejeon-park: its two classes and two of its plans, for a small deployment.
inline const std::string kCellSettings =
    R"({"bounds":{"cancel":true,"connect_timeout":250.0,"idle_close":15000.0,"max_attempts":4,)"
    R"("max_retry_after":500.0,"max_streams":100,"may_duplicate":true,"peers":false,"probes":true,)"
    R"("retry_after":true},"classes":[)"
    R"({"dedup_window":5000.0,"effect":"idempotent","group":"all","hard_limit":1500.0,"importance":3.0,)"
    R"("late_worth":0.15,"name":"read","stream":false,"target":300.0},)"
    R"({"dedup_window":4000.0,"effect":"deduplicated","group":"cell","hard_limit":2500.0,"importance":2.0,)"
    R"("late_worth":0.15,"name":"new-write","stream":false,"target":400.0}],)"
    R"("client_habits":{"marks_retry":false},"contract":{"cold":17000.0,"drain_grace":250.0,"fall":3000.0,)"
    R"("grace_to_answer":58.0,"must_ask_in":10000.0,"start_capacity":0.18,"tip_multiple":4.0},)"
    R"("dcs":["east-bldg"],"family":"stores","family_info":{"beyond_share":0.1,"class_writes":[false,true],)"
    R"("cold_bears":76.0,"fair_worth":0.4,"largest":8,"metering":500.0,"says_others":true,"shards":2,)"
    R"("usual_units":2.18},"instances":2,"kinds":["std-2c"],"membership_mode":"on_request",)"
    R"("my_zone":"east-bldg","period":2.0,"policies":[)"
    R"({"burst":0.0,"cap_slack":0.0,"ceiling_rate":0.0,"name":"standard","nominal":40.0,"parts":1.0,)"
    R"("pays":1.2,"reserve":48.0},)"
    R"({"burst":0.0,"cap_slack":0.0,"ceiling_rate":0.0,"name":"priority","nominal":60.0,"parts":1.0,)"
    R"("pays":1.5,"reserve":72.0}],"position":0,"telemetry":{"fields":["rif","q"],"how":"probe"},"tier":0,)"
    R"("tiers":["rental-store"],"weights":"nominal"})";

/// The window of kCellSettings in which the nodes of a rack drop a repeat, and its longest deadline.
constexpr int kWindowMs = 4000, kLongestDeadlineMs = 2500;

struct CellBroker {
    std::string name;
    int port = test::free_port(), link = test::free_port(), control = test::free_port();
    int starts = 0;
    Process process;
};

class CellInstallation {
public:
    CellInstallation(std::string folder, Record &record, int north_node, int south_node)
        : folder_(std::move(folder)), record_(record),
          discovery_(member("s-5be2a07c", north_node, 0, "east-bldg", "std-2c") + "," +
                     member("s-a37be810", south_node, 1, "east-bldg", "std-2c")) {
        std::filesystem::create_directory(folder_ + "/state");
        for (int n = 0; n < 4; ++n)
            brokers[static_cast<std::size_t>(n)].name = fmt::format("n{}", n);
        const auto row = [](const CellBroker &broker) {
            return fmt::format(R"({{"name":"{}","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}})",
                               broker.name, broker.port, broker.link);
        };
        std::ofstream(operator_file()) << fmt::format(
            R"({{"cells":{{"keeper":{{"link":"127.0.0.1:{}","control":"127.0.0.1:{}"}},"state":"{}/state",)"
            R"("spread":2,"cells":[{{"name":"north","capacity":2000,"brokers":[{},{}],"nodes":["s-5be2a07c"]}},)"
            R"({{"name":"south","capacity":2000,"brokers":[{},{}],"nodes":["s-a37be810"]}}]}}}})",
            test::free_port(), control_, folder_, row(brokers[0]), row(brokers[1]), row(brokers[2]),
            row(brokers[3]));
    }

    /// Starts all processes and waits until they serve. Returns false if that takes too long.
    bool start() {
        keeper.start(environment("RUN_COMMAND") + " keeper --operator " + operator_file(), {},
                     folder_ + "/keeper.log");
        for (CellBroker &broker : brokers)
            start(broker);
        for (const CellBroker &broker : brokers)
            if (!await_pong(broker.port))
                return false;
        for (const double until = now_ms() + 20'000; now_ms() < until; std::this_thread::sleep_for(50ms)) {
            const std::string list = call("GET", "list").second;
            std::size_t heard = 0;
            for (std::size_t at = 0; (at = list.find("brokers 2/2 ready nodes 1/1", at)) != std::string::npos;
                 ++at)
                ++heard;
            if (heard == 2 && list.find("not settled") == std::string::npos)
                return true;
        }
        return false;
    }
    /// Starts a broker with an empty $TMPDIR of its own.
    void start(CellBroker &broker) {
        const std::string temporary = fmt::format("{}/{}-{}", folder_, broker.name, ++broker.starts);
        std::filesystem::create_directory(temporary);
        start(broker.process, broker, temporary, broker.control);
    }
    /// Starts a process of a broker.
    void start(Process &process, const CellBroker &broker, const std::string &temporary, int control) {
        const std::string listen = fmt::format("127.0.0.1:{}", broker.port);
        const std::string source = fmt::format("127.0.0.1:{}", discovery_.port());
        const std::string config = fmt::format("{}/{}.json", folder_, broker.name);
        std::ofstream(config) << fmt::format(
            R"({{"name":"{}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",)"
            R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}})",
            broker.name, listen, source, discovery_.known(), kCellSettings);
        process.start(environment("RUN_COMMAND"),
                      {{"BALANCER_NAME", broker.name},
                       {"BALANCER_LISTEN", listen},
                       {"BALANCER_DISCOVERY", source},
                       {"BALANCER_CONFIG", config},
                       {"BALANCER_CONTROL", fmt::format("127.0.0.1:{}", control)},
                       {"MARBLEWOOD_OPERATOR", operator_file()},
                       {"TMPDIR", temporary}},
                      folder_ + "/broker.log");
    }

    /// An operator's call to the coordinator.
    std::pair<int, std::string> call(const std::string &method, const std::string &what,
                                     const std::string &body = "") const {
        return test::admin_call(control_, method, "cells/" + what, body);
    }
    /// The value of a line `name value` of `where VOLUME`.
    std::string where(const std::string &volume, const std::string &name) const {
        std::istringstream lines(call("GET", "where/" + volume).second);
        for (std::string line; std::getline(lines, line);)
            if (line.starts_with(name + " "))
                return line.substr(name.size() + 1);
        return "";
    }
    /// A volume that lives in `cell`.
    std::string volume_in(const std::string &cell) const {
        for (int n = 1; n < 100; ++n)
            if (const std::string volume = fmt::format("00000003b4d6{:04x}", n);
                where(volume, "cell") == cell)
                return volume;
        return "";
    }
    /// Has an operator move the volume, and waits until the coordinator has no move under way.
    bool move(const std::string &volume, const std::string &cell) const {
        const auto [status, text] = call("POST", "move", volume + " " + cell);
        record_.say("operator: move {} {}: {} {}", volume, cell, status, text.substr(0, text.find('\n')));
        for (const double until = now_ms() + 10'000; now_ms() < until; std::this_thread::sleep_for(5ms))
            if (call("GET", "list").second.find("moving") == std::string::npos)
                return where(volume, "cell") == cell;
        return false;
    }
    CellBroker &broker(const std::string &name) {
        for (CellBroker &each : brokers)
            if (each.name == name)
                return each;
        std::_Exit(kCannotRun);
    }
    /// The broker that `where VOLUME` names first.
    CellBroker &first_broker_of(const std::string &volume) {
        const std::string names = where(volume, "brokers");
        return broker(names.substr(0, names.find(' ')));
    }
    void kill_all() {
        keeper.kill();
        for (CellBroker &each : brokers)
            each.process.kill();
    }

    std::array<CellBroker, 4> brokers;
    Process keeper;

private:
    std::string operator_file() const { return folder_ + "/cells.json"; }
    const std::string folder_;
    Record &record_;
    const int control_ = test::free_port();
    test::Discovery discovery_;
};

} // namespace review
