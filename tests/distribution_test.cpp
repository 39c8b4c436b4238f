// What distributors decide: the log of changes, who gets what when, and whom a broker asks; each against a
// plain model, and all together in random schedules with loss, delay, pauses and restarts.
#include "config/operations.hpp"
#include "core/endpoint_list.hpp"
#include "distribution/delivery.hpp"
#include "distribution/distributor_selector.hpp"
#include "distribution/report_book.hpp"
#include "list_distribution/list_call.hpp"

#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <random>

using namespace marblewood;
using namespace marblewood::distribution;

namespace {

class Random {
public:
    explicit Random(std::uint64_t seed) : engine_(seed) {}
    std::uint64_t part(std::uint64_t most) { return engine_() % (most + 1); } // 0 to `most`
    bool chance(double p) { return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < p; }

private:
    std::mt19937_64 engine_;
};

// A member's text names it and the version of it, so that an older state can be told.
using List = std::map<std::string, std::pair<std::string, Phase>>; // by id, members that are not removed

std::string id_of(std::string_view text) {
    return std::string(text.substr(0, text.find(':')));
}

// What discovery holds: every member that ever was, and when it changed last.
class Source {
public:
    explicit Source(int members) {
        for (int n = 0; n < members; ++n)
            change("s-" + std::to_string(n), Phase::Up);
    }
    void change(const std::string &id, Phase phase) {
        ++revision_;
        put(id, phase);
    }
    void change_at_random(Random &random, int members) {
        ++revision_;
        for (std::uint64_t n = 0; n <= random.part(2); ++n) {
            const auto kind = random.part(5);
            put("s-" + std::to_string(random.part(static_cast<std::uint64_t>(members - 1))),
                kind == 0   ? Phase::Removed
                : kind == 1 ? Phase::Draining
                            : Phase::Up);
        }
    }
    Update whole() const {
        Update update{revision_, true, {}};
        for (const auto &[id, row] : rows_)
            if (row.phase != Phase::Removed)
                update.members.push_back({id, row.text, row.phase, 0});
        return update;
    }
    Update since(Revision revision) const {
        Update update{revision_, false, {}};
        for (const auto &[id, row] : rows_)
            if (row.changed > revision)
                update.members.push_back({id, row.text, row.phase, 0});
        return update;
    }
    Revision revision() const { return revision_; }
    List list() const {
        List list;
        for (const auto &[id, row] : rows_)
            if (row.phase != Phase::Removed)
                list[id] = {row.text, row.phase};
        return list;
    }

private:
    struct Row {
        std::string text;
        Phase phase = Phase::Up;
        Revision changed = 0;
    };
    void put(const std::string &id, Phase phase) {
        rows_[id] = {id + ":" + std::to_string(revision_), phase, revision_};
    }
    std::map<std::string, Row> rows_;
    Revision revision_ = 0;
};

// What one who is answered makes of it, as a broker does.
void apply(List &list, bool complete, const std::vector<std::pair<std::string, Phase>> &entries) {
    if (complete)
        list.clear();
    for (const auto &[text, phase] : entries)
        if (phase == Phase::Removed)
            list.erase(id_of(text));
        else
            list[id_of(text)] = {text, phase};
}
std::vector<std::pair<std::string, Phase>> copy(const Delta &delta) {
    std::vector<std::pair<std::string, Phase>> entries;
    for (const Delta::Entry &entry : delta.entries)
        entries.emplace_back(entry.text, entry.phase);
    return entries;
}

TEST(ChangeLog, WhoIsBehindCatchesUpWhateverFitsIntoAnAnswer) {
    for (std::uint64_t seed = 0; seed < 2'000; ++seed) {
        SCOPED_TRACE(seed);
        Random random(seed);
        Source source(10);
        ChangeLog log(random.part(6));
        ASSERT_EQ(log.take(source.whole()), Taken::Yes);
        List held = source.list();
        Revision revision = log.revision(), urgent_told = 0;
        for (int n = 0; n < 40; ++n) {
            const Revision before = source.revision();
            for (std::uint64_t more = random.part(4); more > 0; --more)
                source.change_at_random(random, 14);
            ASSERT_EQ(log.take(random.chance(0.2) ? source.whole() : source.since(before)), Taken::Yes);
            if (!random.chance(0.4))
                continue;
            const bool reaches = log.reaches(revision);
            const Delta delta =
                reaches ? log.changes(revision, random.part(200), random.chance(0.5) ? urgent_told : 0)
                        : log.whole();
            const bool behind = reaches && log.revision() > revision;
            ASSERT_GE(delta.revision, behind ? revision + 1 : revision);
            urgent_told = log.revision();
            revision = delta.revision;
            apply(held, delta.complete, copy(delta));
        }
        const Delta rest = log.reaches(revision) ? log.changes(revision, 1'000'000, 0) : log.whole();
        apply(held, rest.complete, copy(rest));
        ASSERT_EQ(held, source.list());
        ASSERT_EQ(rest.revision, source.revision());
    }
}

TEST(ChangeLog, TakesNothingOlderAndNoChangesToAListItDoesNotHave) {
    Source source(3);
    ChangeLog log(10);
    EXPECT_EQ(log.take(source.since(0)), Taken::Older);
    EXPECT_TRUE(log.empty());
    const Update first = source.whole();
    EXPECT_EQ(log.take(first), Taken::Yes);
    source.change("s-1", Phase::Draining);
    EXPECT_EQ(log.take(source.since(first.revision)), Taken::Yes);
    EXPECT_EQ(log.take(first), Taken::Older);
    EXPECT_EQ(log.revision(), source.revision());
    EXPECT_TRUE(log.urgent_after(first.revision));
    EXPECT_FALSE(log.urgent_after(source.revision()));
}

TEST(ChangeLog, TellsUrgentChangesFromOthers) {
    ChangeLog log(10);
    log.take({1, true, {{"a", "a:1", Phase::Up, 1}, {"b", "b:1", Phase::Up, 2}}});
    const auto urgent_after = [&](Update update) {
        const Revision before = log.revision();
        EXPECT_EQ(log.take(update), Taken::Yes);
        return log.urgent_after(before);
    };
    EXPECT_FALSE(urgent_after({2, false, {{"a", "a:2", Phase::Up, 1}}})); // it has started anew
    EXPECT_TRUE(urgent_after({3, false, {{"a", "a:3", Phase::Up, 2}}}));  // it holds another shard
    EXPECT_TRUE(urgent_after({4, false, {{"b", "b:4", Phase::Draining, 2}}}));
    EXPECT_TRUE(urgent_after({5, false, {{"b", "b:5", Phase::Removed, 2}}}));
    EXPECT_FALSE(urgent_after({6, false, {{"b", "b:6", Phase::Up, 9}}})); // it is new again
    EXPECT_FALSE(urgent_after({7, false, {{"c", "c:7", Phase::Up, 3}}}));
    EXPECT_TRUE(urgent_after({8, true, {{"a", "a:3", Phase::Up, 2}, {"c", "c:7", Phase::Up, 3}}})); // b went
}

TEST(ChangeLog, RemembersOnlySoManyRemovals) {
    Source source(50);
    ChangeLog log(5);
    log.take(source.whole());
    const Revision first = log.revision();
    for (int n = 0; n < 20; ++n) {
        const Revision before = source.revision();
        source.change("s-" + std::to_string(n), Phase::Removed);
        log.take(source.since(before));
        EXPECT_EQ(log.reaches(first), n < 5);
        EXPECT_TRUE(log.reaches(log.oldest()));
    }
    EXPECT_EQ(log.size(), 30u);
    EXPECT_EQ(log.whole().entries.size(), 30u);
}

TEST(TokenBucket, StaysWithinItsRateAndOneSend) {
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        Random random(seed);
        const ByteBudget budget{100, 1'000};
        TokenBucket bucket(budget, 0);
        std::deque<std::pair<Micros, double>> sent;
        for (Micros now = 0; now < 60'000'000; now += 1 + static_cast<Micros>(random.part(500'000))) {
            if (!bucket.ready(now)) {
                ASSERT_GT(bucket.ready_at(now), now);
                continue;
            }
            ASSERT_EQ(bucket.ready_at(now), now);
            sent.emplace_back(now, 1 + static_cast<double>(random.part(400)));
            bucket.spend(now, sent.back().second);
        }
        for (std::size_t first = 0; first < sent.size(); ++first) {
            double sum = 0;
            for (std::size_t last = first; last < sent.size(); ++last) {
                sum += sent[last].second;
                const double seconds = static_cast<double>(sent[last].first - sent[first].first) / 1e6;
                ASSERT_LE(sum, budget.burst + budget.rate * seconds + sent[last].second + 1e-6);
            }
        }
    }
}

constexpr DeliveryLimits kTight{{100, 300}, {1'000, 2'000}};

// Many callers of one distributor that ask again at once, and some that are slow to read.
TEST(Delivery, KeepsItsBudgetsAndAnswersEachCallOnceInTime) {
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        SCOPED_TRACE(seed);
        Random random(seed);
        Source source(20);
        ChangeLog log(5);
        log.take(source.whole());
        Delivery delivery(log, kTight, 0);
        struct Caller {
            CallerId id;
            Revision since;
            Micros until;
            List list;
        };
        std::vector<Caller> callers;
        for (int n = 0; n < 8; ++n) {
            callers.push_back({delivery.connect(0), static_cast<Revision>(random.part(20)), 0, {}});
            callers.back().until = static_cast<Micros>(random.part(3'000'000));
            delivery.ask(callers.back().id, callers.back().since, callers.back().until);
        }
        CallerId whole_to = 0; // 0: nobody
        Micros whole_until = 0;
        for (Micros now = 0; now < 20'000'000; now += 50'000) {
            const Revision before = source.revision();
            if (now < 15'000'000 && random.chance(0.1))
                source.change_at_random(random, 24);
            if (source.revision() > before) {
                log.take(source.since(before));
                delivery.published();
            }
            if (whole_to != 0 && now >= whole_until)
                delivery.whole_written(std::exchange(whole_to, 0));
            for (const Answer &answer : delivery.due(now)) {
                const auto at = std::find_if(callers.begin(), callers.end(),
                                             [&](const Caller &c) { return c.id == answer.caller; });
                ASSERT_NE(at, callers.end());
                if (answer.kind == Answer::Kind::Whole) {
                    ASSERT_FALSE(log.reaches(at->since));
                    ASSERT_EQ(whole_to, 0u) << "one whole list at a time";
                    whole_to = answer.caller;
                    whole_until = now + 300'000;
                }
                ASSERT_GE(answer.delta.revision, at->since);
                at->since = answer.delta.revision;
                apply(at->list, answer.delta.complete, copy(answer.delta));
                at->until = now + 100'000 + static_cast<Micros>(random.part(3'000'000));
                delivery.ask(at->id, at->since, at->until);
            }
            for (const Caller &caller : callers)
                ASSERT_GT(caller.until, now);
            // Urgent changes are out whatever the budgets say.
            for (const Caller &caller : callers) {
                if (!log.reaches(caller.since))
                    continue;
                for (const auto &entry : log.urgent_changes(caller.since, 0).entries)
                    ASSERT_NE(caller.list.contains(id_of(entry.text)), entry.phase == Phase::Removed);
            }
        }
        EXPECT_GT(delivery.figures().calls, 8u);
    }
}

TEST(Delivery, PutsOffWhatIsNotUrgentUntilTheCallersBudgetIsReady) {
    Source source(0);
    ChangeLog log(5);
    log.take(source.whole());
    Delivery delivery(log, kTight, 0);
    const CallerId id = delivery.connect(0);
    Revision since = log.revision();
    std::size_t bytes = 0;
    for (Micros now = 0; now < 30'000'000; now += 100'000) {
        const Revision before = source.revision();
        source.change("s-" + std::to_string(now), Phase::Up);
        log.take(source.since(before));
        delivery.ask(id, since, now + 100'000);
        for (const Answer &answer : delivery.due(now)) {
            bytes += answer.delta.bytes;
            since = answer.delta.revision;
        }
        const double allowed = kTight.caller.burst + kTight.caller.rate * static_cast<double>(now) / 1e6;
        ASSERT_LE(static_cast<double>(bytes), allowed + kTight.caller.burst) << now;
    }
    EXPECT_GT(delivery.figures().put_off, 0u);
    EXPECT_GT(static_cast<double>(bytes), kTight.caller.rate * 29);
}

TEST(Delivery, TellsACallerThatKnowsMoreToAskElsewhereWhenItsTimeIsUp) {
    Source source(2);
    ChangeLog log(5);
    Delivery delivery(log, kTight, 0);
    const CallerId id = delivery.connect(0);
    delivery.ask(id, 1, 1'000);
    EXPECT_TRUE(delivery.due(999).empty()) << "an empty log may be filled meanwhile";
    ASSERT_EQ(delivery.due(1'000).size(), 1u);
    log.take(source.whole());
    delivery.ask(id, source.revision() + 1, 2'000);
    EXPECT_TRUE(delivery.due(1'500).empty());
    const auto answers = delivery.due(2'000);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].kind, Answer::Kind::Behind);
    delivery.ask(id, source.revision() + 1, 9'000);
    const Revision before = source.revision();
    source.change("s-0", Phase::Draining);
    source.change("s-1", Phase::Draining);
    log.take(source.since(before));
    delivery.published();
    EXPECT_EQ(delivery.due(3'000).size(), 1u) << "it has caught up";
}

TEST(ReportBook, AddsUpOverLevelsAndNamesWhoLacksTheNewestLongestFirst) {
    ReportBook top, below;
    top.published(3, 0);
    below.published(3, 1'000);
    for (int n = 0; n < 20; ++n)
        below.report(fmt::format("n{}", n), n < 15 ? 3 : 2, 2'000);
    top.report("a", 3, 2'000);
    top.report("b", 2, 2'000);
    top.report("d1", below.subtree(5'000), 5'000);
    const ReportSummary all = top.summary(6'000);
    EXPECT_EQ(all.brokers, 22u);
    EXPECT_EQ(all.current, 16u);
    ASSERT_EQ(all.lacking.size(), 6u);
    EXPECT_EQ(all.lacking.front().broker, "b"); // since the version was published at the top
    EXPECT_EQ(all.lacking.front().for_us, 6'000);
    EXPECT_EQ(all.lacking.back().for_us, 4'000);
    for (int n = 15; n < 20; ++n)
        below.report(fmt::format("n{}", n), 3, 7'000);
    top.report("d1", below.subtree(7'000), 7'000);
    top.report("b", 3, 7'000);
    EXPECT_EQ(top.summary(7'000).current, 22u);
    EXPECT_TRUE(top.summary(7'000).lacking.empty());
    top.published(4, 8'000);
    EXPECT_EQ(top.summary(8'000).current, 0u);
}

TEST(ReportBook, LeavesOutWhoHasNotReportedAndNamesNoMoreThanItsBound) {
    ReportBook book;
    book.published(2, 0);
    for (int n = 0; n < 100; ++n)
        book.report(fmt::format("n{}", n), 1, n < 50 ? 0 : 1'000'000);
    EXPECT_EQ(book.summary(ReportBook::kKept).brokers, 100u);
    EXPECT_EQ(book.summary(ReportBook::kKept).lacking.size(), ReportBook::kMostNamed);
    EXPECT_EQ(book.summary(ReportBook::kKept + 1).brokers, 50u);
    EXPECT_EQ(book.summary(ReportBook::kKept + 1'000'001).brokers, 0u);
    book.published(1, 5); // older: the newest stays
    book.report("n0", 2, ReportBook::kKept);
    EXPECT_EQ(book.summary(ReportBook::kKept).current, 1u);
}

TEST(ReportBook, KeepsNoMoreThanItsBoundAndMakesRoomOfWhatIsOld) {
    ReportBook book;
    const auto report = [&](std::size_t from, std::size_t until, Micros now) {
        for (std::size_t n = from; n < until; ++n)
            book.report(fmt::format("n{}", n), 1, now);
    };
    report(0, ReportBook::kMostReporters + 10, 0);
    EXPECT_EQ(book.summary(0).brokers, ReportBook::kMostReporters);
    book.report("n0", 2, 1); // known already
    EXPECT_EQ(book.subtree(1).brokers.at(2), 1u);
    report(ReportBook::kMostReporters, ReportBook::kMostReporters + 10, ReportBook::kKept + 1);
    EXPECT_EQ(book.summary(ReportBook::kKept + 1).brokers, 11u); // and n0
}

// What is out by hand and what is out on all brokers are two things: the end of one is not the other's.
TEST(EndpointList, KeepsNodesOutAsLongAsOneOfTheTwoSaysSo) {
    core::EndpointList endpoints;
    const NodeId a{1}, b{2}, c{3};
    endpoints.apply({ListUpdate::Kind::Full, {{.node = a}, {.node = b}}});
    EXPECT_EQ(endpoints.set_fleet_cordons({a, b, c}).entries.size(), 2u); // c is not listed
    EXPECT_TRUE(endpoints.is_cordoned(c));
    endpoints.cordon(a);
    const ListUpdate fewer = endpoints.set_fleet_cordons({b});
    ASSERT_EQ(fewer.entries.size(), 1u); // a stays out by hand
    EXPECT_EQ(fewer.entries[0].state, NodeState::Draining);
    EXPECT_FALSE(fewer.entries[0].restored);
    EXPECT_TRUE(endpoints.is_cordoned(a) && endpoints.is_cordoned(b) && !endpoints.is_cordoned(c));
    const ListUpdate by_hand = endpoints.uncordon(a);
    ASSERT_EQ(by_hand.entries.size(), 1u);
    EXPECT_EQ(by_hand.entries[0].state, NodeState::Ready);
    EXPECT_TRUE(by_hand.entries[0].restored);
    endpoints.cordon(b);
    EXPECT_FALSE(endpoints.uncordon(b).entries[0].restored); // it is still out on all brokers
    EXPECT_TRUE(endpoints.set_fleet_cordons({}).entries[0].restored);
    EXPECT_TRUE(endpoints.set_fleet_cordons({}).entries.empty());
}

TEST(Operations, AreReadWholeOrNotAtAll) {
    const auto read = [](const char *text) {
        return config::read_operations(config::parse(std::string(text)));
    };
    EXPECT_EQ(read(R"({"cordons":["a","b"]})").cordons.size(), 2u);
    const auto why = [&](const char *text) -> std::string {
        try {
            read(text);
        } catch (const config::Error &error) {
            return error.what();
        }
        return "";
    };
    EXPECT_NE(why(R"({})").find("cordons"), std::string::npos);
    EXPECT_NE(why(R"({"cordons":"a"})").find("cordons"), std::string::npos);
    EXPECT_NE(why(R"({"cordons":["a",7]})").find("cordons[1]"), std::string::npos);
    EXPECT_NE(why(R"({"cordons":[],"speed":1})").find("speed"), std::string::npos);
}

TEST(ListCodec, ReadsTheCallsThatItSpellsAndRefusesOthers) {
    namespace lists = list_distribution;
    SubtreeReport subtree{{{3, 100}, {4, 7}}, {{"n7", 5'000'000}}};
    const lists::Report report{"d 1", std::nullopt, subtree};
    const auto call =
        lists::parse_call("/v1/documents?since=4&timeout_ms=90000&" + lists::encode_query(report));
    ASSERT_TRUE(call);
    EXPECT_EQ(call->channel, lists::Channel::Documents);
    EXPECT_EQ(call->since, 4);
    EXPECT_EQ(call->wait, lists::kMaxPollTime);
    EXPECT_EQ(call->report.caller, "d_1");
    ASSERT_TRUE(call->report.subtree);
    EXPECT_EQ(call->report.subtree->brokers, subtree.brokers);
    ASSERT_EQ(call->report.subtree->lacking.size(), 1u);
    EXPECT_EQ(call->report.subtree->lacking[0].for_us, 5'000'000);
    EXPECT_FALSE(lists::parse_call("/v1/other?since=1"));
    for (const char *const wrong : {"since=", "since=-1", "since=1x", "timeout_ms=9e9", "below=3", "below=:1",
                                    "below=x:1", "lacking=n1:", "applied=one"})
        EXPECT_THROW(lists::parse_call(std::string("/v1/documents?") + wrong), std::runtime_error) << wrong;
}

std::vector<Distributor> distributors(int count, int regions) {
    std::vector<Distributor> all;
    for (int n = 0; n < count; ++n)
        all.push_back({fmt::format("d{}", n),
                       fmt::format("127.0.0.1:{}", 7000 + n),
                       {fmt::format("z{}", n), fmt::format("r{}", n % regions)}});
    return all;
}

TEST(DistributorSelector, SpreadsBrokersAndThoseOfALostOneEvenly) {
    constexpr int kBrokers = 1'400, kDistributors = 9;
    std::map<std::string, int> first, second;
    for (int n = 0; n < kBrokers; ++n) {
        DistributorSelector selector(distributors(kDistributors, 1), fmt::format("n{}", n), {"", "r0"}, 1);
        ++first[selector.current().name];
        if (selector.current().name != "d4")
            continue;
        selector.failed(0);
        ++second[selector.current().name];
    }
    ASSERT_EQ(first.size(), 9u);
    for (const auto &[name, count] : first) {
        EXPECT_GT(count, kBrokers / kDistributors * 7 / 10) << name;
        EXPECT_LT(count, kBrokers / kDistributors * 13 / 10) << name;
    }
    ASSERT_EQ(second.size(), 8u);
    for (const auto &[name, count] : second)
        EXPECT_LT(count, 2.2 * first["d4"] / 8) << name;
}

TEST(DistributorSelector, PrefersItsZoneThenItsRegionAndComesBackLater) {
    const Locality here{"z5", "r1"};
    DistributorSelector selector(distributors(8, 4), "n1", here, 7);
    EXPECT_EQ(selector.current().name, "d5");
    selector.failed(1'000'000);
    EXPECT_EQ(selector.current().name, "d1"); // the other one of the region
    selector.failed(1'000'000);
    EXPECT_NE(selector.current().locality.region, "r1");
    EXPECT_FALSE(selector.reconsider(1'000'000 + DistributorSelector::kLeastAvoided - 1));
    EXPECT_TRUE(selector.reconsider(1'000'000 + 2 * DistributorSelector::kLeastAvoided));
    EXPECT_EQ(selector.current().name, "d5");
    selector.answered();
    EXPECT_FALSE(selector.reconsider(1'000'000 + 3 * DistributorSelector::kLeastAvoided));
}

TEST(DistributorSelector, AsksTheOnlyOneAgainAndOfAllThatFailedTheOneThatWaitedLongest) {
    DistributorSelector only(distributors(1, 1), "n1", {"", ""}, 7);
    only.failed(0);
    EXPECT_EQ(only.current().name, "d0");
    DistributorSelector three(distributors(3, 1), "n1", {"", "r0"}, 7);
    std::set<std::string> asked;
    for (int n = 0; n < 3; ++n) {
        asked.insert(three.current().name);
        three.failed(n);
    }
    EXPECT_EQ(asked.size(), 3u);
}

// All together: a source, distributors that watch it and brokers that watch those, in steps of 100 ms. Calls
// and answers are lost or late, distributors pause, start anew and are cut off from the source.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed) : random_(seed), source_(kMembers) {
        loss_ = static_cast<double>(random_.part(3)) * 0.1;
        for (int n = 0; n < kDistributors; ++n)
            distributors_.push_back(std::make_unique<Replica>());
        for (int n = 0; n < kBrokers; ++n)
            brokers_.push_back({{},
                                source_.revision(),
                                source_.list(),
                                DistributorSelector(distributors(kDistributors, 1), fmt::format("n{}", n),
                                                    {"", "r0"}, seed + static_cast<std::uint64_t>(n))});
    }

    void run() {
        for (int step = 0; step < kFaulty; ++step) {
            fault();
            if (random_.chance(0.15))
                source_.change_at_random(random_, kMembers + 3);
            this->step();
            if (testing::Test::HasFatalFailure())
                return;
        }
        loss_ = 0;
        for (const auto &replica : distributors_)
            replica->paused_until = replica->cut_until = now_;
        for (int step = 0; step < kQuiet; ++step) {
            this->step();
            if (testing::Test::HasFatalFailure())
                return;
        }
        for (const Broker &broker : brokers_) {
            ASSERT_EQ(broker.revision, source_.revision());
            ASSERT_EQ(broker.list, source_.list());
        }
    }
    std::uint64_t wholes() const { return wholes_; }
    std::uint64_t behind() const { return behind_; }

private:
    static constexpr int kMembers = 8, kDistributors = 3, kBrokers = 5;
    static constexpr int kFaulty = 150, kQuiet = 120; // steps
    static constexpr Micros kStep = 100'000, kWait = 600'000, kPatience = 1'100'000;

    struct Replica { // a distributor
        ChangeLog log{4};
        Delivery delivery{log, kTight, 0};
        Micros paused_until = 0, cut_until = 0;
        Micros answer_at = 0; // of its call to the source
        std::optional<Update> answer;
        std::map<CallerId, std::pair<std::size_t, std::uint64_t>> callers; // broker, number of its call
    };
    struct Message { // on its way to a broker
        Micros at = 0;
        std::uint64_t call = 0;
        Answer::Kind kind = Answer::Kind::Nothing;
        Revision revision = 0;
        bool complete = false;
        std::vector<std::pair<std::string, Phase>> entries;
    };
    struct Broker {
        std::deque<Message> coming;
        Revision revision;
        List list;
        DistributorSelector selector;
        std::uint64_t call = 0; // the number of the one that is open; 0: none
        Micros give_up = 0, next_call = 0;
        std::size_t asked = 0;
        CallerId id = 0;
    };

    void fault() {
        Replica &replica = *distributors_[random_.part(kDistributors - 1)];
        if (random_.chance(0.01))
            replica.paused_until = now_ + static_cast<Micros>(random_.part(5'000'000));
        if (random_.chance(0.01))
            replica.cut_until = now_ + static_cast<Micros>(random_.part(6'000'000));
        if (random_.chance(0.01)) {
            auto &place = distributors_[random_.part(kDistributors - 1)];
            place = std::make_unique<Replica>(); // starts empty; its callers' connections are reset
            for (Broker &broker : brokers_)
                if (broker.call && distributors_[broker.asked] == place)
                    fail(broker, false);
        }
    }

    void step() {
        now_ += kStep;
        for (const auto &replica : distributors_)
            if (now_ >= replica->paused_until)
                serve(*replica);
        for (std::size_t n = 0; n < brokers_.size(); ++n)
            live(n);
    }

    void serve(Replica &replica) {
        if (replica.answer && now_ >= replica.answer_at) {
            const Revision before = replica.log.revision();
            const Taken taken = replica.log.take(*replica.answer);
            ASSERT_GE(replica.log.revision(), before);
            if (taken == Taken::Yes)
                replica.delivery.published();
            replica.answer.reset();
        }
        if (!replica.answer && now_ >= replica.cut_until && !random_.chance(loss_)) {
            replica.answer = replica.log.empty() ? source_.whole() : source_.since(replica.log.revision());
            replica.answer_at = now_ + static_cast<Micros>(random_.part(3)) * kStep;
        }
        for (const Answer &answer : replica.delivery.due(now_)) {
            const auto [broker, call] = replica.callers.at(answer.caller);
            if (answer.kind == Answer::Kind::Whole) {
                ++wholes_;
                ASSERT_FALSE(replica.log.reaches(brokers_[broker].revision));
                replica.delivery.whole_written(answer.caller);
            }
            if (random_.chance(loss_))
                continue;
            brokers_[broker].coming.push_back({now_ + static_cast<Micros>(random_.part(3)) * kStep, call,
                                               answer.kind, answer.delta.revision, answer.delta.complete,
                                               copy(answer.delta)});
        }
    }

    void live(std::size_t number) {
        Broker &broker = brokers_[number];
        for (Message &message : std::exchange(broker.coming, {})) {
            if (message.at > now_)
                broker.coming.push_back(std::move(message));
            else if (message.call == broker.call && broker.call) // else a call that was given up
                hear(broker, message);
        }
        if (broker.call && now_ >= broker.give_up)
            fail(broker, true);
        if (!broker.call && now_ >= broker.next_call)
            ask(number);
    }

    void hear(Broker &broker, const Message &message) {
        if (message.kind == Answer::Kind::Behind || message.revision < broker.revision) {
            ++behind_;
            return fail(broker, true);
        }
        ASSERT_GE(message.revision, broker.revision);
        broker.revision = message.revision;
        apply(broker.list, message.complete, message.entries);
        broker.selector.answered();
        end_call(broker);
        broker.next_call = now_;
    }

    void ask(std::size_t number) {
        Broker &broker = brokers_[number];
        broker.selector.reconsider(now_);
        broker.asked = static_cast<std::size_t>(broker.selector.current().name[1] - '0');
        broker.call = ++last_call_;
        broker.give_up = now_ + kWait + kPatience;
        if (random_.chance(loss_))
            return; // the call is lost
        Replica &replica = *distributors_[broker.asked];
        if (now_ < replica.paused_until)
            return;
        broker.id = replica.delivery.connect(now_);
        replica.callers[broker.id] = {number, broker.call};
        replica.delivery.ask(broker.id, broker.revision, now_ + kWait);
    }

    void end_call(Broker &broker) {
        Replica &replica = *distributors_[broker.asked];
        const auto at = replica.callers.find(broker.id);
        if (at != replica.callers.end() && at->second.second == broker.call) {
            replica.delivery.disconnect(broker.id);
            replica.callers.erase(at);
        }
        broker.call = 0;
    }

    void fail(Broker &broker, bool disconnects) {
        if (disconnects)
            end_call(broker);
        else
            broker.call = 0;
        broker.selector.failed(now_);
        broker.next_call = now_ + kStep * static_cast<Micros>(1 + random_.part(2));
    }

    Random random_;
    Source source_;
    Micros now_ = 0;
    double loss_ = 0;
    std::vector<std::unique_ptr<Replica>> distributors_;
    std::vector<Broker> brokers_;
    std::uint64_t last_call_ = 0, wholes_ = 0, behind_ = 0;
};

TEST(Distribution, NoRevisionGoesBackAndAllHoldTheListInRandomSchedules) {
    std::uint64_t wholes = 0, behind = 0;
    for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
        SCOPED_TRACE(seed);
        Fleet fleet(seed);
        fleet.run();
        if (HasFatalFailure())
            return;
        wholes += fleet.wholes(), behind += fleet.behind();
    }
    // The schedules meet what they are meant to meet.
    EXPECT_GT(wholes, 1'000u);
    EXPECT_GT(behind, 1'000u);
}

} // namespace
