/// \file
/// The slow-start budget of one node in a fleet of hosts, with and without messages between them. The units
/// that all hosts together send to the node in any window must stay within the budget; they are counted
/// independently of the code under test.
#include "overload/slow_start_budget.hpp"

#include "lossy_network.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <random>

using namespace marblewood;
using overload::SlowStartBudget;
using overload::SlowStartMessage;
using overload::SlowStartNode;
using test::Datagram;
using test::LossyNetwork;
using test::pick;

namespace {

constexpr Micros kWindow = 1'000'000;
constexpr Micros kNodeStart = 1'000'000'000;
constexpr Micros kMaxClockSkew = 50'000;
constexpr double kInitialFraction = 0.2;
constexpr double kGrowth = 1 / kInitialFraction - 1; // of the budget, over the whole slow start

struct FleetSettings {
    int hosts = 2;
    double budget = 0; ///< units in a window
    bool messages = false;
    std::vector<Micros> clock_skews = {}; ///< one for each host; if empty, all are 0
    Micros slow_start_duration = 8 * kWindow;
};

Settings host_settings(const FleetSettings &fleet, int position) {
    Settings settings;
    settings.hosts = fleet.hosts;
    settings.position = position;
    settings.peers = fleet.messages;
    settings.slow_start_window = kWindow;
    settings.slow_start_duration = fleet.slow_start_duration;
    settings.slow_start_initial_fraction = kInitialFraction;
    settings.slow_start_units = fleet.budget;
    settings.mean_request_units = 2;
    settings.max_request_units = 6;
    return settings;
}

struct Host {
    Host(const Settings &host_settings, Micros host_started_at)
        : settings(host_settings), budget(host_settings), started_at(host_started_at) {
        node.entry.stable_id = 5;
        node.entry.shard = ShardId{3};
        node.slow_start_began = kNodeStart;
        node.start_listed = true;
    }
    Settings settings;
    SlowStartBudget budget;
    SlowStartNode node;
    Micros started_at;
};

/// Hosts that all know of the node's start at kNodeStart, and their sends to the node.
class Fleet {
public:
    struct Send {
        Micros at = 0;
        double units = 0;
    };

    explicit Fleet(FleetSettings settings) : settings_(std::move(settings)) {
        settings_.clock_skews.resize(static_cast<std::size_t>(settings_.hosts));
        for (int position = 0; position < settings_.hosts; ++position)
            hosts_.emplace_back(host_settings(settings_, position), kNodeStart - 10 * kWindow);
    }

    bool try_send(int index, double units) {
        Host &from = host(index);
        if (!from.budget.admits(from.node, units, clock(index), from.started_at))
            return false;
        from.budget.spend(from.node, units, clock(index), from.started_at);
        sends.push_back({now, units});
        return true;
    }

    void send_all_allowed(int index, double units_each) {
        while (try_send(index, units_each)) {}
    }

    std::optional<Datagram> request_grant(int index, double units) {
        Host &from = host(index);
        const auto request = from.budget.request_grant(from.node, units, clock(index));
        if (!request)
            return std::nullopt;
        return Datagram{now, index, *request->peer, request->data};
    }

    /// Returns the answer.
    std::optional<Datagram> deliver(const Datagram &datagram) {
        Host &to = host(datagram.to);
        overload::SlowStartAllocator &allocator = to.budget.allocator();
        const auto message = allocator.decode(datagram.data);
        if (!message || message->node != to.node.entry.stable_id)
            return std::nullopt;
        if (message->kind == SlowStartMessage::Kind::Grant) {
            allocator.accept_grant(to.node, *message, clock(datagram.to));
            return std::nullopt;
        }
        const auto grant =
            allocator.answer_request(to.node, *message, datagram.from, clock(datagram.to), to.started_at);
        if (!grant)
            return std::nullopt;
        return Datagram{now, datagram.to, datagram.from, grant->data};
    }

    void restart(int index) {
        Host &old = host(index);
        grants_used_before_restarts_ += old.budget.metrics().used;
        old = Host(old.settings, clock(index));
    }

    /// The largest load of any window, as a fraction of the budget at the beginning of that window.
    double worst_window() const {
        double worst = 0;
        for (std::size_t first = 0; first < sends.size(); ++first) {
            const double age = std::max(0.0, static_cast<double>(sends[first].at - kNodeStart)) /
                               static_cast<double>(settings_.slow_start_duration);
            if (age < 1)
                worst = std::max(worst, window_units(first) / (settings_.budget * (1 + kGrowth * age)));
        }
        return worst;
    }

    std::uint64_t grants_used() const {
        return std::accumulate(
            hosts_.begin(), hosts_.end(), grants_used_before_restarts_,
            [](std::uint64_t used, const Host &one) { return used + one.budget.metrics().used; });
    }

    double units_sent() const {
        return std::accumulate(sends.begin(), sends.end(), 0.0,
                               [](double units, const Send &send) { return units + send.units; });
    }

    Micros now = kNodeStart;
    std::vector<Send> sends;

private:
    Host &host(int index) { return hosts_[static_cast<std::size_t>(index)]; }
    Micros clock(int index) const { return now + settings_.clock_skews[static_cast<std::size_t>(index)]; }

    /// Sends in the window that begins with sends[first], as long as the node is warming up by every clock.
    double window_units(std::size_t first) const {
        const Micros warm_from = kNodeStart + settings_.slow_start_duration - kMaxClockSkew;
        double units = 0;
        for (std::size_t index = first; index < sends.size() && sends[index].at < sends[first].at + kWindow;
             ++index)
            if (sends[index].at < warm_from)
                units += sends[index].units;
        return units;
    }

    FleetSettings settings_;
    std::vector<Host> hosts_;
    std::uint64_t grants_used_before_restarts_ = 0;
};

/// One random schedule of sends, requests, pauses, restarts and network faults.
Fleet run_random_schedule(unsigned seed, bool messages) {
    std::mt19937 random(seed);
    FleetSettings settings;
    settings.messages = messages;
    settings.hosts = pick(random, 2, 20);
    LossyNetwork::Faults faults;
    faults.lost_percent = pick(random, 0, 60);
    faults.duplicated_percent = pick(random, 0, 40);
    faults.max_delay = pick(random, 1, 1'500'000);
    for (int host = 0; host < settings.hosts; ++host)
        settings.clock_skews.push_back(pick(random, 0, static_cast<int>(kMaxClockSkew)));
    settings.budget = pick(random, 3, 24);
    Fleet fleet(settings);
    LossyNetwork network(random, faults);
    const auto send_or_request = [&](int host, double units) {
        if (!fleet.try_send(host, units))
            network.send(fleet.request_grant(host, units), fleet.now);
    };
    for (int step = 0; step < 150; ++step) {
        const bool long_pause = pick(random, 0, 9) == 0;
        fleet.now += pick(random, 0, long_pause ? 600'000 : 40'000);
        network.deliver_due(fleet.now, [&](const Datagram &datagram) { return fleet.deliver(datagram); });
        const int host = pick(random, 0, settings.hosts - 1);
        send_or_request(host, pick(random, 1, 5));
        if (pick(random, 0, 19) == 0) // all hosts have requests at the same time
            for (int each = 0; each < settings.hosts; ++each)
                send_or_request(each, 1);
        if (pick(random, 0, 99) == 0)
            fleet.restart(pick(random, 0, settings.hosts - 1));
    }
    return fleet;
}

} // namespace

TEST(SlowStartBudget, TenThousandSchedulesKeepEveryWindowWithinIt) {
    std::uint64_t grants_used = 0;
    double units_with_messages = 0;
    double units_without_messages = 0;
    for (unsigned seed = 1; seed <= 10'000; ++seed) {
        const bool messages = seed % 4 != 0;
        const Fleet fleet = run_random_schedule(seed, messages);
        ASSERT_LE(fleet.worst_window(), 1 + 1e-9) << "seed " << seed;
        grants_used += fleet.grants_used();
        (messages ? units_with_messages : units_without_messages) += fleet.units_sent();
    }
    // The schedules must have used grants and sent units, or they would prove nothing.
    EXPECT_GT(grants_used, 1'000u);
    EXPECT_GT(units_without_messages, 20'000.0);
    EXPECT_GT(units_with_messages, 100'000.0);
}

namespace {

/// The steps of a schedule of two hosts that exchange messages. The test runs them in every order.
enum class Step {
    FirstRequests,
    SecondRequests,
    Deliver,
    DeliverAnother,
    DeliverLastAgain,
    SendAllThatIsAllowed,
    Wait,
    Restart
};
constexpr int kSteps = 8;

class TwoHostSchedule {
public:
    TwoHostSchedule(const FleetSettings &settings, Micros begin, int restarting_host)
        : fleet(settings), restarting_host_(restarting_host) {
        fleet.now = begin;
    }

    void run(Step step) {
        fleet.now += kWindow / 32;
        switch (step) {
        case Step::FirstRequests:
            return request(0);
        case Step::SecondRequests:
            return request(1);
        case Step::Deliver:
        case Step::DeliverAnother:
            return deliver();
        case Step::DeliverLastAgain:
            if (last_)
                fleet.deliver(*last_);
            return;
        case Step::SendAllThatIsAllowed:
            return send_all(2);
        case Step::Wait:
            fleet.now += kWindow / 4;
            return;
        case Step::Restart:
            return fleet.restart(restarting_host_);
        }
    }

    void send_all(double units_each) {
        for (int host = 0; host < 2; ++host)
            fleet.send_all_allowed(host, units_each);
    }

    Fleet fleet;

private:
    void request(int host) {
        if (auto datagram = fleet.request_grant(host, 2))
            in_flight_.push_back(*datagram);
    }
    void deliver() {
        if (in_flight_.empty())
            return;
        last_ = in_flight_.front();
        in_flight_.erase(in_flight_.begin());
        if (auto reply = fleet.deliver(*last_))
            in_flight_.push_back(*reply);
    }

    int restarting_host_;
    std::vector<Datagram> in_flight_;
    std::optional<Datagram> last_;
};

/// A time at which host 1, as an allocator, grants what host 0 requests.
Micros time_of_first_grant(const FleetSettings &settings) {
    Fleet fleet(settings);
    for (bool granted = false; !granted; fleet.now += kWindow / 4) {
        const auto request = fleet.request_grant(0, 2);
        granted = request && fleet.deliver(*request);
    }
    return fleet.now;
}

} // namespace

TEST(SlowStartBudget, AllOrdersOfTwoHostsKeepEveryWindowWithinIt) {
    FleetSettings settings;
    settings.budget = 8;
    settings.messages = true;
    settings.slow_start_duration = 500 * kWindow;
    const Micros begin = time_of_first_grant(settings);
    std::uint64_t grants_used = 0;
    for (const int restarting_host : {0, 1}) { // the requester, or the allocator
        std::vector<int> order(kSteps);
        std::iota(order.begin(), order.end(), 0);
        do {
            TwoHostSchedule schedule(settings, begin, restarting_host);
            for (const int step : order)
                schedule.run(static_cast<Step>(step));
            schedule.send_all(1);
            ASSERT_LE(schedule.fleet.worst_window(), 1 + 1e-9) << testing::PrintToString(order);
            grants_used += schedule.fleet.grants_used();
        } while (std::next_permutation(order.begin(), order.end()));
    }
    EXPECT_GT(grants_used, 0u);
}

TEST(SlowStartBudget, WithMessagesMostOfItIsUsed) {
    constexpr int kHosts = 100;
    constexpr int kSendAttempts = 8000;
    constexpr double kBudget = 24;
    const auto units_sent = [](bool messages) {
        FleetSettings settings;
        settings.hosts = kHosts;
        settings.budget = kBudget;
        settings.messages = messages;
        Fleet fleet(settings);
        for (int attempt = 0; attempt < kSendAttempts; ++attempt, fleet.now += kWindow / 1000) {
            const int host = attempt * 37 % kHosts;
            if (fleet.try_send(host, 2))
                continue;
            const auto request = fleet.request_grant(host, 2);
            const auto grant = request ? fleet.deliver(*request) : std::nullopt;
            if (!grant)
                continue;
            fleet.deliver(*grant);
            fleet.try_send(host, 2);
        }
        EXPECT_LE(fleet.worst_window(), 1 + 1e-9);
        return fleet.units_sent();
    };
    const double budget_of_all_windows = kBudget * 8 * (1 + kGrowth / 2); // grows evenly over 8 windows
    EXPECT_LT(units_sent(false), 0.3 * budget_of_all_windows);
    EXPECT_GT(units_sent(true), 0.5 * budget_of_all_windows);
}

TEST(SlowStartMessage, MalformedOnesAreCountedAndDropped) {
    FleetSettings settings;
    settings.hosts = 8;
    settings.budget = 6;
    settings.messages = true;
    settings.slow_start_duration = kWindow;
    overload::SlowStartAllocator allocator(host_settings(settings, 0));
    for (const char *const malformed :
         {"", "mw-cold1", "mw-cold1 ask ", "mw-cold1 ask 1 2", "mw-cold1 ask 1 2 0", "mw-cold1 give 1 2 -3",
          "mw-cold1 give 1 2 99999999999", "mw-cold2 ask 1 2 3", "mw-cold1 ask 1 2 3 4",
          "mw-turn1 ask 1 2 0 0"})
        EXPECT_FALSE(allocator.decode(malformed)) << malformed;
    EXPECT_EQ(allocator.metrics().malformed, 10u);
    const auto grant = allocator.decode("mw-cold1 give ffffffffffffffff a 3");
    ASSERT_TRUE(grant);
    EXPECT_TRUE(grant->kind == SlowStartMessage::Kind::Grant && grant->node == ~0ull &&
                grant->request_number == 10 && grant->units == 3);
}

TEST(SlowStartMessage, KeepsItsBytes) {
    EXPECT_EQ(encode(SlowStartMessage{SlowStartMessage::Kind::Request, ~0ull, 10, 3}),
              "mw-cold1 ask ffffffffffffffff a 3");
    EXPECT_EQ(encode(SlowStartMessage{SlowStartMessage::Kind::Grant, 0x1f, 0xabc, 1'000'000}),
              "mw-cold1 give 1f abc 1000000");
}
