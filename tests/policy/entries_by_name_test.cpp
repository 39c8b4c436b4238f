// State that is kept by names which clients choose does not grow with ever new names.
#include "policy/newest_entries.hpp"
#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

constexpr std::size_t kMaxEntries = 100;
constexpr int kRequests = 5'000;
constexpr int kUnknownShard = 1'000;

Settings bounded_settings() {
    Settings s = basic_settings();
    s.max_entries_by_name = kMaxEntries;
    s.max_queued_requests = 10;
    return s;
}

TEST(EntriesByName, AreBoundedForEverNewVolumesPiecesAndShards) {
    TestHost host(bounded_settings());
    for (int n = 0; n < kRequests; ++n) {
        host.volume = 100 + static_cast<std::uint64_t>(n);
        host.submit(kUnknownShard + n, 0, 1, DataKey(static_cast<std::uint64_t>(n)));
    }
    const auto counts = host.scheduler.entry_counts();
    EXPECT_LE(counts.volumes, kMaxEntries + 1);
    EXPECT_LE(counts.unserved, kMaxEntries + 1);
    EXPECT_LE(counts.shard_queues, 20u);
}

TEST(EntriesByName, OrderedKeysAreDroppedWithTheirRequests) {
    TestHost host(bounded_settings());
    for (int n = 0; n < kRequests; ++n)
        host.submit(kUnknownShard, 1, 1, DataKey(static_cast<std::uint64_t>(n)));
    EXPECT_LE(host.scheduler.entry_counts().keys, 20u);
}

TEST(EntriesByName, ATimerEndsWithItsRequestHoweverLongItsClientWouldWait) {
    TestHost host(bounded_settings());
    host.time_left = 1'000'000 * kSecond;
    for (int n = 0; n < kRequests; ++n)
        host.submit(kUnknownShard);
    const std::size_t waiting = host.scheduler.entry_counts().requests;
    EXPECT_LE(host.scheduler.entry_counts().scheduled, waiting + 5);
}

TEST(EntriesByName, AVolumeThatIsUsedKeepsItsAccount) {
    Settings s = bounded_settings();
    s.plans[0].limit = 20;
    s.plans[0].limit_burst = 20;
    TestHost host(s);
    host.submit(0);
    host.advance(kSecond); // served once, and its bucket is full
    ASSERT_EQ(host.sent.size(), 1u);
    host.finish(host.sent.front().id);
    for (int n = 0; n < kRequests; ++n) {
        host.volume = 100 + static_cast<std::uint64_t>(n);
        host.submit(kUnknownShard);
    }
    host.volume = 1;
    const RequestId next = host.submit(0, 0, 4);
    EXPECT_EQ(host.attempt_count(next), 1u); // a new account would begin with an empty bucket
}

TEST(NewestEntries, RemovesTheLowestRankedThatMayBeRemoved) {
    std::map<int, int> entries;
    for (int n = 0; n < 9; ++n)
        entries[n] = n;
    const auto rank = [](int value) { return value; };
    policy::keep_newest(entries, 9, rank, [](int) { return true; });
    EXPECT_EQ(entries.size(), 9u);
    policy::keep_newest(entries, 8, rank, [](int value) { return value != 1; });
    EXPECT_EQ(entries.size(), 6u);
    EXPECT_TRUE(entries.contains(1));
    EXPECT_FALSE(entries.contains(0));
    EXPECT_FALSE(entries.contains(3));
    EXPECT_TRUE(entries.contains(4));
    policy::keep_newest(entries, 0, rank, [](int) { return true; });
    EXPECT_EQ(entries.size(), 6u);
}

} // namespace
} // namespace marblewood::policy_test
