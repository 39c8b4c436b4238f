// The loans of a limit's units by themselves: random schedules of brokers and datagrams, and all orders at
// small size. What all brokers spend of one volume stays under its limit, counted from outside.
#include "overload/quota_lending.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <random>

using namespace marblewood;
using overload::QuotaAccount;
using overload::QuotaLending;

namespace {

constexpr VolumeId kVolume{7};
constexpr Micros kBegin = 1'000'000'000;

struct Letter {
    Micros at = 0;
    int from = 0, to = 0;
    std::string data;
};

class World {
public:
    World(int hosts, double rate, double burst, std::vector<double> speeds = {})
        : rate_(rate), burst_(burst), speeds_(std::move(speeds)), store_(burst) {
        speeds_.resize(static_cast<std::size_t>(hosts), 1);
        Settings settings;
        settings.hosts = hosts, settings.peers = settings.lends = true, settings.mean_request_units = 0.5;
        for (int h = 0; h < hosts; ++h)
            settings.position = h, hosts_.emplace_back(Host{settings, QuotaLending(settings), {}});
    }
    Micros clock(int h) const { // each runs at a speed of its own, and shows what it likes
        return kBegin + h * 77'000'000 +
               static_cast<Micros>(static_cast<double>(now - kBegin) * speeds_[static_cast<std::size_t>(h)]);
    }
    // A request comes: spent where it may be; and what the broker says.
    std::vector<Letter> request(int h, double units) {
        Host &host = fresh(h);
        std::vector<Letter> out;
        const auto say = [&](const std::optional<SendPeerMessage> &word) {
            if (word)
                out.push_back({now, h, *word->peer, word->data});
        };
        say(host.loans.record_demand(host.account, kVolume, units, clock(h)));
        if (host.loans.available(host.account, clock(h)) < units) {
            say(host.loans.request_units(host.account, kVolume, units, clock(h)));
            return out;
        }
        host.loans.spend(host.account, units, clock(h));
        store_ = std::min(burst_, store_ + rate_ * static_cast<double>(now - at_) / 1e6) - units;
        at_ = now, least = std::min(least, store_), spent += units;
        return out;
    }
    void drain() { // every broker spends all that it may
        for (int h = 0; h < static_cast<int>(hosts_.size()); ++h)
            while (fresh(h).loans.available(fresh(h).account, clock(h)) >= 0.25)
                request(h, 0.25);
    }
    std::optional<Letter> deliver(const Letter &letter) {
        Host &host = fresh(letter.to);
        const auto heard = host.loans.handle(
            {letter.from, letter.data}, [&](VolumeId) { return &host.account; }, clock(letter.to));
        if (!heard.reply)
            return std::nullopt;
        return Letter{now, letter.to, *heard.reply->peer, heard.reply->data};
    }
    void deliver_all(std::vector<Letter> letters) {
        while (!letters.empty()) {
            const Letter letter = letters.back();
            letters.pop_back();
            if (auto reply = deliver(letter))
                letters.push_back(*reply);
        }
    }
    void acquaint() { // all know that the others share the volume
        for (int round = 0; round < 2; ++round, now += 9'000'000)
            for (int h = 0; h < static_cast<int>(hosts_.size()); ++h)
                deliver_all(request(h, 1000));
    }
    void restart(int h) {
        hosts_[static_cast<std::size_t>(h)] = Host{settings(h), QuotaLending(settings(h)), {}};
    }
    void hand_over(int h) { // a successor takes over, and its forerunner keeps nothing
        Host &host = fresh(h);
        const double store = host.loans.own_units(host.account, clock(h)),
                     lent = host.loans.lent_units(host.account, clock(h));
        restart(h);
        hosts_[static_cast<std::size_t>(h)].loans.restore(hosts_[static_cast<std::size_t>(h)].account, store,
                                                          lent, clock(h));
    }
    double lent_units() const {
        return std::accumulate(hosts_.begin(), hosts_.end(), 0.0, [](double all, const Host &host) {
            return all + host.loans.metrics().units_lent;
        });
    }
    double used() const {
        return std::accumulate(hosts_.begin(), hosts_.end(), 0.0, [](double all, const Host &host) {
            return all + host.loans.metrics().units_used;
        });
    }
    Micros now = kBegin;
    double least = 1e9, spent = 0; // of what the plan leaves, counted from outside

private:
    struct Host {
        Settings own;
        QuotaLending loans;
        QuotaAccount account;
    };
    const Settings &settings(int h) const { return hosts_[static_cast<std::size_t>(h)].own; }
    Host &fresh(int h) {
        Host &host = hosts_[static_cast<std::size_t>(h)];
        host.loans.refill(host.account, rate_, burst_, static_cast<int>(hosts_.size()), clock(h));
        return host;
    }
    double rate_, burst_;
    std::vector<double> speeds_;
    std::vector<Host> hosts_;
    double store_;
    Micros at_ = kBegin;
};

// Of a clock that runs up to 2% fast a broker fills a little more than its part; the plan's slack is for
// that.
constexpr double kClocks = 0.02;

} // namespace

TEST(QuotaLending, TenThousandSchedulesKeepTheLimit) {
    double used = 0, spent = 0;
    for (unsigned seed = 1; seed <= 10'000; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        const int hosts = pick(2, 6), lost = pick(0, 60), doubled = pick(0, 40), latest = pick(1, 1'200'000);
        const double rate = pick(5, 200), burst = rate * pick(10, 30) / 10.0 + 4;
        std::vector<double> speeds;
        const bool same = seed % 2; // clocks all at one speed: nothing is forgiven
        for (int h = 0; h < hosts; ++h)
            speeds.push_back(same ? 1 : 1 + kClocks * pick(-10, 10) / 10);
        World world(hosts, rate, burst, speeds);
        std::vector<Letter> letters;
        const auto post = [&](Letter letter) {
            if (pick(0, 99) < lost)
                return;
            for (int copies = pick(0, 99) < doubled ? 2 : 1; copies > 0; --copies) {
                letter.at = world.now + pick(0, latest);
                letters.push_back(letter);
            }
        };
        int busy = 0;
        for (int step = 0; step < 200; ++step) {
            world.now += pick(0, 19) ? pick(0, 30'000) : pick(0, 900'000); // a pause of all now and then
            for (std::size_t n = 0; n < letters.size();) {
                if (letters[n].at > world.now) {
                    ++n;
                    continue;
                }
                const Letter letter = letters[n];
                letters.erase(letters.begin() + static_cast<std::ptrdiff_t>(n));
                if (auto reply = world.deliver(letter))
                    post(*reply);
            }
            if (pick(0, 39) == 0)
                busy = pick(0, hosts - 1); // the busiest broker moves
            for (const Letter &request : world.request(pick(0, 3) ? busy : pick(0, hosts - 1), pick(1, 6)))
                post(request);
            if (pick(0, 39) == 0)
                world.drain();
            if (pick(0, 99) == 0)
                world.restart(pick(0, hosts - 1));
            if (pick(0, 99) == 0)
                world.hand_over(pick(0, hosts - 1));
        }
        const double slack = same ? 0 : kClocks * rate * static_cast<double>(world.now - kBegin) / 1e6;
        ASSERT_GE(world.least, -slack - 1e-6) << "seed " << seed;
        used += world.used(), spent += world.spent;
    }
    EXPECT_GT(used, 10'000.0); // much was lent and spent
    EXPECT_GT(spent, 100'000.0);
}

// Two brokers, all the same speed: requests, grants, a datagram twice, both spending all, a wait past the
// loan's end, a restart, a handover, in every order.
TEST(QuotaLending, AllOrdersOfTwoHostsKeepTheLimit) {
    std::vector<int> order(8);
    std::iota(order.begin(), order.end(), 0);
    double used = 0;
    for (const int lender : {0, 1})
        do {
            World world(2, 20, 20);
            const int borrower = 1 - lender;
            world.acquaint(); // both stores are full then
            for (int n = 0; n < 10; ++n)
                world.request(borrower, 1);
            std::vector<Letter> letters;
            std::optional<Letter> last;
            for (const int what : order) {
                world.now += 35'000;
                if (what == 0 || what == 1)
                    for (const Letter &request : world.request(borrower, 4))
                        letters.push_back(request);
                if ((what == 2 || what == 3) && !letters.empty()) {
                    last = letters.front();
                    letters.erase(letters.begin());
                    if (auto reply = world.deliver(*last))
                        letters.push_back(*reply);
                }
                if (what == 4 && last)
                    world.deliver(*last);
                if (what == 5)
                    world.drain();
                if (what == 6)
                    world.now += 600'000;
                if (what == 7)
                    world.restart(lender);
            }
            world.drain();
            ASSERT_GE(world.least, -1e-6) << testing::PrintToString(order);
            used += world.used();
        } while (std::next_permutation(order.begin(), order.end()));
    EXPECT_GT(used, 0.0);
}

TEST(QuotaLending, TheBusiestHostGetsWhatTheOthersLeave) {
    World world(3, 60, 60);
    world.acquaint();
    double asked = 0;
    const double before = world.spent;
    for (int step = 0; step < 1000; ++step, world.now += 10'000) {
        if (step % 4 == 0)
            asked += 2;
        world.deliver_all(world.request(0, step % 4 == 0 ? 2 : 1000));
    }
    EXPECT_GT(world.spent - before, 0.8 * asked); // its own part alone would be 40%: 20 units a second of 50
    EXPECT_GE(world.least, -1e-6);
}

TEST(QuotaLending, LendersThatDieAtOnceLeaveNoMoreThanTheLimit) {
    World world(6, 60, 60);
    world.acquaint();
    for (int n = 0; n < 10; ++n)
        world.request(0, 1);
    for (int n = 0; n < 6; ++n, world.now += 31'000)
        world.deliver_all(world.request(0, 1000)); // asks each in turn
    const double lent = world.lent_units();
    for (int h = 1; h < 6; ++h)
        world.restart(h), world.request(h, 1000);
    world.now += 280'000; // the loans are still good, and those who know nothing of them have some again
    world.drain();
    EXPECT_GT(lent, 20.0);
    EXPECT_GE(world.least, -1e-6);
}

TEST(QuotaLending, WhatMakesNoSenseIsCountedAndDropped) {
    Settings settings;
    settings.peers = settings.lends = true, settings.hosts = 4;
    QuotaLending loans(settings);
    const QuotaLending::AccountLookup none = [](VolumeId) { return nullptr; };
    for (const char *const bad :
         {"mw-loan1", "mw-loan1 ", "mw-loan1 a ", "mw-loan1 a 1 2", "mw-loan1 g 1 2 -3",
          "mw-loan1 g 1 2 99999999999", "mw-loan2 a 1 2 3", "mw-loan1 a 1 2 3 4",
          "mw-loan1 a 11112222333344445 2 3", "mw-loan1 x 1 2 3", "mw-loan1 m 1 2", "mw-loan1 h 1 4",
          "mw-loan1 h 1 -1", "mw-loan1 h 1 2 ", "mw-loan1 ask 1 2 3"})
        EXPECT_FALSE(loans.handle({1, bad}, none, 1'000'000).reply) << bad;
    EXPECT_EQ(loans.metrics().malformed, 15u);
    EXPECT_FALSE(QuotaLending::recognizes("mw-cold1 ask 1 2 3"));
    EXPECT_FALSE(loans.handle({1, "mw-loan1 m ffffffffffffffff"}, none, 1'000'000).reply); // the first there
    const auto heard = loans.handle({2, "mw-loan1 m ffffffffffffffff"}, none, 1'000'000);
    ASSERT_TRUE(heard.reply);
    EXPECT_EQ(heard.reply->data, "mw-loan1 h ffffffffffffffff 1");
    EXPECT_EQ(loans.metrics().malformed, 15u);
}
