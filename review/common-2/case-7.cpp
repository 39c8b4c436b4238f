/// \file
/// An NVMe/TCP node stands still while the data of writes is half sent, and their clients' time runs out. A
/// write that the broker has refused must not run, as its client tries again.
#include "nvme_target.hpp"
#include "relay.hpp"

using namespace review;

namespace {

constexpr std::uint32_t kBlockBytes = 8192;
constexpr int kPlanners = 4;
constexpr int kWrites = 2 * kPlanners;
constexpr int kMostRounds = 60;
constexpr double kMostSeconds = 60;
constexpr int kEnoughFound = 1;
constexpr int kClientWaitMs = 40;
constexpr int kSecondWaitMs = 2500;
constexpr auto kStandStill = 225ms; // at most the longest of the site's, see claim.txt
constexpr auto kSettle = 250ms;

struct Totals {
    int served = 0;
    int writes = 0;
    int refused = 0;
    int run_twice = 0;
};

std::string block(int n) {
    return fmt::format("{:016x}", 0x1000 + n);
}
std::string volume(int n) {
    return fmt::format("{:016x}", 0x100 + n % kPlanners);
}

/// The usual settings, but a write may run once only.
std::string settings() {
    return test::replaced(test::kSettings, R"("effect":"deduplicated")", R"("effect":"at_most_once")");
}

/// Usual traffic, one request at a time, so that the broker has seen how fast the node answers.
void read_for_a_while(const BrokerSetup &setup, Totals &totals) {
    test::Socket client = test::Socket::to(setup.port);
    for (int n = 0; n < 4 * kPlanners; ++n) {
        client.send(get(block(n), volume(n)));
        totals.served += read_reply(client).kind == Reply::Kind::Served ? 1 : 0;
    }
}

std::vector<Reply::Kind> write_blocks(Record &record, const BrokerSetup &setup, const std::vector<int> &which,
                                      int wait_ms) {
    test::Socket client = test::Socket::to(setup.port);
    std::string commands;
    for (const int n : which) {
        commands += put(block(n), block(n), std::string(kBlockBytes, 'w'), wait_ms, volume(n));
        record.line("client: sends a write of block {}, for {} ms", block(n), wait_ms);
    }
    client.send(commands);
    std::vector<Reply::Kind> replies;
    for (const int n : which) {
        replies.push_back(read_reply(client).kind);
        record.line("client: write of block {}: {}", block(n), name(replies.back()));
    }
    return replies;
}

void play(const std::string &root, Record &record, Totals &totals) {
    const Folder folder;
    NvmeTarget target(kBlockBytes);
    Relay &relay = *new Relay(target.server.port); // its threads go on
    std::mutex mutex;
    std::map<std::uint64_t, int> runs; // by block
    target.on_write_run = [&](std::uint64_t number, const std::string &) {
        const std::lock_guard lock(mutex);
        ++runs[number];
        record.line("node s-1: runs the write of block {:016x}", number);
    };
    // The node takes the commands, asks for their data, and then stands still.
    std::atomic<int> writes_taken = 0;
    std::thread standing_still;
    target.before_data_is_requested = [&](std::uint64_t) {
        if (++writes_taken > 1 || !trouble())
            return;
        std::this_thread::sleep_for(5ms); // further commands arrive
        record.line("node s-1: stands still from now on");
        relay.hold_upstream(true);
        standing_still = std::thread([&] {
            std::this_thread::sleep_for(kStandStill);
            record.line("node s-1: goes on");
            relay.hold_upstream(false);
        });
    };
    test::RespNode second([](const auto &, int) { return test::RespNode::served("v"); });
    test::RespNode third([](const auto &, int) { return test::RespNode::served("v"); });
    const test::Discovery discovery(
        test::replaced(test::member("s-1", 0, 0), "127.0.0.1:0", relay.host_port) + "," +
        test::member("s-2", second.server.port, 1) + "," + test::member("s-3", third.server.port, 2));
    BrokerSetup setup;
    setup.discovery = discovery.port();
    setup.known = discovery.known();
    setup.settings = settings();
    setup.operators = nvme_operator(kBlockBytes, kPlanners);
    Process broker = start_broker(root, folder, setup);

    read_for_a_while(setup, totals);
    std::vector<int> all;
    for (int n = 0; n < kWrites; ++n)
        all.push_back(n);
    const auto replies = write_blocks(record, setup, all, kClientWaitMs);
    std::this_thread::sleep_for(kSettle);
    std::vector<int> refused;
    for (const int n : all)
        if (replies[static_cast<std::size_t>(n)] == Reply::Kind::Refused)
            refused.push_back(n);
    write_blocks(record, setup, refused, kSecondWaitMs);
    if (standing_still.joinable())
        standing_still.join();
    if (const auto end = broker.end())
        cannot_run("the broker " + *end);
    totals.writes += kWrites;
    totals.refused += static_cast<int>(refused.size());
    const std::lock_guard lock(mutex);
    for (const auto &[number, times] : runs) {
        if (times < 2)
            continue;
        ++totals.run_twice;
        record.line(
            "THE WRITE OF BLOCK {:016x} WAS REFUSED, HAS RUN, AND HAS RUN AGAIN WHEN ITS CLIENT TRIED "
            "ONCE MORE",
            number);
    }
}

} // namespace

int main(int, char **arguments) {
    Record record(arguments[2]);
    Totals totals;
    int rounds = 0;
    while (rounds < kMostRounds && record.seconds() < kMostSeconds && totals.run_twice < kEnoughFound) {
        record.line("round {}", ++rounds);
        play(arguments[1], record, totals);
    }
    record.line("{} rounds; {} reads served; of {} writes {} were refused and sent again; {} have run twice",
                rounds, totals.served, totals.writes, totals.refused, totals.run_twice);
    if (totals.run_twice > 0)
        return kBroken;
    return totals.served > 0 ? kHeld : kNotRun;
}
