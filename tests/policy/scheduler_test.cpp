#include "test_host.hpp"

#include <functional>

namespace marblewood::policy_test {
namespace {

TEST(Scheduler, AnIdleHostSetsNextToNoTimers) {
    TestHost host(basic_settings(), 50);
    host.advance(10 * kSecond);
    EXPECT_LE(host.timers_set, 11);
}

// Guards against giving up or retrying a request whose answer has begun to arrive, and against counting the
// time that the rest of the answer takes as a failure of the node.
TEST(Scheduler, AnAnswerThatHasBegunIsLeftToItself) {
    TestHost host(basic_settings(), 1);
    const RequestId id = host.submit(0);
    host.advance(30 * kMillisecond);
    host.handle(StreamStarted{id, 0});
    for (int k = 0; k < 50; ++k) {
        host.advance(100 * kMillisecond);
        host.finish(host.submit(0));
    }
    EXPECT_TRUE(host.refused.empty() && host.failed.empty() && host.cancelled.empty());
    EXPECT_EQ(host.attempt_count(id), 1u);
    EXPECT_FALSE(host.scheduler.is_avoided(NodeId{0}));
    EXPECT_DOUBLE_EQ(*host.scheduler.concurrency_limit(NodeId{0}), 2);
    host.handle(AttemptEnded{id, 0, Status::Reset, 5 * kSecond, true, 0, 0, {}});
    EXPECT_FALSE(host.scheduler.tracks(id));
    EXPECT_FALSE(host.scheduler.is_avoided(NodeId{0}));
}

TEST(Scheduler, SettingsThatContradictThemselvesAreRejectedByName) {
    const auto rejects = [](const char *name, const std::function<void(Settings &)> &invalidate) {
        Settings s = basic_settings();
        invalidate(s);
        try {
            Scheduler scheduler(s);
            ADD_FAILURE() << name << " was accepted";
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

TEST(Scheduler, OddEventsAreIgnored) {
    TestHost host(basic_settings());
    host.handle(AttemptEnded{RequestId{99}, 0, Status::Ok, 0, true, 0, 0, {}});
    host.handle(ClientDisconnected{RequestId{99}});
    host.handle(StreamStarted{RequestId{99}, 0});
    host.handle(ProbeEnded{NodeId{99}, Status::Ok, 0, {}});
    host.handle(PeerMessage{1, "hello"});
    host.handle(TimerDue{77});
    const RequestId id = host.submit(0);
    host.handle(AttemptEnded{id, 5, Status::Ok, 0, false, 0, 0, {}});
    EXPECT_TRUE(host.scheduler.tracks(id));
    host.handle(ClientDisconnected{id});
    host.finish(id);
    EXPECT_FALSE(host.scheduler.tracks(id));
    EXPECT_TRUE(host.refused.empty() && host.failed.empty());
}

TEST(Scheduler, AnUnknownClassIsRejectedAndChangesNothing) {
    TestHost host(basic_settings());
    RequestArrived in;
    in.id = RequestId{500};
    in.cls = 9;
    std::vector<Action> actions;
    EXPECT_THROW(host.scheduler.handle(host.now, in, actions), std::invalid_argument);
    EXPECT_EQ(host.scheduler.entry_counts().requests, 0u);
}

TEST(Scheduler, MemoryIsBoundedOverALongStretch) {
    TestHost host(basic_settings());
    for (int k = 0; k < 20'000; ++k) {
        host.volume = static_cast<std::uint64_t>(k);
        const RequestId id = host.submit(k % 2, k % 2, 1, DataKey(static_cast<std::uint64_t>(k)));
        host.advance(10 * kMillisecond);
        if (host.attempt_count(id))
            host.finish(id);
    }
    host.advance(3 * kSecond);
    const auto counts = host.scheduler.entry_counts();
    EXPECT_EQ(counts.requests, 0u);
    EXPECT_EQ(counts.keys, 0u);
    EXPECT_LE(counts.nodes, 2u);
    EXPECT_LE(counts.volumes, 7'000u); // of 20,000 seen
}

// Guards against a request staying open although its front end needs the final answer.
TEST(Scheduler, AnswersARequestAtOnceByItsClassWhenTold) {
    Settings s = basic_settings();
    s.cancel = true;
    TestHost host(s, 1);
    const RequestId waits = host.submit(5); // no node serves the shard
    host.handle(AnswerNow{waits});
    EXPECT_TRUE(TestHost::has(host.refused, waits) && host.attempt_count(waits) == 0);
    const RequestId read = host.submit(0, 0), write = host.submit(0, 1);
    ASSERT_TRUE(host.attempt_count(read) == 1 && host.attempt_count(write) == 1);
    host.handle(AnswerNow{read});
    host.handle(AnswerNow{write}); // it may have run and must not run twice
    EXPECT_TRUE(TestHost::has(host.refused, read) && TestHost::has(host.failed, write));
    EXPECT_TRUE(TestHost::has(host.cancelled, read) && TestHost::has(host.cancelled, write));
    const std::size_t answers = host.refused.size() + host.failed.size();
    host.handle(AnswerNow{read});
    host.handle(AnswerNow{RequestId{99}});
    host.finish(write, Status::Cancelled);
    host.advance(5 * kSecond);
    EXPECT_EQ(host.refused.size() + host.failed.size(), answers); // no request gets a second answer
    EXPECT_FALSE(host.scheduler.tracks(write));
}

// Guards against ending a request while its answer is being forwarded to the client.
TEST(Scheduler, DoesNotEndARequestWhoseAnswerIsForwarded) {
    TestHost host(basic_settings(), 1);
    const RequestId read = host.submit(0);
    ASSERT_EQ(host.attempt_count(read), 1u);
    host.handle(StreamStarted{read, 0});
    host.handle(AnswerNow{read});
    EXPECT_FALSE(TestHost::has(host.refused, read) || TestHost::has(host.failed, read) ||
                 TestHost::has(host.cancelled, read));
    host.finish(read);
    EXPECT_FALSE(host.scheduler.tracks(read));
}

} // namespace
} // namespace marblewood::policy_test
