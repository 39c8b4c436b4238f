/// \file
/// The rate limit of a volume in a fleet of hosts that lend units to each other. The units that all hosts
/// together spend must stay within the limit; they are counted independently of the code under test.
#include "overload/quota_lending.hpp"

#include "lossy_network.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <numeric>
#include <random>

using namespace marblewood;
using overload::QuotaAccount;
using overload::QuotaLending;
using overload::QuotaMessage;
using test::Datagram;
using test::LossyNetwork;
using test::pick;

namespace {

constexpr VolumeId kVolume{7};
constexpr Micros kBegin = 1'000'000'000;
constexpr double kTooManyUnits = 1000; // more than any host may spend

class Fleet {
public:
    /// `clock_speeds` has one entry for each host; if it is empty, all are 1.
    Fleet(int hosts, double rate, double burst, std::vector<double> clock_speeds = {})
        : rate_(rate), burst_(burst), clock_speeds_(std::move(clock_speeds)), plan_balance_(burst) {
        clock_speeds_.resize(static_cast<std::size_t>(hosts), 1);
        Settings settings;
        settings.hosts = hosts;
        settings.peers = true;
        settings.lends = true;
        settings.mean_request_units = 0.5;
        for (settings.position = 0; settings.position < hosts; ++settings.position)
            hosts_.emplace_back(settings);
    }

    /// A request arrives at a host, which spends the units if available. Returns the datagrams that it sends
    /// to peers.
    std::vector<Datagram> request(int index, double units) {
        Host &host = refilled(index);
        std::vector<Datagram> sent;
        const auto send = [&](const std::optional<SendPeerMessage> &message) {
            if (message)
                sent.push_back({now, index, *message->peer, message->data});
        };
        send(host.lending.record_demand(host.account, kVolume, units, clock(index)));
        if (host.lending.available(host.account, clock(index)) < units) {
            send(host.lending.request_units(host.account, kVolume, units, clock(index)));
            return sent;
        }
        host.lending.spend(host.account, units, clock(index));
        count_spent(units);
        return sent;
    }

    /// Every host spends all available units.
    void spend_all() {
        constexpr double kUnitsEach = 0.25;
        for (int index = 0; index < size(); ++index)
            while (refilled(index).lending.available(refilled(index).account, clock(index)) >= kUnitsEach)
                request(index, kUnitsEach);
    }

    /// Returns the answer.
    std::optional<Datagram> deliver(const Datagram &datagram) {
        Host &host = refilled(datagram.to);
        const QuotaLending::Outcome outcome = host.lending.handle(
            {datagram.from, datagram.data}, [&](VolumeId) { return &host.account; }, clock(datagram.to));
        if (!outcome.reply)
            return std::nullopt;
        return Datagram{now, datagram.to, *outcome.reply->peer, outcome.reply->data};
    }

    /// Delivers the datagrams and all answers that follow from them.
    void deliver_all(std::vector<Datagram> datagrams) {
        while (!datagrams.empty()) {
            const Datagram datagram = datagrams.back();
            datagrams.pop_back();
            if (auto reply = deliver(datagram))
                datagrams.push_back(*reply);
        }
    }

    /// Registers all hosts, so that each knows the others that serve the volume.
    void register_all() {
        constexpr Micros kRegistrationPause = 9'000'000;
        for (int round = 0; round < 2; ++round, now += kRegistrationPause)
            for (int index = 0; index < size(); ++index)
                deliver_all(request(index, kTooManyUnits));
    }

    void restart(int index) {
        Host &old = host(index);
        old = Host(old.settings);
    }

    /// A successor takes over the host's account.
    void hand_over(int index) {
        Host &old = refilled(index);
        const double balance = old.lending.own_units(old.account, clock(index));
        const double lent = old.lending.lent_units(old.account, clock(index));
        restart(index);
        host(index).lending.restore(host(index).account, balance, lent, clock(index));
    }

    double units_lent() const { return total(&QuotaLoanMetrics::units_lent); }
    double loans_used() const { return total(&QuotaLoanMetrics::units_used); }

    Micros now = kBegin;
    /// The lowest level of a token bucket with the plan's rate and burst; below 0, the rate limit was
    /// exceeded.
    double least_plan_balance = std::numeric_limits<double>::max();
    double units_spent = 0;

private:
    struct Host {
        explicit Host(const Settings &host_settings) : settings(host_settings), lending(host_settings) {}
        Settings settings;
        QuotaLending lending;
        QuotaAccount account;
    };

    int size() const { return static_cast<int>(hosts_.size()); }
    Host &host(int index) { return hosts_[static_cast<std::size_t>(index)]; }
    Host &refilled(int index) {
        Host &one = host(index);
        one.lending.refill(one.account, rate_, burst_, size(), clock(index));
        return one;
    }
    /// Each host's clock has its own speed and its own offset.
    Micros clock(int index) const {
        constexpr Micros kClockOffset = 77'000'000;
        const double elapsed = static_cast<double>(now - kBegin);
        return kBegin + index * kClockOffset +
               static_cast<Micros>(elapsed * clock_speeds_[static_cast<std::size_t>(index)]);
    }
    void count_spent(double units) {
        const double refill = rate_ * static_cast<double>(now - plan_refilled_at_) / 1e6;
        plan_balance_ = std::min(burst_, plan_balance_ + refill) - units;
        plan_refilled_at_ = now;
        least_plan_balance = std::min(least_plan_balance, plan_balance_);
        units_spent += units;
    }
    double total(double QuotaLoanMetrics::*metric) const {
        return std::accumulate(hosts_.begin(), hosts_.end(), 0.0, [metric](double units, const Host &one) {
            return units + one.lending.metrics().*metric;
        });
    }

    double rate_;
    double burst_;
    std::vector<double> clock_speeds_;
    std::vector<Host> hosts_;
    double plan_balance_;
    Micros plan_refilled_at_ = kBegin;
};

// A host whose clock is fast by this fraction refills faster than its part of the rate. The slack of
// the plan's limit covers that.
constexpr double kMaxClockError = 0.02;

struct ScheduleResult {
    double least_plan_balance = 0;
    double allowed_overdraft = 0;
    double loans_used = 0;
    double units_spent = 0;
};

/// One random schedule of requests, pauses, restarts, handovers and network faults.
ScheduleResult run_random_schedule(unsigned seed) {
    std::mt19937 random(seed);
    const int hosts = pick(random, 2, 6);
    LossyNetwork::Faults faults;
    faults.lost_percent = pick(random, 0, 60);
    faults.duplicated_percent = pick(random, 0, 40);
    faults.max_delay = pick(random, 1, 1'200'000);
    const double rate = pick(random, 5, 200);
    const double burst = rate * pick(random, 10, 30) / 10.0 + 4;
    const bool equal_clocks = seed % 2;
    std::vector<double> clock_speeds;
    for (int host = 0; host < hosts; ++host)
        clock_speeds.push_back(equal_clocks ? 1 : 1 + kMaxClockError * pick(random, -10, 10) / 10);
    Fleet fleet(hosts, rate, burst, clock_speeds);
    LossyNetwork network(random, faults);
    int busiest = 0;
    for (int step = 0; step < 200; ++step) {
        const bool long_pause = pick(random, 0, 19) == 0;
        fleet.now += pick(random, 0, long_pause ? 900'000 : 30'000);
        network.deliver_due(fleet.now, [&](const Datagram &datagram) { return fleet.deliver(datagram); });
        if (pick(random, 0, 39) == 0)
            busiest = pick(random, 0, hosts - 1);
        const int host = pick(random, 0, 3) ? busiest : pick(random, 0, hosts - 1);
        for (const Datagram &datagram : fleet.request(host, pick(random, 1, 6)))
            network.send(datagram, fleet.now);
        if (pick(random, 0, 39) == 0)
            fleet.spend_all();
        if (pick(random, 0, 99) == 0)
            fleet.restart(pick(random, 0, hosts - 1));
        if (pick(random, 0, 99) == 0)
            fleet.hand_over(pick(random, 0, hosts - 1));
    }
    const double seconds = static_cast<double>(fleet.now - kBegin) / 1e6;
    return {fleet.least_plan_balance, equal_clocks ? 0 : kMaxClockError * rate * seconds, fleet.loans_used(),
            fleet.units_spent};
}

} // namespace

TEST(QuotaLending, TenThousandSchedulesKeepTheRateLimit) {
    double loans_used = 0;
    double units_spent = 0;
    for (unsigned seed = 1; seed <= 10'000; ++seed) {
        const ScheduleResult result = run_random_schedule(seed);
        ASSERT_GE(result.least_plan_balance, -result.allowed_overdraft - 1e-6) << "seed " << seed;
        loans_used += result.loans_used;
        units_spent += result.units_spent;
    }
    // The schedules must have lent and spent units, or they would prove nothing.
    EXPECT_GT(loans_used, 10'000.0);
    EXPECT_GT(units_spent, 100'000.0);
}

namespace {

/// The steps of a schedule of a borrower and a lender. The test runs them in every order.
enum class Step {
    Request,
    RequestAgain,
    Deliver,
    DeliverAnother,
    DeliverLastAgain,
    SpendAll,
    WaitPastLoanExpiry,
    RestartLender
};
constexpr int kSteps = 8;

class TwoHostSchedule {
public:
    explicit TwoHostSchedule(int lender) : fleet(2, 20, 20), lender_(lender), borrower_(1 - lender) {
        fleet.register_all(); // both balances are full afterwards
        for (int count = 0; count < 10; ++count)
            fleet.request(borrower_, 1);
    }

    void run(Step step) {
        fleet.now += 35'000;
        switch (step) {
        case Step::Request:
        case Step::RequestAgain:
            for (const Datagram &datagram : fleet.request(borrower_, 4))
                in_flight_.push_back(datagram);
            return;
        case Step::Deliver:
        case Step::DeliverAnother:
            return deliver();
        case Step::DeliverLastAgain:
            if (last_)
                fleet.deliver(*last_);
            return;
        case Step::SpendAll:
            return fleet.spend_all();
        case Step::WaitPastLoanExpiry:
            fleet.now += 600'000;
            return;
        case Step::RestartLender:
            return fleet.restart(lender_);
        }
    }

    Fleet fleet;

private:
    void deliver() {
        if (in_flight_.empty())
            return;
        last_ = in_flight_.front();
        in_flight_.erase(in_flight_.begin());
        if (auto reply = fleet.deliver(*last_))
            in_flight_.push_back(*reply);
    }

    int lender_;
    int borrower_;
    std::vector<Datagram> in_flight_;
    std::optional<Datagram> last_;
};

} // namespace

TEST(QuotaLending, AllOrdersOfTwoHostsKeepTheRateLimit) {
    double loans_used = 0;
    for (const int lender : {0, 1}) {
        std::vector<int> order(kSteps);
        std::iota(order.begin(), order.end(), 0);
        do {
            TwoHostSchedule schedule(lender);
            for (const int step : order)
                schedule.run(static_cast<Step>(step));
            schedule.fleet.spend_all();
            ASSERT_GE(schedule.fleet.least_plan_balance, -1e-6) << testing::PrintToString(order);
            loans_used += schedule.fleet.loans_used();
        } while (std::next_permutation(order.begin(), order.end()));
    }
    EXPECT_GT(loans_used, 0.0);
}

TEST(QuotaLending, TheBusiestHostGetsWhatTheOthersLeave) {
    Fleet fleet(3, 60, 60);
    fleet.register_all();
    double requested = 0;
    const double spent_before = fleet.units_spent;
    for (int step = 0; step < 1000; ++step, fleet.now += 10'000) {
        const bool affordable = step % 4 == 0;
        const double units = affordable ? 2 : kTooManyUnits;
        if (affordable)
            requested += units;
        fleet.deliver_all(fleet.request(0, units));
    }
    // The host's own part is 20 units/s, 40% of the 50 units/s that are requested.
    EXPECT_GT(fleet.units_spent - spent_before, 0.8 * requested);
    EXPECT_GE(fleet.least_plan_balance, -1e-6);
}

TEST(QuotaLending, LendersThatRestartAtOnceLeaveNoMoreThanTheRateLimit) {
    Fleet fleet(6, 60, 60);
    fleet.register_all();
    for (int count = 0; count < 10; ++count)
        fleet.request(0, 1);
    for (int count = 0; count < 6; ++count, fleet.now += 31'000)
        fleet.deliver_all(fleet.request(0, kTooManyUnits)); // requests units from each peer in turn
    const double lent = fleet.units_lent();
    for (int lender = 1; lender < 6; ++lender) {
        fleet.restart(lender);
        fleet.request(lender, kTooManyUnits);
    }
    fleet.now += 280'000; // the loans have not expired, and the lenders' balances have refilled in part
    fleet.spend_all();
    EXPECT_GT(lent, 20.0);
    EXPECT_GE(fleet.least_plan_balance, -1e-6);
}

TEST(QuotaMessage, MalformedOnesAreCountedAndDropped) {
    Settings settings;
    settings.peers = true;
    settings.lends = true;
    settings.hosts = 4;
    QuotaLending lending(settings);
    const QuotaLending::AccountLookup no_account = [](VolumeId) { return nullptr; };
    for (const char *const malformed :
         {"mw-loan1", "mw-loan1 ", "mw-loan1 a ", "mw-loan1 a 1 2", "mw-loan1 g 1 2 -3",
          "mw-loan1 g 1 2 99999999999", "mw-loan2 a 1 2 3", "mw-loan1 a 1 2 3 4",
          "mw-loan1 a 11112222333344445 2 3", "mw-loan1 x 1 2 3", "mw-loan1 m 1 2", "mw-loan1 h 1 4",
          "mw-loan1 h 1 -1", "mw-loan1 h 1 2 ", "mw-loan1 ask 1 2 3"})
        EXPECT_FALSE(lending.handle({1, malformed}, no_account, 1'000'000).reply) << malformed;
    EXPECT_EQ(lending.metrics().malformed, 15u);
    EXPECT_FALSE(QuotaLending::recognizes("mw-cold1 ask 1 2 3"));
    const char *const registration = "mw-loan1 m ffffffffffffffff";
    // No other host is registered yet.
    EXPECT_FALSE(lending.handle({1, registration}, no_account, 1'000'000).reply);
    const QuotaLending::Outcome second = lending.handle({2, registration}, no_account, 1'000'000);
    ASSERT_TRUE(second.reply);
    EXPECT_EQ(second.reply->data, "mw-loan1 h ffffffffffffffff 1");
    EXPECT_EQ(lending.metrics().malformed, 15u);
}

TEST(QuotaMessage, KeepsItsBytes) {
    using Kind = QuotaMessage::Kind;
    EXPECT_EQ(encode(QuotaMessage{Kind::Request, VolumeId{0x1f}, 0xabc, 12.5, {}}), "mw-loan1 a 1f abc 12");
    EXPECT_EQ(encode(QuotaMessage{Kind::Grant, VolumeId{0x1f}, 0xabc, 0, {}}), "mw-loan1 g 1f abc 0");
    EXPECT_EQ(encode(QuotaMessage{Kind::Registration, VolumeId{0x1f}, 0, 0, {}}), "mw-loan1 m 1f");
    EXPECT_EQ(encode(QuotaMessage{Kind::Members, VolumeId{0x1f}, 0, 0, {0, 3, 12}}), "mw-loan1 h 1f 0 3 12");
}

TEST(QuotaMessage, NamesAtMostSixteenHosts) {
    QuotaMessage members{QuotaMessage::Kind::Members, VolumeId{1}, 0, 0, std::vector<int>(17, 5)};
    const auto decoded = overload::decode_quota_message(encode(members), 6);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->hosts.size(), overload::kMaxHostsInMessage);
    EXPECT_FALSE(overload::decode_quota_message(encode(members) + " 5", 6));
}
