/// \file
/// The decisions of distributors and of the brokers that call them: the change log, the delivery of answers,
/// the reports, and the selection of a distributor. Each is tested on its own, and the change log, the
/// delivery and the selection together in random schedules with loss, delay, pauses and restarts.
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
    std::uint64_t pick(std::uint64_t max) { return engine_() % (max + 1); } // 0 to `max`
    bool chance(double p) { return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < p; }

private:
    std::mt19937_64 engine_;
};

/// The members that are not removed, by id. A member's text is its id and the revision of its last change, so
/// that an outdated state can be recognized.
using List = std::map<std::string, std::pair<std::string, Phase>>;

std::string id_of(std::string_view text) {
    return std::string(text.substr(0, text.find(':')));
}

/// A model of discovery: all members, removed ones too, and the revision in which each last changed.
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
        for (std::uint64_t n = 0; n <= random.pick(2); ++n) {
            const auto kind = random.pick(5);
            put("s-" + std::to_string(random.pick(static_cast<std::uint64_t>(members - 1))),
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

/// Applies an answer to a list, as a broker does.
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
        ChangeLog log(random.pick(6));
        ASSERT_EQ(log.apply(source.whole()), UpdateResult::Applied);
        List held = source.list();
        Revision revision = log.revision(), urgent_sent_revision = 0;
        for (int n = 0; n < 40; ++n) {
            const Revision before = source.revision();
            for (std::uint64_t more = random.pick(4); more > 0; --more)
                source.change_at_random(random, 14);
            ASSERT_EQ(log.apply(random.chance(0.2) ? source.whole() : source.since(before)),
                      UpdateResult::Applied);
            if (!random.chance(0.4))
                continue;
            const bool covered = log.covers(revision);
            const Delta delta = covered ? log.changes(revision, random.pick(200),
                                                      random.chance(0.5) ? urgent_sent_revision : 0)
                                        : log.complete_list();
            const bool behind = covered && log.revision() > revision;
            ASSERT_GE(delta.revision, behind ? revision + 1 : revision);
            urgent_sent_revision = log.revision();
            revision = delta.revision;
            apply(held, delta.complete, copy(delta));
        }
        const Delta rest = log.covers(revision) ? log.changes(revision, 1'000'000, 0) : log.complete_list();
        apply(held, rest.complete, copy(rest));
        ASSERT_EQ(held, source.list());
        ASSERT_EQ(rest.revision, source.revision());
    }
}

TEST(ChangeLog, TakesNothingOlderAndNoChangesToAListItDoesNotHave) {
    Source source(3);
    ChangeLog log(10);
    EXPECT_EQ(log.apply(source.since(0)), UpdateResult::Stale);
    EXPECT_TRUE(log.empty());
    const Update first = source.whole();
    EXPECT_EQ(log.apply(first), UpdateResult::Applied);
    source.change("s-1", Phase::Draining);
    EXPECT_EQ(log.apply(source.since(first.revision)), UpdateResult::Applied);
    EXPECT_EQ(log.apply(first), UpdateResult::Stale);
    EXPECT_EQ(log.revision(), source.revision());
    EXPECT_TRUE(log.has_urgent_after(first.revision));
    EXPECT_FALSE(log.has_urgent_after(source.revision()));
}

TEST(ChangeLog, TellsUrgentChangesFromOthers) {
    ChangeLog log(10);
    log.apply({1, true, {{"a", "a:1", Phase::Up, 1}, {"b", "b:1", Phase::Up, 2}}});
    const auto urgent_after = [&](Update update) {
        const Revision before = log.revision();
        EXPECT_EQ(log.apply(update), UpdateResult::Applied);
        return log.has_urgent_after(before);
    };
    EXPECT_FALSE(urgent_after({2, false, {{"a", "a:2", Phase::Up, 1}}})); // it has restarted
    EXPECT_TRUE(urgent_after({3, false, {{"a", "a:3", Phase::Up, 2}}}));  // it has moved to another shard
    EXPECT_TRUE(urgent_after({4, false, {{"b", "b:4", Phase::Draining, 2}}}));
    EXPECT_TRUE(urgent_after({5, false, {{"b", "b:5", Phase::Removed, 2}}}));
    // A removed member that is listed again counts as a new one.
    EXPECT_FALSE(urgent_after({6, false, {{"b", "b:6", Phase::Up, 9}}}));
    EXPECT_FALSE(urgent_after({7, false, {{"c", "c:7", Phase::Up, 3}}}));
    // A complete list without b removes b.
    EXPECT_TRUE(urgent_after({8, true, {{"a", "a:3", Phase::Up, 2}, {"c", "c:7", Phase::Up, 3}}}));
}

TEST(ChangeLog, RemembersOnlySoManyRemovals) {
    Source source(50);
    ChangeLog log(5);
    log.apply(source.whole());
    const Revision first = log.revision();
    for (int n = 0; n < 20; ++n) {
        const Revision before = source.revision();
        source.change("s-" + std::to_string(n), Phase::Removed);
        log.apply(source.since(before));
        EXPECT_EQ(log.covers(first), n < 5);
        EXPECT_TRUE(log.covers(log.oldest()));
    }
    EXPECT_EQ(log.size(), 30u);
    EXPECT_EQ(log.complete_list().entries.size(), 30u);
}

TEST(TokenBucket, StaysWithinItsRateAndOneSend) {
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        Random random(seed);
        const ByteBudget budget{100, 1'000};
        TokenBucket bucket(budget, 0);
        std::deque<std::pair<Micros, double>> sent;
        for (Micros now = 0; now < 60'000'000; now += 1 + static_cast<Micros>(random.pick(500'000))) {
            if (!bucket.ready(now)) {
                ASSERT_GT(bucket.ready_at(now), now);
                continue;
            }
            ASSERT_EQ(bucket.ready_at(now), now);
            sent.emplace_back(now, 1 + static_cast<double>(random.pick(400)));
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

constexpr DeliveryLimits kTightLimits{{100, 300}, {1'000, 2'000}};

// Many callers of one distributor call again immediately after each answer, and complete lists take time to
// write.
TEST(Delivery, KeepsItsBudgetsAndAnswersEachCallOnceInTime) {
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        SCOPED_TRACE(seed);
        Random random(seed);
        Source source(20);
        ChangeLog log(5);
        log.apply(source.whole());
        Delivery delivery(log, kTightLimits, 0);
        struct Caller {
            CallerId id;
            Revision since;
            Micros until;
            List list;
        };
        std::vector<Caller> callers;
        for (int n = 0; n < 8; ++n) {
            callers.push_back({delivery.connect(0), static_cast<Revision>(random.pick(20)), 0, {}});
            callers.back().until = static_cast<Micros>(random.pick(3'000'000));
            delivery.start_call(callers.back().id, callers.back().since, callers.back().until);
        }
        CallerId complete_list_receiver = 0; // 0: none is being written
        Micros complete_list_written_at = 0;
        for (Micros now = 0; now < 20'000'000; now += 50'000) {
            const Revision before = source.revision();
            if (now < 15'000'000 && random.chance(0.1))
                source.change_at_random(random, 24);
            if (source.revision() > before) {
                log.apply(source.since(before));
                delivery.on_log_changed();
            }
            if (complete_list_receiver != 0 && now >= complete_list_written_at)
                delivery.complete_list_written(std::exchange(complete_list_receiver, 0));
            for (const Answer &answer : delivery.answer_due_calls(now)) {
                const auto at = std::find_if(callers.begin(), callers.end(),
                                             [&](const Caller &c) { return c.id == answer.caller; });
                ASSERT_NE(at, callers.end());
                if (answer.kind == Answer::Kind::CompleteList) {
                    ASSERT_FALSE(log.covers(at->since));
                    ASSERT_EQ(complete_list_receiver, 0u) << "more than one complete list is being written";
                    complete_list_receiver = answer.caller;
                    complete_list_written_at = now + 300'000;
                }
                ASSERT_GE(answer.delta.revision, at->since);
                at->since = answer.delta.revision;
                apply(at->list, answer.delta.complete, copy(answer.delta));
                at->until = now + 100'000 + static_cast<Micros>(random.pick(3'000'000));
                delivery.start_call(at->id, at->since, at->until);
            }
            for (const Caller &caller : callers)
                ASSERT_GT(caller.until, now);
            // Urgent changes have been sent regardless of the budgets.
            for (const Caller &caller : callers) {
                if (!log.covers(caller.since))
                    continue;
                for (const auto &entry : log.urgent_changes(caller.since, 0).entries)
                    ASSERT_NE(caller.list.contains(id_of(entry.text)), entry.phase == Phase::Removed);
            }
        }
        EXPECT_GT(delivery.metrics().calls, 8u);
    }
}

TEST(Delivery, PutsOffWhatIsNotUrgentUntilTheCallersBudgetIsReady) {
    Source source(0);
    ChangeLog log(5);
    log.apply(source.whole());
    Delivery delivery(log, kTightLimits, 0);
    const CallerId id = delivery.connect(0);
    Revision since = log.revision();
    std::size_t bytes = 0;
    for (Micros now = 0; now < 30'000'000; now += 100'000) {
        const Revision before = source.revision();
        source.change("s-" + std::to_string(now), Phase::Up);
        log.apply(source.since(before));
        delivery.start_call(id, since, now + 100'000);
        for (const Answer &answer : delivery.answer_due_calls(now)) {
            bytes += answer.delta.bytes;
            since = answer.delta.revision;
        }
        const double allowed =
            kTightLimits.caller.burst + kTightLimits.caller.rate * static_cast<double>(now) / 1e6;
        ASSERT_LE(static_cast<double>(bytes), allowed + kTightLimits.caller.burst) << now;
    }
    EXPECT_GT(delivery.metrics().deferred, 0u);
    EXPECT_GT(static_cast<double>(bytes), kTightLimits.caller.rate * 29);
}

TEST(Delivery, TellsACallerThatKnowsMoreToAskElsewhereWhenItsTimeIsUp) {
    Source source(2);
    ChangeLog log(5);
    Delivery delivery(log, kTightLimits, 0);
    const CallerId id = delivery.connect(0);
    delivery.start_call(id, 1, 1'000);
    EXPECT_TRUE(delivery.answer_due_calls(999).empty())
        << "the log may still be filled before the call expires";
    ASSERT_EQ(delivery.answer_due_calls(1'000).size(), 1u);
    log.apply(source.whole());
    delivery.start_call(id, source.revision() + 1, 2'000);
    EXPECT_TRUE(delivery.answer_due_calls(1'500).empty());
    const auto answers = delivery.answer_due_calls(2'000);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].kind, Answer::Kind::Behind);
    delivery.start_call(id, source.revision() + 1, 9'000);
    const Revision before = source.revision();
    source.change("s-0", Phase::Draining);
    source.change("s-1", Phase::Draining);
    log.apply(source.since(before));
    delivery.on_log_changed();
    EXPECT_EQ(delivery.answer_due_calls(3'000).size(), 1u) << "the log has caught up with the caller";
}

TEST(ReportBook, AddsUpOverLevelsAndNamesWhoLacksTheNewestLongestFirst) {
    ReportBook top, below;
    top.record_published(3, 0);
    below.record_published(3, 1'000);
    for (int n = 0; n < 20; ++n)
        below.report(fmt::format("n{}", n), n < 15 ? 3 : 2, 2'000);
    top.report("a", 3, 2'000);
    top.report("b", 2, 2'000);
    top.report("d1", below.subtree(5'000), 5'000);
    const ReportSummary all = top.summary(6'000);
    EXPECT_EQ(all.brokers, 22u);
    EXPECT_EQ(all.current, 16u);
    ASSERT_EQ(all.lagging.size(), 6u);
    EXPECT_EQ(all.lagging.front().broker, "b"); // counted from the publication at the top
    EXPECT_EQ(all.lagging.front().lag, 6'000);
    EXPECT_EQ(all.lagging.back().lag, 4'000);
    for (int n = 15; n < 20; ++n)
        below.report(fmt::format("n{}", n), 3, 7'000);
    top.report("d1", below.subtree(7'000), 7'000);
    top.report("b", 3, 7'000);
    EXPECT_EQ(top.summary(7'000).current, 22u);
    EXPECT_TRUE(top.summary(7'000).lagging.empty());
    top.record_published(4, 8'000);
    EXPECT_EQ(top.summary(8'000).current, 0u);
}

TEST(ReportBook, LeavesOutWhoHasNotReportedAndNamesNoMoreThanItsBound) {
    ReportBook book;
    book.record_published(2, 0);
    for (int n = 0; n < 100; ++n)
        book.report(fmt::format("n{}", n), 1, n < 50 ? 0 : 1'000'000);
    EXPECT_EQ(book.summary(ReportBook::kReportLifetime).brokers, 100u);
    EXPECT_EQ(book.summary(ReportBook::kReportLifetime).lagging.size(), ReportBook::kMaxNamedBrokers);
    EXPECT_EQ(book.summary(ReportBook::kReportLifetime + 1).brokers, 50u);
    EXPECT_EQ(book.summary(ReportBook::kReportLifetime + 1'000'001).brokers, 0u);
    book.record_published(1, 5); // older: the newest version stays
    book.report("n0", 2, ReportBook::kReportLifetime);
    EXPECT_EQ(book.summary(ReportBook::kReportLifetime).current, 1u);
}

TEST(ReportBook, KeepsNoMoreThanItsBoundAndMakesRoomOfWhatIsOld) {
    ReportBook book;
    const auto report = [&](std::size_t from, std::size_t until, Micros now) {
        for (std::size_t n = from; n < until; ++n)
            book.report(fmt::format("n{}", n), 1, now);
    };
    report(0, ReportBook::kMaxReporters + 10, 0);
    EXPECT_EQ(book.summary(0).brokers, ReportBook::kMaxReporters);
    book.report("n0", 2, 1); // replaces its earlier report
    EXPECT_EQ(book.subtree(1).brokers.at(2), 1u);
    report(ReportBook::kMaxReporters, ReportBook::kMaxReporters + 10, ReportBook::kReportLifetime + 1);
    EXPECT_EQ(book.summary(ReportBook::kReportLifetime + 1).brokers, 11u); // the ten new ones and n0
}

// A node can be cordoned on this broker by an operator and on all brokers by the configuration. The end of
// one cordon must not end the other.
TEST(EndpointList, KeepsNodesOutAsLongAsOneOfTheTwoSaysSo) {
    core::EndpointList endpoints;
    const NodeId a{1}, b{2}, c{3};
    endpoints.apply({ListUpdate::Kind::Full, {{.node = a}, {.node = b}}});
    EXPECT_EQ(endpoints.set_fleet_cordons({a, b, c}).entries.size(), 2u); // c is not listed
    EXPECT_TRUE(endpoints.is_cordoned(c));
    endpoints.cordon(a);
    const ListUpdate fewer = endpoints.set_fleet_cordons({b});
    ASSERT_EQ(fewer.entries.size(), 1u); // a is still cordoned by the operator
    EXPECT_EQ(fewer.entries[0].state, NodeState::Draining);
    EXPECT_FALSE(fewer.entries[0].restored);
    EXPECT_TRUE(endpoints.is_cordoned(a) && endpoints.is_cordoned(b) && !endpoints.is_cordoned(c));
    const ListUpdate by_hand = endpoints.uncordon(a);
    ASSERT_EQ(by_hand.entries.size(), 1u);
    EXPECT_EQ(by_hand.entries[0].state, NodeState::Ready);
    EXPECT_TRUE(by_hand.entries[0].restored);
    endpoints.cordon(b);
    EXPECT_FALSE(endpoints.uncordon(b).entries[0].restored); // the configuration still cordons it
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
    ASSERT_EQ(call->report.subtree->lagging.size(), 1u);
    EXPECT_EQ(call->report.subtree->lagging[0].lag, 5'000'000);
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
        selector.record_failure(0);
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
    selector.record_failure(1'000'000);
    EXPECT_EQ(selector.current().name, "d1"); // the other one in the region
    selector.record_failure(1'000'000);
    EXPECT_NE(selector.current().locality.region, "r1");
    EXPECT_FALSE(selector.reconsider(1'000'000 + DistributorSelector::kMinAvoidance - 1));
    EXPECT_TRUE(selector.reconsider(1'000'000 + 2 * DistributorSelector::kMinAvoidance));
    EXPECT_EQ(selector.current().name, "d5");
    selector.record_success();
    EXPECT_FALSE(selector.reconsider(1'000'000 + 3 * DistributorSelector::kMinAvoidance));
}

TEST(DistributorSelector, AsksTheOnlyOneAgainAndOfAllThatFailedTheOneThatWaitedLongest) {
    DistributorSelector only(distributors(1, 1), "n1", {"", ""}, 7);
    only.record_failure(0);
    EXPECT_EQ(only.current().name, "d0");
    DistributorSelector three(distributors(3, 1), "n1", {"", "r0"}, 7);
    std::set<std::string> asked;
    for (int n = 0; n < 3; ++n) {
        asked.insert(three.current().name);
        three.record_failure(n);
    }
    EXPECT_EQ(asked.size(), 3u);
}

/// A source, distributors that watch it and brokers that watch the distributors, in steps of 100 ms. Calls
/// and answers are lost or late, and distributors pause, restart and lose the connection to the source.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed) : random_(seed), source_(kMembers) {
        loss_probability_ = static_cast<double>(random_.pick(3)) * 0.1;
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
        for (int step = 0; step < kFaultySteps; ++step) {
            fault();
            if (random_.chance(0.15))
                source_.change_at_random(random_, kMembers + 3);
            this->step();
            if (testing::Test::HasFatalFailure())
                return;
        }
        loss_probability_ = 0;
        for (const auto &replica : distributors_)
            replica->paused_until = replica->disconnected_until = now_;
        for (int step = 0; step < kRecoverySteps; ++step) {
            this->step();
            if (testing::Test::HasFatalFailure())
                return;
        }
        for (const Broker &broker : brokers_) {
            ASSERT_EQ(broker.revision, source_.revision());
            ASSERT_EQ(broker.list, source_.list());
        }
    }
    std::uint64_t complete_lists_sent() const { return complete_lists_sent_; }
    std::uint64_t behind_answers() const { return behind_answers_; }

private:
    static constexpr int kMembers = 8, kDistributors = 3, kBrokers = 5;
    static constexpr int kFaultySteps = 150, kRecoverySteps = 120;
    static constexpr Micros kStep = 100'000, kCallWait = 600'000, kAnswerTimeout = 1'100'000;

    /// A distributor.
    struct Replica {
        ChangeLog log{4};
        Delivery delivery{log, kTightLimits, 0};
        Micros paused_until = 0, disconnected_until = 0;
        Micros answer_at = 0; ///< when the answer to its call to the source arrives
        std::optional<Update> answer;
        /// For each caller, the broker's index and the number of its call.
        std::map<CallerId, std::pair<std::size_t, std::uint64_t>> callers;
    };
    /// An answer in flight to a broker.
    struct Message {
        Micros at = 0;
        std::uint64_t call = 0;
        Answer::Kind kind = Answer::Kind::NoChange;
        Revision revision = 0;
        bool complete = false;
        std::vector<std::pair<std::string, Phase>> entries;
    };
    struct Broker {
        std::deque<Message> in_flight;
        Revision revision;
        List list;
        DistributorSelector selector;
        std::uint64_t call = 0; ///< the number of the open call; 0: none
        Micros call_timeout_at = 0, next_call = 0;
        std::size_t distributor = 0;
        CallerId id = 0;
    };

    void fault() {
        Replica &replica = *distributors_[random_.pick(kDistributors - 1)];
        if (random_.chance(0.01))
            replica.paused_until = now_ + static_cast<Micros>(random_.pick(5'000'000));
        if (random_.chance(0.01))
            replica.disconnected_until = now_ + static_cast<Micros>(random_.pick(6'000'000));
        if (random_.chance(0.01)) {
            auto &restarted = distributors_[random_.pick(kDistributors - 1)];
            // It restarts without a list; its callers' connections are reset.
            restarted = std::make_unique<Replica>();
            for (Broker &broker : brokers_)
                if (broker.call && distributors_[broker.distributor] == restarted)
                    fail(broker, false);
        }
    }

    void step() {
        now_ += kStep;
        for (const auto &replica : distributors_)
            if (now_ >= replica->paused_until)
                serve(*replica);
        for (std::size_t n = 0; n < brokers_.size(); ++n)
            run_broker(n);
    }

    void serve(Replica &replica) {
        if (replica.answer && now_ >= replica.answer_at) {
            const Revision before = replica.log.revision();
            const UpdateResult taken = replica.log.apply(*replica.answer);
            ASSERT_GE(replica.log.revision(), before);
            if (taken == UpdateResult::Applied)
                replica.delivery.on_log_changed();
            replica.answer.reset();
        }
        if (!replica.answer && now_ >= replica.disconnected_until && !random_.chance(loss_probability_)) {
            replica.answer = replica.log.empty() ? source_.whole() : source_.since(replica.log.revision());
            replica.answer_at = now_ + static_cast<Micros>(random_.pick(3)) * kStep;
        }
        for (const Answer &answer : replica.delivery.answer_due_calls(now_)) {
            const auto [broker, call] = replica.callers.at(answer.caller);
            if (answer.kind == Answer::Kind::CompleteList) {
                ++complete_lists_sent_;
                ASSERT_FALSE(replica.log.covers(brokers_[broker].revision));
                replica.delivery.complete_list_written(answer.caller);
            }
            if (random_.chance(loss_probability_))
                continue;
            brokers_[broker].in_flight.push_back({now_ + static_cast<Micros>(random_.pick(3)) * kStep, call,
                                                  answer.kind, answer.delta.revision, answer.delta.complete,
                                                  copy(answer.delta)});
        }
    }

    void run_broker(std::size_t number) {
        Broker &broker = brokers_[number];
        for (Message &message : std::exchange(broker.in_flight, {})) {
            if (message.at > now_)
                broker.in_flight.push_back(std::move(message));
            else if (message.call == broker.call && broker.call) // else the call has timed out
                receive(broker, message);
        }
        if (broker.call && now_ >= broker.call_timeout_at)
            fail(broker, true);
        if (!broker.call && now_ >= broker.next_call)
            start_call(number);
    }

    void receive(Broker &broker, const Message &message) {
        if (message.kind == Answer::Kind::Behind || message.revision < broker.revision) {
            ++behind_answers_;
            return fail(broker, true);
        }
        ASSERT_GE(message.revision, broker.revision);
        broker.revision = message.revision;
        apply(broker.list, message.complete, message.entries);
        broker.selector.record_success();
        end_call(broker);
        broker.next_call = now_;
    }

    void start_call(std::size_t number) {
        Broker &broker = brokers_[number];
        broker.selector.reconsider(now_);
        broker.distributor = static_cast<std::size_t>(broker.selector.current().name[1] - '0');
        broker.call = ++last_call_;
        broker.call_timeout_at = now_ + kCallWait + kAnswerTimeout;
        if (random_.chance(loss_probability_))
            return; // the call is lost
        Replica &replica = *distributors_[broker.distributor];
        if (now_ < replica.paused_until)
            return;
        broker.id = replica.delivery.connect(now_);
        replica.callers[broker.id] = {number, broker.call};
        replica.delivery.start_call(broker.id, broker.revision, now_ + kCallWait);
    }

    void end_call(Broker &broker) {
        Replica &replica = *distributors_[broker.distributor];
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
        broker.selector.record_failure(now_);
        broker.next_call = now_ + kStep * static_cast<Micros>(1 + random_.pick(2));
    }

    Random random_;
    Source source_;
    Micros now_ = 0;
    double loss_probability_ = 0;
    std::vector<std::unique_ptr<Replica>> distributors_;
    std::vector<Broker> brokers_;
    std::uint64_t last_call_ = 0, complete_lists_sent_ = 0, behind_answers_ = 0;
};

TEST(Distribution, NoRevisionGoesBackAndAllHoldTheListInRandomSchedules) {
    std::uint64_t complete_lists_sent = 0, behind = 0;
    for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
        SCOPED_TRACE(seed);
        Fleet fleet(seed);
        fleet.run();
        if (HasFatalFailure())
            return;
        complete_lists_sent += fleet.complete_lists_sent(), behind += fleet.behind_answers();
    }
    // The schedules reach the cases that they are meant to cover.
    EXPECT_GT(complete_lists_sent, 1'000u);
    EXPECT_GT(behind, 1'000u);
}

} // namespace
