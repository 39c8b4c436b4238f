// The share of cold nodes by itself, alone and with talk: random schedules of brokers and datagrams, and all
// orders at small size. What all brokers send one cold node in any window stays under what it bears, counted
// from outside.
#include "overload/slow_start_budget.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <random>

using namespace marblewood;
using overload::SlowStartBudget;
using overload::SlowStartNode;

namespace {

constexpr Micros kWindow = 1'000'000, kStart = 1'000'000'000;
constexpr Micros kAhead = 50'000; // us by which clocks differ at the most

Settings settings_for(int hosts, int position, double bears, Micros warm, bool talk) {
    Settings s;
    s.hosts = hosts, s.position = position, s.peers = talk;
    s.slow_start_window = kWindow, s.slow_start_duration = warm;
    s.slow_start_initial_fraction = 0.2, s.slow_start_units = bears, s.mean_request_units = 2,
    s.max_request_units = 6;
    return s;
}

struct Host {
    Host(const Settings &settings, Micros started, Micros since)
        : deal(settings), own(settings), started_at(since) {
        node.entry.stable_id = 5, node.entry.shard = ShardId{3};
        node.slow_start_began = started, node.start_listed = true;
    }
    SlowStartBudget deal;
    Settings own;
    SlowStartNode node;
    Micros started_at;
};
struct Word {
    Micros at = 0;
    int from = 0, to = 0;
    std::string data;
};

// Hosts that all heard of the start at kStart, and the datagrams between them.
class World {
public:
    World(int hosts, double bears, bool talk, std::vector<Micros> skews = {}, Micros warm = 8 * kWindow)
        : bears_(bears), warm_(warm), skews_(std::move(skews)) {
        skews_.resize(static_cast<std::size_t>(hosts));
        for (int h = 0; h < hosts; ++h)
            hosts_.emplace_back(settings_for(hosts, h, bears, warm, talk), kStart, kStart - 10 * kWindow);
    }
    Micros clock(int h) const { return now + skews_[static_cast<std::size_t>(h)]; }
    bool spend(int h, double units) {
        Host &host = hosts_[static_cast<std::size_t>(h)];
        if (!host.deal.admits(host.node, units, clock(h), host.started_at))
            return false;
        host.deal.spend(host.node, units, clock(h), host.started_at);
        sent.emplace_back(now, units);
        return true;
    }
    std::optional<Word> request_grant(int h, double units) {
        Host &host = hosts_[static_cast<std::size_t>(h)];
        const auto word = host.deal.request_grant(host.node, units, clock(h));
        return word ? std::optional(Word{now, h, *word->peer, word->data}) : std::nullopt;
    }
    std::optional<Word> deliver(const Word &word) {
        Host &host = hosts_[static_cast<std::size_t>(word.to)];
        overload::SlowStartAllocator &allocators = host.deal.allocator();
        const auto read = allocators.decode(word.data);
        if (!read || read->node != host.node.entry.stable_id)
            return std::nullopt;
        if (read->kind == overload::SlowStartMessage::Kind::Grant) {
            allocators.accept_grant(host.node, *read, clock(word.to));
            return std::nullopt;
        }
        const auto grant =
            allocators.answer_request(host.node, *read, word.from, clock(word.to), host.started_at);
        return grant ? std::optional(Word{now, word.to, word.from, grant->data}) : std::nullopt;
    }
    void restart(int h) {
        Host &host = hosts_[static_cast<std::size_t>(h)];
        used_before_ += host.deal.metrics().used;
        host = Host(host.own, kStart, clock(h));
    }
    // The most within a window, of what the node bears at the window's beginning.
    double worst() const {
        double most = 0;
        for (std::size_t first = 0; first < sent.size(); ++first) {
            double sum = 0;
            for (std::size_t n = first; n < sent.size() && sent[n].first < sent[first].first + kWindow; ++n)
                if (sent[n].first < kStart + warm_ - kAhead)
                    sum += sent[n].second; // warm then for some
            const double warm =
                std::max(0.0, static_cast<double>(sent[first].first - kStart)) / static_cast<double>(warm_);
            if (warm < 1)
                most = std::max(most, sum / (bears_ * (1 + 4 * warm)));
        }
        return most;
    }
    std::uint64_t used() const {
        std::uint64_t all = used_before_;
        for (const Host &host : hosts_)
            all += host.deal.metrics().used;
        return all;
    }
    Micros now = kStart;
    std::vector<std::pair<Micros, double>> sent;

private:
    double bears_;
    Micros warm_;
    std::vector<Micros> skews_;
    std::vector<Host> hosts_;
    std::uint64_t used_before_ = 0;
};

} // namespace

TEST(SlowStartBudget, TenThousandSchedulesKeepEveryWindow) {
    std::uint64_t used = 0;
    double units[2] = {};
    for (unsigned seed = 1; seed <= 10'000; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        const int hosts = pick(2, 20), lost = pick(0, 60), doubled = pick(0, 40), latest = pick(1, 1'500'000);
        std::vector<Micros> skews;
        for (int h = 0; h < hosts; ++h)
            skews.push_back(pick(0, 50000));
        const bool talk = seed % 4 != 0;
        World world(hosts, pick(3, 24), talk, skews);
        std::vector<Word> words;
        const auto post = [&](std::optional<Word> word) {
            if (!word || pick(0, 99) < lost)
                return;
            for (int copies = pick(0, 99) < doubled ? 2 : 1; copies > 0; --copies) {
                word->at = world.now + pick(0, latest);
                words.push_back(*word);
            }
        };
        for (int step = 0; step < 150; ++step) {
            world.now += pick(0, 9) ? pick(0, 40'000) : pick(0, 600'000); // a pause of all now and then
            for (std::size_t n = 0; n < words.size();) {
                if (words[n].at > world.now) {
                    ++n;
                    continue;
                }
                const Word word = words[n];
                words.erase(words.begin() + static_cast<std::ptrdiff_t>(n));
                post(world.deliver(word));
            }
            const int h = pick(0, hosts - 1), wanted = pick(1, 5);
            if (!world.spend(h, wanted))
                post(world.request_grant(h, wanted));
            if (pick(0, 19) == 0) // all have work at once
                for (int all = 0; all < hosts; ++all)
                    if (!world.spend(all, 1))
                        post(world.request_grant(all, 1));
            if (pick(0, 99) == 0)
                world.restart(pick(0, hosts - 1));
        }
        ASSERT_LE(world.worst(), 1 + 1e-9) << "seed " << seed;
        used += world.used();
        for (const auto &[at, size] : world.sent)
            units[talk] += size;
    }
    EXPECT_GT(used, 1'000u); // grants were spent, and much was sent
    EXPECT_GT(units[false], 20'000.0);
    EXPECT_GT(units[true], 100'000.0);
}

// Two brokers that talk: requests, grants, both spending all they may, one datagram twice, a restart, a wait,
// in every order.
TEST(SlowStartBudget, AllOrdersOfTwoHostsKeepEveryWindow) {
    std::vector<int> order(8);
    std::iota(order.begin(), order.end(), 0);
    World scout(2, 8, true, {}, 500 * kWindow);
    for (bool given = false; !given; scout.now += kWindow / 4) { // until the one can give to the other
        const auto request = scout.request_grant(0, 2);
        given = request && scout.deliver(*request);
    }
    std::uint64_t used = 0;
    for (const int dies : {0, 1}) // who requests, or who gives
        do {
            World world(2, 8, true, {}, 500 * kWindow);
            std::vector<Word> words;
            std::optional<Word> last;
            world.now = scout.now;
            const auto deliver = [&] {
                if (words.empty())
                    return;
                last = words.front();
                words.erase(words.begin());
                if (auto reply = world.deliver(*last))
                    words.push_back(*reply);
            };
            for (const int what : order) {
                world.now += kWindow / 32;
                if (what == 0 || what == 1)
                    if (auto word = world.request_grant(what, 2))
                        words.push_back(*word);
                if (what == 2 || what == 3)
                    deliver();
                if (what == 4 && last)
                    world.deliver(*last);
                if (what == 5)
                    for (int h = 0; h < 2; ++h)
                        while (world.spend(h, 2)) {}
                if (what == 6)
                    world.now += kWindow / 4;
                if (what == 7)
                    world.restart(dies);
            }
            for (int h = 0; h < 2; ++h)
                while (world.spend(h, 1)) {}
            ASSERT_LE(world.worst(), 1 + 1e-9) << testing::PrintToString(order);
            used += world.used();
        } while (std::next_permutation(order.begin(), order.end()));
    EXPECT_GT(used, 0u);
}

TEST(SlowStartBudget, WithTalkMostOfWhatItBearsIsUsed) {
    constexpr int kHosts = 100;
    double units[2] = {};
    for (const bool talk : {false, true}) {
        World world(kHosts, 24, talk);
        for (int step = 0; step < 8000;
             ++step, world.now += kWindow / 1000) { // each broker has work now and then
            const int h = step * 37 % kHosts;
            if (world.spend(h, 2))
                continue;
            if (const auto request = world.request_grant(h, 2))
                if (const auto grant = world.deliver(*request))
                    world.deliver(*grant), world.spend(h, 2);
        }
        for (const auto &[at, size] : world.sent)
            units[talk] += size;
        EXPECT_LE(world.worst(), 1 + 1e-9);
    }
    const double bears = 24 * 8 * (1 + 4 / 2.0); // grows to five times as much over the 8 windows
    EXPECT_LT(units[false], 0.3 * bears);
    EXPECT_GT(units[true], 0.5 * bears);
}

TEST(SlowStartBudget, WhatMakesNoSenseIsCountedAndDropped) {
    overload::SlowStartAllocator allocators(settings_for(8, 0, 6, kWindow, true));
    for (const char *const bad : {"", "mw-cold1", "mw-cold1 ask ", "mw-cold1 ask 1 2", "mw-cold1 ask 1 2 0",
                                  "mw-cold1 give 1 2 -3", "mw-cold1 give 1 2 99999999999",
                                  "mw-cold2 ask 1 2 3", "mw-cold1 ask 1 2 3 4", "mw-turn1 ask 1 2 0 0"})
        EXPECT_FALSE(allocators.decode(bad)) << bad;
    EXPECT_EQ(allocators.metrics().malformed, 10u);
    const auto good = allocators.decode("mw-cold1 give ffffffffffffffff a 3");
    ASSERT_TRUE(good);
    EXPECT_TRUE(good->kind == overload::SlowStartMessage::Kind::Grant && good->node == ~0ull &&
                good->request_number == 10 && good->units == 3);
}
