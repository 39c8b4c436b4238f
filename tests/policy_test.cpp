// The module by behaviour: each test is one host, a few nodes and a few events.
#include "marblewood/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <set>

using namespace marblewood;

namespace {

constexpr Micros kMs = 1000, kSecond = 1'000'000;

Settings basic() {
    Settings s;
    s.classes = {
        {300 * kMs, 1500 * kMs, 2, 0.1, Idempotency::Idempotent, DeduplicationScope::All, 0, false, false},
        {400 * kMs, 2000 * kMs, 2, 0.2, Idempotency::NotIdempotent, DeduplicationScope::All, 0, true, false}};
    s.plans = {{10, 5, 1, 1, 0, 0, 0}};
    s.max_attempts = 3;
    s.max_request_units = 4;
    s.mean_request_units = 2;
    s.drain_grace = 250 * kMs;
    s.ordering_settle_time = 100 * kMs;
    s.slow_start_window = kSecond;
    s.slow_start_duration = 10 * kSecond;
    s.slow_start_initial_fraction = 0.2;
    s.slow_start_units = 12;
    return s;
}

class Bench {
public:
    explicit Bench(const Settings &settings, int nodes = 2) : scheduler(settings), settings_(settings) {
        ListUpdate list{ListUpdate::Kind::Saved, {}};
        for (int n = 0; n < nodes; ++n)
            list.entries.push_back(entry(n));
        give(list);
    }
    static NodeEntry entry(int n, NodeState state = NodeState::Ready, Micros started = 0) {
        return {NodeId(n), ShardId(n), ZoneId(0), state, started};
    }

    void give(const Event &event) {
        std::vector<Action> actions;
        scheduler.handle(now, event, actions);
        for (const Action &action : actions) {
            if (const auto *send = std::get_if<Send>(&action)) {
                attempts[send->id].push_back(send->node);
                sent.push_back(*send);
            } else if (const auto *refuse = std::get_if<Refuse>(&action))
                refused.push_back(refuse->id);
            else if (const auto *fail = std::get_if<Fail>(&action))
                failed.push_back(fail->id);
            else if (const auto *cancel = std::get_if<Cancel>(&action))
                cancelled.push_back(cancel->id);
            else if (const auto *timer = std::get_if<SetTimer>(&action))
                timers_.insert(now + timer->delay), ++timers_set;
            else if (const auto *log = std::get_if<Log>(&action))
                logs.push_back(log->text);
            else if (const auto *probe = std::get_if<Probe>(&action))
                probed.push_back(probe->node);
            else if (std::holds_alternative<SendPeerMessage>(action))
                ++told_peers;
        }
    }
    RequestId ask(int shard, int cls = 0, double units = 1, std::optional<DataKey> key = {}) {
        RequestArrived in;
        in.id = RequestId{++next_};
        in.cls = cls;
        in.volume = VolumeId{volume};
        in.key = key;
        if (shard >= 0)
            in.shard = ShardId(shard);
        in.time_left = time_left ? time_left : settings_.classes[static_cast<std::size_t>(cls)].deadline;
        in.units = units;
        in.hosts = hosts;
        give(in);
        return in.id;
    }
    void end(RequestId id, Status status = Status::Ok, Micros latency = 30 * kMs, int attempt = -1) {
        if (attempt < 0)
            attempt = static_cast<int>(attempts.at(id).size()) - 1;
        give(AttemptEnded{id, attempt, status, latency, status == Status::Ok, 0, 0, report});
    }
    void run(Micros length) {
        for (const Micros until = now + length; now < until;) {
            now = timers_.empty() ? until : std::min(until, std::max(now, *timers_.begin()));
            if (timers_.empty() || *timers_.begin() > now)
                continue;
            timers_.erase(timers_.begin());
            give(TimerDue{0});
        }
    }
    std::size_t tries(RequestId id) const {
        const auto it = attempts.find(id);
        return it == attempts.end() ? 0 : it->second.size();
    }
    bool told(const std::string &part) const {
        return std::any_of(logs.begin(), logs.end(),
                           [&](const std::string &l) { return l.find(part) != std::string::npos; });
    }
    static bool has(const std::vector<RequestId> &ids, RequestId id) {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    Micros now = 1000 * kSecond;
    Scheduler scheduler;
    std::map<RequestId, std::vector<NodeId>> attempts;
    std::vector<Send> sent;
    std::vector<RequestId> refused, cancelled, failed;
    std::vector<std::string> logs;
    std::vector<NodeId> probed;
    int hosts = 1, timers_set = 0, told_peers = 0;
    std::uint64_t volume = 1;
    std::optional<LoadReport> report;
    Micros time_left = 0; // 0: the class's deadline

private:
    Settings settings_;
    std::multiset<Micros> timers_;
    std::uint64_t next_ = 0;
};

TEST(Bound, StartsAtTwoAndExcessWaits) {
    Bench b(basic());
    for (int k = 0; k < 7; ++k)
        b.ask(0);
    EXPECT_EQ(b.sent.size(), 2u);
    EXPECT_DOUBLE_EQ(*b.scheduler.concurrency_limit(NodeId{0}), 2);
}

TEST(Bound, FollowsEquationSixOne) {
    Bench b(basic());
    const RequestId one = b.ask(0), two = b.ask(0);
    b.end(one, Status::Ok, 360 * kMs); // L = 1.2, two out with it: 2 / (1 + 0.8 * 0.2)
    EXPECT_NEAR(*b.scheduler.concurrency_limit(NodeId{0}), 2 / 1.16, 1e-9);
    b.end(two, Status::Ok, 600 * kMs); // L = 1.6, one out: under the floor
    EXPECT_DOUBLE_EQ(*b.scheduler.concurrency_limit(NodeId{0}), 1);
    b.end(b.ask(0), Status::Ok, 30 * kMs);
    b.end(b.ask(0), Status::Ok, 30 * kMs); // the mean of 1.2, 2, 0.1 and 0.1 is 0.85
    EXPECT_NEAR(*b.scheduler.concurrency_limit(NodeId{0}), 1 / 0.88, 1e-9);
}

TEST(Bound, QuickErrorsDoNotRaiseIt) {
    Bench b(basic());
    std::vector<RequestId> ids;
    for (int k = 0; k < 4; ++k)
        ids.push_back(b.ask(0));
    b.end(ids[0], Status::Error, 1 * kMs);
    EXPECT_LE(*b.scheduler.concurrency_limit(NodeId{0}), 4); // L stays at the target: N_e, four
}

TEST(Bound, OverdueAttemptsLowerItWithoutAnAnswer) {
    Bench b(basic());
    for (int k = 0; k < 2; ++k)
        b.ask(0);
    b.run(700 * kMs);
    EXPECT_DOUBLE_EQ(*b.scheduler.concurrency_limit(NodeId{0}), 1);
}

TEST(Nodes, SilenceBringsDistrustAndOneTrialAtATime) {
    Bench b(basic());
    for (int k = 0; k < 4; ++k)
        b.ask(0);
    b.run(1040 * kMs);
    EXPECT_TRUE(b.told("node_ejected node=0 reason=no_answers"));
    const auto before = b.sent.size();
    for (int k = 0; k < 3; ++k)
        b.ask(0);
    b.run(200 * kMs);
    EXPECT_EQ(b.sent.size(), before + 1);
    b.end(b.sent.back().id);
    EXPECT_TRUE(b.told("node_recovered node=0"));
    for (std::size_t k = 0; k < 2; ++k)
        b.end(b.sent[k].id); // what hung comes in after all
    EXPECT_GT(b.sent.size(), before + 1);
}

TEST(Nodes, TrialIsASafeRequestWhereOneWaits) {
    Bench b(basic());
    for (int k = 0; k < 4; ++k)
        b.ask(0);
    b.run(1100 * kMs);
    b.ask(0, 1);
    const RequestId safe = b.ask(0, 0);
    b.run(150 * kMs);
    EXPECT_EQ(b.sent.back().id, safe);
}

TEST(Nodes, NothingNewToADrainingNode) {
    Bench b(basic());
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Draining)}});
    const RequestId id = b.ask(0);
    b.run(1600 * kMs);
    EXPECT_EQ(b.tries(id), 0u);
    EXPECT_TRUE(Bench::has(b.refused, id));
}

TEST(Nodes, MissingFromAFullListIsGone) {
    Bench b(basic());
    b.give(ListUpdate{ListUpdate::Kind::Full, {Bench::entry(1)}});
    EXPECT_EQ(b.tries(b.ask(0)), 0u);
    EXPECT_EQ(b.tries(b.ask(1)), 1u);
}

TEST(Nodes, AReplacementTakesOverTheShardAndItsQueue) {
    Bench b(basic());
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Gone)}});
    const RequestId id = b.ask(0);
    NodeEntry fresh = Bench::entry(7);
    fresh.shard = ShardId{0};
    b.give(ListUpdate{ListUpdate::Kind::Changes, {fresh}});
    ASSERT_EQ(b.tries(id), 1u);
    EXPECT_EQ(b.attempts[id][0], NodeId{7});
}

// Fleet day zone+vast: a node that goes while work is out at it and comes back under its own shard takes that
// shard's work again; it was left out of the shard, whose account a sweep then dropped (map::at, exit 1).
TEST(Nodes, ANodeBackFromGoneWhileWorkWasOutServesItsShardAgain) {
    Bench b(basic());
    const RequestId out = b.ask(0);
    ASSERT_EQ(b.tries(out), 1u);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Gone)}});
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0)}});
    b.end(out);
    b.run(3 * kSecond); // sweeps pass
    EXPECT_NO_THROW(b.ask(-1));
    const RequestId again = b.ask(0);
    ASSERT_EQ(b.tries(again), 1u);
    EXPECT_EQ(b.attempts[again][0], NodeId{0});
}

// Random lists, in changes and in full, while work is out: once every node is listed ready again, each
// shard's work goes to that shard's node, and nothing throws on the way.
TEST(Nodes, AfterAnyOrderOfListsEveryReadyNodeServesItsShard) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::uint64_t x = seed * 0x9E3779B97F4A7C15ULL;
        const auto draw = [&x](std::uint64_t n) { return (x ^= x << 13, x ^= x >> 7, x ^= x << 17) % n; };
        Bench b(basic(), 3);
        std::vector<RequestId> out;
        for (int step = 0; step < 12; ++step) {
            const int node = static_cast<int>(draw(3));
            const auto state = static_cast<NodeState>(draw(3));
            if (draw(4) == 0) {
                ListUpdate full{ListUpdate::Kind::Full, {}};
                for (int n = 0; n < 3; ++n)
                    if (n != node)
                        full.entries.push_back(Bench::entry(n, state));
                b.give(full);
            } else {
                b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(node, state)}});
            }
            if (draw(2) == 0)
                out.push_back(b.ask(static_cast<int>(draw(3))));
            if (!out.empty() && draw(3) == 0) {
                const RequestId id = out[draw(out.size())];
                if (b.tries(id) > 0)
                    b.end(id);
            }
            ASSERT_NO_THROW(b.run(static_cast<Micros>(draw(1500)) * kMs)) << "step " << step;
        }
        b.give(ListUpdate{ListUpdate::Kind::Full, {Bench::entry(0), Bench::entry(1), Bench::entry(2)}});
        b.run(2 * kSecond);
        for (int shard = 0; shard < 3; ++shard) {
            const RequestId id = b.ask(shard);
            ASSERT_EQ(b.tries(id), 1u) << "shard " << shard;
            EXPECT_EQ(b.attempts[id][0], NodeId(shard));
        }
        ASSERT_NO_THROW(b.ask(-1));
    }
}

TEST(Cold, HeldToThisHostsPartOfAWindow) {
    Settings s = basic();
    s.hosts = 2;
    s.classes[0].deadline = 5 * kSecond; // held unsent for a part of it
    Bench b(s);
    b.run(2 * kSecond);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Ready, b.now)}});
    for (int k = 0; k < 5; ++k)
        if (const RequestId id = b.ask(0, 0, 2); b.tries(id))
            b.end(id);
    EXPECT_EQ(b.sent.size(), 3u); // six of twelve units
    b.run(1100 * kMs);
    EXPECT_GT(b.sent.size(), 3u);
}

TEST(Cold, ARestartedHostCountsItsPartAsSpent) {
    Settings s = basic();
    s.classes[0].deadline = 5 * kSecond; // held unsent for a part of it
    Bench b(s);
    b.give(ListUpdate{ListUpdate::Kind::Saved, {Bench::entry(0, NodeState::Ready, b.now - 100 * kMs)}});
    const RequestId id = b.ask(0);
    EXPECT_EQ(b.tries(id), 0u);
    b.run(1100 * kMs);
    EXPECT_EQ(b.tries(id), 1u);
}

TEST(Cold, RefusedConnectsThenAnAnswerCountAsAStart) {
    Bench b(basic());
    b.run(2 * kSecond);
    const RequestId one = b.ask(0), two = b.ask(0);
    b.run(100 * kMs);
    b.end(one, Status::ConnectFailed);
    b.end(two, Status::ConnectFailed);
    b.run(120 * kMs);
    EXPECT_EQ(b.sent.size(), 3u); // one trial
    b.end(b.sent.back().id);
    EXPECT_TRUE(b.told("slow_start_began node=0"));
}

// The test of many hosts found it: a host refused after the listed start took the node for warm.
TEST(Cold, AListedStartOlderThanTheLastRefusalStillCountsAsAStart) {
    Bench b(basic());
    b.run(2 * kSecond);
    const Micros listed = b.now;
    b.run(10 * kMs);
    b.end(b.ask(0, 0, 4), Status::ConnectFailed, 1 * kMs);
    b.run(200 * kMs);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Ready, listed)}});
    EXPECT_TRUE(b.told("slow_start_began node=0"));
    double units = 0;
    for (int k = 0; k < 20; ++k) {
        const auto before = b.sent.size();
        const RequestId id = b.ask(0, 0, 4);
        units += 4.0 * static_cast<double>(b.sent.size() - before);
        if (b.tries(id))
            b.end(id);
    }
    EXPECT_LE(units, 12);
}

TEST(Effects, AnUnsafeRequestThatMayHaveRunFailsAndIsNotRepeated) {
    Bench b(basic());
    const RequestId id = b.ask(0, 1);
    b.end(id, Status::Reset);
    b.run(2 * kSecond);
    EXPECT_EQ(b.tries(id), 1u);
    EXPECT_TRUE(Bench::has(b.failed, id));
    EXPECT_FALSE(Bench::has(b.refused, id));
}

TEST(Effects, AnUnsafeRequestThatNeverRanGoesAgain) {
    Bench b(basic());
    const RequestId id = b.ask(0, 1);
    b.end(id, Status::Rejected);
    b.run(50 * kMs);
    EXPECT_EQ(b.tries(id), 2u);
}

TEST(Effects, AKeyedRequestGoesAgainOnlyWithinItsWindow) {
    Settings s = basic();
    s.classes[0].idempotency = Idempotency::WithKey;
    s.classes[0].deduplication_scope = DeduplicationScope::Cell;
    s.classes[0].deduplication_window = 200 * kMs;
    Bench b(s);
    const RequestId soon = b.ask(0), late = b.ask(0);
    b.end(soon, Status::Error, 10 * kMs);
    b.run(50 * kMs);
    EXPECT_EQ(b.tries(soon), 2u);
    b.run(200 * kMs);
    b.end(late, Status::Error, 250 * kMs);
    b.run(2 * kSecond);
    EXPECT_EQ(b.tries(late), 1u);
    EXPECT_TRUE(Bench::has(b.failed, late)); // group cell: no refusal once it may have run
}

TEST(Effects, AttemptsStayWithinTheMost) {
    Bench b(basic());
    const RequestId id = b.ask(0);
    for (int k = 0; k < 3; ++k) {
        ASSERT_EQ(b.tries(id), static_cast<std::size_t>(k + 1));
        b.end(id, Status::Error, 1 * kMs);
        b.run(50 * kMs);
    }
    EXPECT_EQ(b.tries(id), 3u);
    EXPECT_TRUE(Bench::has(b.refused, id));
}

TEST(Effects, FurtherAttemptsStayWithinTheBudget) {
    Settings s = basic();
    s.retry_budget_window = 5 * kSecond;
    s.retry_budget_free = 1;
    s.retry_budget_fraction = 0;
    Bench b(s);
    const RequestId one = b.ask(0), two = b.ask(0);
    b.end(one, Status::Error, 1 * kMs);
    b.end(two, Status::Error, 1 * kMs);
    b.run(100 * kMs);
    EXPECT_EQ(b.tries(one) + b.tries(two), 3u);
}

// Guards against a place of the bound, and a client, held until its time is up by an attempt whose connection
// fell silent. A slow node, which has served nothing later, keeps its attempt.
TEST(Effects, AnAttemptThatLaterOnesOvertookIsCancelled) {
    Settings settings = basic();
    settings.cancel = true;
    Bench bench(settings);
    const RequestId lost = bench.ask(0);
    for (int n = 0; n < 5; ++n) {
        bench.run(40 * kMs);
        EXPECT_TRUE(bench.cancelled.empty()) << n;
        bench.end(bench.ask(0));
    }
    EXPECT_EQ(bench.cancelled, std::vector<RequestId>{lost});
    bench.end(lost, Status::Cancelled);
    bench.run(30 * kMs);
    EXPECT_EQ(bench.tries(lost), 2u);

    Bench slow(settings);
    slow.ask(0);
    slow.run(kSecond);
    EXPECT_TRUE(slow.cancelled.empty());
}

// Guards against one silent connection keeping everything from a node whose other answers are quick, and
// against resets, which tell nothing of load, closing the bound.
TEST(Bound, ALostAttemptHoldsNoPlaceWhereOthersAreQuick) {
    Bench bench(basic());
    for (int n = 0; n < 10; ++n) {
        bench.end(bench.ask(0));
        bench.end(bench.ask(0), Status::Reset, kMs);
        bench.run(50 * kMs); // the repeat
        bench.end(RequestId{static_cast<std::uint64_t>(2 * n + 2)});
    }
    EXPECT_DOUBLE_EQ(*bench.scheduler.concurrency_limit(NodeId(0)), 2);
    const RequestId lost = bench.ask(0), other = bench.ask(0);
    bench.run(500 * kMs);
    bench.end(other, Status::Reset, 500 * kMs);
    const std::size_t before = bench.sent.size();
    bench.ask(0);
    bench.ask(0);
    EXPECT_EQ(bench.sent.size(), before + 2);
    EXPECT_EQ(bench.tries(lost), 1u);
}

TEST(Order, OneKeyRunsInTurnAndRestsAfterATimeout) {
    Bench b(basic());
    const DataKey key{5};
    const RequestId first = b.ask(0, 1, 1, key), second = b.ask(0, 1, 1, key);
    EXPECT_EQ(b.tries(second), 0u);
    b.end(first, Status::Timeout, 50 * kMs);
    b.run(90 * kMs);
    EXPECT_EQ(b.tries(second), 0u);
    b.run(20 * kMs);
    EXPECT_EQ(b.tries(second), 1u);
}

TEST(Order, AnAttemptStillOutAfterTheEndHoldsTheKey) {
    Bench b(basic()); // no cancelling: the attempt stays out
    const DataKey key{5};
    const RequestId first = b.ask(0, 1, 1, key);
    b.run(1900 * kMs);
    const RequestId second = b.ask(0, 1, 1, key);
    b.run(100 * kMs);
    EXPECT_TRUE(Bench::has(b.failed, first));
    EXPECT_EQ(b.tries(second), 0u);
    b.end(first, Status::Timeout, 2000 * kMs);
    b.run(150 * kMs);
    EXPECT_EQ(b.tries(second), 1u);
}

Settings limited() {
    Settings s = basic();
    s.plans[0].limit = 20;
    s.plans[0].limit_burst = 20;
    return s;
}

TEST(Limit, AFreshHostStartsWithAnEmptyStoreAndFillsItsPart) {
    Settings s = limited();
    s.classes[0].latency_objective = 400 * kMs; // still within reach when the store has filled
    Bench b(s);
    b.hosts = 2;
    const RequestId id = b.ask(0, 0, 1);
    EXPECT_EQ(b.tries(id), 0u);
    b.run(90 * kMs);
    EXPECT_EQ(b.tries(id), 0u);
    EXPECT_TRUE(b.told("rate_limit_reached"));
    b.run(20 * kMs); // one unit at ten a second
    EXPECT_EQ(b.tries(id), 1u);
}

TEST(Limit, LateWorkLeavesTheStoreToTimelyWork) {
    Bench b(limited());
    const RequestId early = b.ask(0, 0, 4);
    b.run(170 * kMs); // 3.4 units: too few
    b.run(190 * kMs); // seven units by now, but the first one's aim has passed
    EXPECT_EQ(b.tries(early), 0u);
    const RequestId timely = b.ask(0, 0, 4);
    EXPECT_EQ(b.tries(timely), 1u);
}

LoadReport report(double inflight, Micros service) {
    LoadReport load;
    load.inflight = inflight;
    load.service = service;
    return load;
}

// Asks past a volume's reserve and share, so that what comes next is spare work; nothing stays out.
void spend(Bench &b) {
    for (int k = 0; k < 40; ++k)
        if (const RequestId id = b.ask(1, 0, 4); b.tries(id))
            b.end(id);
}

TEST(Sight, AProbeIsSentWhereSpareWorkLacksEvidenceAndItsReportDecides) {
    Settings s = basic();
    s.share_priority_factor = 0.35;
    s.surplus_priority_factor = 0.1;
    s.probes = true;
    for (const double inflight : {0.0, 200.0}) {
        Bench b(s);
        spend(b);
        b.run(2 * kSecond);
        spend(b);
        const RequestId held = b.ask(0, 0, 4), more = b.ask(0, 0, 4);
        ASSERT_EQ(b.tries(held) + b.tries(more), 1u); // the second lacks evidence
        ASSERT_FALSE(b.probed.empty());
        b.give(ProbeEnded{NodeId{0}, Status::Ok, 1 * kMs, report(inflight, 60 * kMs)});
        EXPECT_EQ(b.tries(held) + b.tries(more), inflight > 0 ? 1u : 2u);
    }
}

TEST(Sight, ImplausibleOrFrozenReportsChangeNothing) {
    Settings s = basic();
    const double inf = std::numeric_limits<double>::infinity();
    const auto bound_after = [&](const std::optional<LoadReport> &load, Micros length) {
        Bench b(s);
        b.report = load;
        for (Micros t = 0; t < length; t += kSecond)
            b.end(b.ask(0), Status::Ok, 240 * kMs), b.run(kSecond);
        const RequestId one = b.ask(0), two = b.ask(0);
        b.end(one, Status::Ok, 390 * kMs);
        b.end(two, Status::Ok, 30 * kMs);
        return *b.scheduler.concurrency_limit(NodeId{0});
    };
    const double without = bound_after({}, kSecond);
    for (const LoadReport &load :
         {report(-1, 60 * kMs), report(inf, 60 * kMs), report(std::nan(""), 60 * kMs), report(3, -kMs),
          report(3, 0), report(3, INT64_MAX), LoadReport{}, report(1e12, 60 * kMs)})
        EXPECT_DOUBLE_EQ(bound_after(load, kSecond), without);
    EXPECT_NE(bound_after(report(3, 900 * kMs), kSecond), without); // a plausible one does change it
    EXPECT_NEAR(bound_after(report(3, 900 * kMs), 60 * kSecond), bound_after({}, 60 * kSecond), 1e-3);
}

TEST(Queue, WorthierWorkGoesFirst) {
    Settings s = basic();
    s.share_priority_factor = 0.3;
    s.surplus_priority_factor = 0.05;
    s.classes[0].priority_weight = 2;
    s.classes.push_back(
        {300 * kMs, 1500 * kMs, 0.2, 0.1, Idempotency::Idempotent, DeduplicationScope::All, 0, false, false});
    Bench b(s);
    std::vector<RequestId> first;
    for (int k = 0; k < 2; ++k)
        first.push_back(b.ask(0));
    b.volume = 2;
    const RequestId cheap = b.ask(0, 2), dear = b.ask(0, 0);
    b.end(first[0], Status::Ok, 250 * kMs);
    EXPECT_EQ(b.tries(dear), 1u);
    EXPECT_EQ(b.tries(cheap), 0u);
}

// Incidents i41b914, i0c3e5b, i4077fd: late and spare work took the nodes that other hosts' reserves needed.
TEST(Queue, LateWorkWaitsWhileTheNodeIsNotQuiet) {
    Bench b(basic());
    const RequestId one = b.ask(0), two = b.ask(0);
    b.end(one, Status::Ok, 240 * kMs); // L = 0.8
    b.end(two, Status::Ok, 240 * kMs);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Draining)}});
    const RequestId late = b.ask(0);
    b.run(350 * kMs); // its aim passes while nothing can be sent
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0)}});
    EXPECT_EQ(b.tries(late), 0u);
    EXPECT_EQ(b.tries(b.ask(0)), 1u);
}

TEST(Queue, SpareWorkWaitsWhileTheNodeIsNotQuiet) {
    Settings s = basic();
    s.share_priority_factor = 0.35;
    s.surplus_priority_factor = 0.1;
    for (const Micros latency : {200 * kMs, 30 * kMs}) {
        Bench b(s);
        for (int k = 0; k < 40; ++k) { // past the volume's reserve and share
            const RequestId id = b.ask(1, 0, 4);
            if (b.tries(id))
                b.end(id, Status::Ok, 30 * kMs);
        }
        const std::uint64_t spender = b.volume;
        b.volume = 2;
        b.end(b.ask(0), Status::Ok, latency); // L = 0.67, then 0.1
        b.volume = spender;
        EXPECT_EQ(b.tries(b.ask(0, 0, 4)), latency < 100 * kMs ? 1u : 0u);
        b.volume = 3;
        EXPECT_EQ(b.tries(b.ask(0)), 1u); // within its reserve
    }
}

// Padova-archivio-later: clients that come with little time left were taken for late repeats and held back.
// Guards against taking every request that met a client's earlier failure for its repeat: what the way here
// has eaten of a first try's time is no sign of one.
TEST(Queue, TimeLostOnTheWayIsNoSignOfARepeat) {
    Settings s = basic();
    s.period = 2 * kMs;
    Bench b(s);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Draining)}});
    const RequestId first = b.ask(0, 0, 1, DataKey{8});
    b.run(400 * kMs); // past its aim
    b.give(ClientDisconnected{first});
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0)}});
    b.end(b.ask(0), Status::Ok, 240 * kMs);
    b.time_left = s.classes[0].deadline - kMs;
    EXPECT_EQ(b.tries(b.ask(0, 0, 1, DataKey{8})), 1u);
}

TEST(Queue, LittleTimeLeftIsFreshWorkUnlessItRepeatsWhatEndedHere) {
    Bench b(basic());
    for (const Micros latency : {240 * kMs, 240 * kMs})
        b.end(b.ask(0), Status::Ok, latency); // L = 0.8
    b.time_left = 180 * kMs;
    const RequestId fresh = b.ask(0, 0, 1, DataKey{7});
    ASSERT_EQ(b.tries(fresh), 1u);
    b.end(fresh, Status::Ok, 140 * kMs);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Draining)}});
    b.time_left = 0;
    const RequestId first = b.ask(0, 0, 1, DataKey{8});
    b.run(400 * kMs); // past its aim
    b.give(ClientDisconnected{first});
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0)}});
    b.end(b.ask(0), Status::Ok, 240 * kMs);
    b.time_left = 1000 * kMs;
    EXPECT_EQ(b.tries(b.ask(0, 0, 1, DataKey{8})),
              0u); // its aim counts from the first try: late, so it waits
}

// Padova-archivio's big-2: reads with a short aim were late at the node behind long exports that could have
// waited.
TEST(Queue, PatientWorkLeavesAPlaceToTightWork) {
    Settings s = basic();
    s.classes.push_back(
        {1500 * kMs, 5000 * kMs, 1, 0.1, Idempotency::Idempotent, DeduplicationScope::All, 0, false, false});
    Bench b(s);
    for (int k = 0; k < 5; ++k)
        b.ask(0, 2);
    EXPECT_EQ(b.sent.size(), 1u);
    EXPECT_EQ(b.tries(b.ask(0, 0)), 1u);
}

// Clients with little time left lost a tenth of it to a timer that ended what was still out.
TEST(Queue, AnAttemptThatIsOutHasUntilTheClientsDeadline) {
    Settings s = basic();
    s.answer_slack = 8 * kMs;
    Bench b(s);
    b.time_left = 100 * kMs;
    const RequestId id = b.ask(0);
    EXPECT_EQ(b.sent.back().expires, b.now + 100 * kMs);
    b.run(100 * kMs);
    EXPECT_FALSE(Bench::has(b.refused, id));
    b.run(5 * kMs); // no time-out came: answered within the slack all the same
    EXPECT_TRUE(Bench::has(b.refused, id));
}

TEST(Queue, AnIdleHostSetsNextToNoTimers) {
    Bench b(basic(), 50);
    b.run(10 * kSecond);
    EXPECT_LE(b.timers_set, 11);
}

// Guards against clients' connections filled with work that has no prospect: it is answered while they have
// most of their time.
TEST(Queue, UnsentWorkIsRefusedEarly) {
    Bench b(basic(), 0); // no node at all
    b.ask(0);
    b.run(500 * kMs); // of 1.5 s
    EXPECT_EQ(b.refused.size(), 1u);
}

// manila-store, upgrade+hand+scrape: one volume's surge waited for 0.3 of its clients' time on every
// connection that clients had, and 1,265 requests of others found none.
TEST(Queue, BeyondWhatMayBeHeldTheLeastWorthIsRefusedAtOnce) {
    Settings s = basic();
    s.surplus_priority_factor = 0.1;
    s.max_queued_requests = 2;
    Bench b(s);
    const RequestId one = b.ask(0), two = b.ask(0); // out: the bound's places are taken
    const RequestId first = b.ask(0), second = b.ask(0);
    EXPECT_TRUE(b.refused.empty());
    b.run(10 * kMs);
    const RequestId third = b.ask(0); // worth as much, due last
    ASSERT_EQ(b.refused, std::vector{third});
    for (int k = 0; k < 30; ++k)
        b.ask(0, 0, 4); // spends the volume's reserve and share
    EXPECT_EQ(b.refused.size(), 31u);
    EXPECT_FALSE(Bench::has(b.refused, first) || Bench::has(b.refused, second));
    b.end(one), b.end(two);
    EXPECT_EQ(b.tries(first) + b.tries(second), 2u);
    const RequestId spare = b.ask(0, 0, 4), more = b.ask(0, 0, 4);
    b.volume = 2;
    const RequestId dear = b.ask(0); // within its reserve: one of what is beyond goes for it
    EXPECT_FALSE(Bench::has(b.refused, dear));
    EXPECT_TRUE(Bench::has(b.refused, spare) || Bench::has(b.refused, more));
    EXPECT_LE(b.scheduler.held().requests, s.max_queued_requests + 2); // and what is out
}

// Datagrams are priced: a turn is asked for only where the cold node's deal is what holds timely work back.
TEST(Nodes, ATurnIsAskedForOnlyWhereItWouldHelp) {
    for (const bool limited : {false, true}) {
        Settings s = basic();
        s.peers = true, s.hosts = 40, s.position = 7;
        if (limited)
            s.plans[0].limit = 0.001, s.plans[0].limit_burst = 1;
        Bench b(s);
        b.run(3 * kSecond); // no fresh instance any more
        const Micros started = b.now - 2 * kSecond;
        b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Ready, started)}});
        for (int k = 0; k < 10; ++k)
            b.ask(0), b.run(50 * kMs);
        EXPECT_EQ(b.told_peers > 0, !limited);
    }
}

TEST(Queue, WhatWasSentBeforeIsTheLastToBeShed) {
    Settings s = basic();
    s.surplus_priority_factor = 0.1;
    s.max_queued_requests = 1;
    Bench b(s);
    for (int k = 0; k < 30; ++k)
        b.ask(1, 0, 4); // spends the volume's reserve and share elsewhere
    const RequestId sent = b.ask(0);
    ASSERT_EQ(b.tries(sent), 1u);
    b.end(sent, Status::Error); // waits for its second attempt, and is worth little
    b.volume = 2;
    b.ask(0), b.ask(0), b.ask(0), b.ask(0);
    EXPECT_FALSE(Bench::has(b.refused, sent) || Bench::has(b.failed, sent));
    EXPECT_GE(b.refused.size(), 2u);
}

TEST(Queue, EveryRequestIsAnsweredBeforeItsDeadline) {
    Bench b(basic(), 0); // no node at all
    const RequestId id = b.ask(0);
    b.run(1500 * kMs);
    EXPECT_TRUE(Bench::has(b.refused, id));
    EXPECT_EQ(b.scheduler.held().requests, 0u);
}

TEST(Queue, NewObjectsGoWhereTheLeastIsToDo) {
    Bench b(basic());
    for (int k = 0; k < 6; ++k)
        b.ask(0);
    const RequestId id = b.ask(-1);
    EXPECT_EQ(b.attempts[id][0], NodeId{1});
}

// Incident ie34a39: during a release all new objects went to the few nodes that were not cold.
TEST(Queue, ColdNodesAreNotShunnedByNewObjects) {
    Bench b(basic());
    b.run(2 * kSecond);
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Ready, b.now)}});
    int cold = 0;
    for (int k = 0; k < 20; ++k) {
        b.run(kSecond / 2);
        const RequestId id = b.ask(-1);
        if (b.tries(id) && b.attempts[id][0] == NodeId{0})
            ++cold;
        if (b.tries(id))
            b.end(id, Status::Ok, 200 * kMs);
    }
    EXPECT_GE(cold, 3);
}

// Padova-archivio-later: every host sent its new objects to the same first node of those with equal bounds.
TEST(Queue, HostsThatSeeTheSameSpreadNewObjects) {
    std::map<NodeId, int> chosen;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Settings s = basic();
        s.seed = seed;
        Bench b(s, 10);
        const RequestId id = b.ask(-1);
        ++chosen[b.attempts[id][0]];
    }
    EXPECT_EQ(chosen.size(), 10u);
    for (const auto &[node, times] : chosen)
        EXPECT_LE(times, 50) << static_cast<std::uint32_t>(node);
}

// A long value that has begun is the node's answer: its client is not refused at its deadline, no second copy
// goes out, and it holds no place of the bound, nor speaks against the node, for as long as it takes.
TEST(Queue, AnAnswerThatHasBegunIsLeftToItself) {
    Bench b(basic(), 1);
    const RequestId id = b.ask(0);
    b.run(30 * kMs);
    b.give(StreamStarted{id, 0});
    for (int k = 0; k < 50; ++k) {
        b.run(100 * kMs);
        b.end(b.ask(0));
    }
    EXPECT_TRUE(b.refused.empty() && b.failed.empty() && b.cancelled.empty());
    EXPECT_EQ(b.tries(id), 1u);
    EXPECT_FALSE(b.scheduler.is_avoided(NodeId{0}));
    EXPECT_DOUBLE_EQ(*b.scheduler.concurrency_limit(NodeId{0}), 2);
    b.give(AttemptEnded{id, 0, Status::Reset, 5 * kSecond, true, 0, 0, {}});
    EXPECT_FALSE(b.scheduler.tracks(id));
    EXPECT_FALSE(b.scheduler.is_avoided(NodeId{0}));
}

// A node whose answers are quick has no full queue: what it turns away again and again says nothing of load.
TEST(Bound, AQuickNodesRefusalsSayNothingOfItsLoad) {
    Bench b(basic());
    for (int k = 0; k < 10; ++k)
        b.end(b.ask(0), Status::Ok, 30 * kMs);
    for (int k = 0; k < 10; ++k)
        b.end(b.ask(0), Status::Rejected, 1 * kMs);
    b.ask(0), b.ask(0);
    b.end(b.ask(0, 0, 1), Status::Ok, 30 * kMs, 0);
    EXPECT_DOUBLE_EQ(*b.scheduler.concurrency_limit(NodeId{0}), 2);
}

// Guards against reads of a new object that bear a shard from before it was placed: turned away there, they
// go where this host placed it.
TEST(Queue, AReadThatIsTurnedAwayGoesWhereItsObjectWasPlaced) {
    Bench b(basic());
    const RequestId write = b.ask(-1, 0, 1, DataKey{7});
    const NodeId placed = b.attempts.at(write).front();
    b.end(write);
    const int other = placed == NodeId{0} ? 1 : 0;
    for (const std::uint64_t key : {7u, 8u}) { // placed here; never seen
        const RequestId read = b.ask(other, 0, 1, DataKey{key});
        b.end(read, Status::Rejected, kMs);
        b.run(100 * kMs);
        const NodeId next = key == 7 ? placed : NodeId(other);
        EXPECT_EQ(b.attempts.at(read), (std::vector<NodeId>{NodeId(other), next}));
        b.end(read);
    }
}

// By hand out and back: the node is held for one that has just started, though its listed start is old.
TEST(Nodes, OnePutBackByHandIsCold) {
    Bench b(basic(), 1);
    b.run(5 * kSecond);
    for (const NodeState state : {NodeState::Draining, NodeState::Ready}) {
        NodeEntry entry = Bench::entry(0, state);
        entry.restored = state == NodeState::Ready;
        b.give(ListUpdate{ListUpdate::Kind::Changes, {entry}});
        EXPECT_EQ(b.scheduler.is_avoided(NodeId{0}), state == NodeState::Draining);
    }
    double units = 0;
    for (int k = 0; k < 40; ++k) {
        const RequestId id = b.ask(0);
        if (b.tries(id))
            b.end(id), units += 1;
    }
    EXPECT_GT(units, 0);
    EXPECT_LE(units, 12); // what a cold node bears in a window
}

// A start told while a node drains counts once it is ready.
TEST(Nodes, AStartToldInADrainIsNotForgotten) {
    Bench b(basic(), 1);
    b.run(5 * kSecond);
    const Micros start = b.now - kSecond;
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Draining, start)}});
    b.give(ListUpdate{ListUpdate::Kind::Changes, {Bench::entry(0, NodeState::Ready, start)}});
    EXPECT_TRUE(b.told("slow_start_began node=0"));
}

// What a limit allows goes out once over both processes, and a cold node gets its units from one of them.
TEST(Guards, LimitsAndColdNodesHoldOverAHandover) {
    Settings s = basic();
    s.plans = {{10, 5, 1, 1, 4, 8, 0}}; // 4 units a second, 8 at once
    s.classes[0].deadline = 60 * kSecond;
    Bench old(s, 1), fresh(s, 1);
    fresh.ask(0); // both fill their stores; the successor's counts for nothing before it takes over
    old.end(old.ask(0, 0, 0));
    old.run(10 * kSecond);
    const auto count = [](Bench &b, int n) {
        std::size_t sent = 0;
        for (int k = 0; k < n; ++k) {
            const RequestId id = b.ask(0);
            if (b.tries(id))
                b.end(id), ++sent;
        }
        return sent;
    };
    EXPECT_EQ(count(old, 3), 3u);
    Bench next(s, 1);
    next.now = old.now;
    const HandoverState handover = old.scheduler.handover_state();
    next.give(handover);
    old.give(DrainForSuccessor{});
    const std::size_t both = count(next, 20) + count(old, 20);
    EXPECT_GE(both, 4u);
    EXPECT_LE(both, 5u); // 8 at once, less the 3
    old.run(kSecond);
    EXPECT_EQ(count(old, 5), 0u);
    old.give(DrainForSuccessor{false}); // the successor has gone: nothing at once, but the limit's rate again
    EXPECT_EQ(count(old, 5), 0u);
    old.run(kSecond);
    EXPECT_GT(count(old, 5), 0u);
}

TEST(Interface, SettingsThatContradictThemselvesAreRejectedByName) {
    const auto rejects = [](const char *name, const std::function<void(Settings &)> &spoil) {
        Settings s = basic();
        spoil(s);
        try {
            Scheduler scheduler(s);
            ADD_FAILURE() << name << " was taken";
        } catch (const std::invalid_argument &error) {
            EXPECT_NE(std::string(error.what()).find(name), std::string::npos) << error.what();
        }
    };
    rejects("hosts", [](Settings &s) { s.hosts = 0; });
    rejects("position", [](Settings &s) { s.position = 3; });
    rejects("classes", [](Settings &s) { s.classes.clear(); });
    rejects("classes.aim", [](Settings &s) { s.classes[0].latency_objective = 0; });
    rejects("plans", [](Settings &s) { s.plans.clear(); });
    rejects("max_attempts", [](Settings &s) { s.max_attempts = 0; });
    rejects("cold_from", [](Settings &s) { s.slow_start_initial_fraction = 0; });
}

TEST(Interface, OddEventsAreIgnored) {
    Bench b(basic());
    b.give(AttemptEnded{RequestId{99}, 0, Status::Ok, 0, true, 0, 0, {}});
    b.give(ClientDisconnected{RequestId{99}});
    b.give(StreamStarted{RequestId{99}, 0});
    b.give(ProbeEnded{NodeId{99}, Status::Ok, 0, {}});
    b.give(PeerMessage{1, "hello"});
    b.give(TimerDue{77});
    const RequestId id = b.ask(0);
    b.give(AttemptEnded{id, 5, Status::Ok, 0, false, 0, 0, {}});
    EXPECT_TRUE(b.scheduler.tracks(id));
    b.give(ClientDisconnected{id});
    b.end(id);
    EXPECT_FALSE(b.scheduler.tracks(id));
    EXPECT_TRUE(b.refused.empty() && b.failed.empty());
}

TEST(Interface, AnUnknownClassIsRejectedAndChangesNothing) {
    Bench b(basic());
    RequestArrived in;
    in.id = RequestId{500};
    in.cls = 9;
    std::vector<Action> actions;
    EXPECT_THROW(b.scheduler.handle(b.now, in, actions), std::invalid_argument);
    EXPECT_EQ(b.scheduler.held().requests, 0u);
}

TEST(Interface, MemoryIsBoundedOverALongStretch) {
    Bench b(basic());
    for (int k = 0; k < 20'000; ++k) {
        b.volume = static_cast<std::uint64_t>(k);
        const RequestId id = b.ask(k % 2, k % 2, 1, DataKey(static_cast<std::uint64_t>(k)));
        b.run(10 * kMs);
        if (b.tries(id))
            b.end(id);
    }
    b.run(3 * kSecond);
    const auto held = b.scheduler.held();
    EXPECT_EQ(held.requests, 0u);
    EXPECT_EQ(held.keys, 0u);
    EXPECT_LE(held.nodes, 2u);
    EXPECT_LE(held.volumes, 7'000u); // of 20,000 seen
}

// A request that is withdrawn has its final answer at once: refused where that is true of it, else failed,
// and what is out of it is given up.
TEST(Policy, AnswersAWithdrawnRequestAtOnceByItsClass) {
    Settings s = basic();
    s.cancel = true;
    Bench b(s, 1);
    const RequestId waits = b.ask(5); // no node has the shard
    b.give(AnswerNow{waits});
    EXPECT_TRUE(Bench::has(b.refused, waits) && b.tries(waits) == 0);
    const RequestId read = b.ask(0, 0), write = b.ask(0, 1);
    ASSERT_TRUE(b.tries(read) == 1 && b.tries(write) == 1);
    b.give(AnswerNow{read});
    b.give(AnswerNow{write}); // it may have run, and may not run twice
    EXPECT_TRUE(Bench::has(b.refused, read) && Bench::has(b.failed, write));
    EXPECT_TRUE(Bench::has(b.cancelled, read) && Bench::has(b.cancelled, write));
    const std::size_t answers = b.refused.size() + b.failed.size();
    b.give(AnswerNow{read});
    b.give(AnswerNow{RequestId{99}});
    b.end(write, Status::Cancelled);
    b.run(5 * kSecond);
    EXPECT_EQ(b.refused.size() + b.failed.size(), answers); // once each
    EXPECT_FALSE(b.scheduler.tracks(write));
}

// A value that is being passed on goes on.
TEST(Policy, DoesNotWithdrawARequestWhoseValueIsPassedOn) {
    Bench b(basic(), 1);
    const RequestId read = b.ask(0);
    ASSERT_EQ(b.tries(read), 1u);
    b.give(StreamStarted{read, 0});
    b.give(AnswerNow{read});
    EXPECT_FALSE(Bench::has(b.refused, read) || Bench::has(b.failed, read) || Bench::has(b.cancelled, read));
    b.end(read);
    EXPECT_FALSE(b.scheduler.tracks(read));
}

} // namespace
