// Clients that ask as they should beside crowds that misbehave: each of their requests has its answer, on
// the connection on which it was sent, and the process stays within its limits.
// Usage: crowd_test SCENARIO
#include "faults/soak_parts.hpp"
#include "scenarios.hpp"

using namespace test;

namespace {

constexpr Limits kLimits{.memory_mb = 32, .sockets = 1024};
constexpr std::size_t kKilobytesPerMegabyte = 1024;
constexpr double kMemoryShare = 0.9; // of the limit that the process may take
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false; // the sanitizer's own memory passes the limit
#else
constexpr bool kMeasuresMemory = true;
#endif
constexpr int kWellBehavedClients = 10;
constexpr int kOneTimeClients = 1; // connect anew for each request
constexpr int kWaitMs = 1500;
constexpr auto kNodeTime = 25ms; // so that a request is open for longer than a crossing takes
constexpr int kNodes = 9;
constexpr auto kPause = 30ms; // of a well-behaved client, less than its system delays an acknowledgement
constexpr std::size_t kHead = 500, kHalf = 40'000; // bytes of a write
constexpr int kFields = 20'000;
constexpr auto kCrowdTime = 5s;

// Runs the crowds beside well-behaved clients, one thread each, and checks what these and the process have
// seen. Returns the program's figures.
std::map<std::string, long> expect_service_beside(const std::vector<CrowdBehavior> &behaviors,
                                                  std::size_t value_bytes = 0,
                                                  const Limits &limits = kLimits) {
    const RecordingNodes nodes(kNodes, kNodeTime, value_bytes);
    const Discovery discovery(nodes.members());
    Program program(discovery, "", with_deadlines(kWaitMs, kWaitMs), {}, 0, "n0", limits);
    RequestTally tally;
    tally.taken_by_node = [&nodes](const std::string &id) { return nodes.has_taken(id); };
    std::list<LoopClient> clients;
    for (int n = 0; n < kWellBehavedClients; ++n)
        clients.emplace_back(program.port,
                             LoopOptions{.wait_ms = kWaitMs, .pause = kPause, .reconnects = true}, tally);
    for (int n = 0; n < kOneTimeClients; ++n)
        clients.emplace_back(
            program.port, LoopOptions{.wait_ms = kWaitMs, .pause = kPause, .requests = 1, .reconnects = true},
            tally);
    std::this_thread::sleep_for(500ms);
    std::vector<std::thread> crowds;
    for (const CrowdBehavior &behavior : behaviors)
        crowds.emplace_back([&program, &behavior] {
            Crowd crowd(program.port, behavior);
            crowd.run(kCrowdTime);
        });
    std::size_t most_descriptors = 0;
    for (const auto end = Clock::now() + kCrowdTime; Clock::now() < end; std::this_thread::sleep_for(5ms))
        most_descriptors = std::max(most_descriptors, program.descriptors());
    for (std::thread &crowd : crowds)
        crowd.join();
    clients.clear();
    const auto figures = program.figures();
    const std::size_t peak_kb = program.peak_memory_kb();
    fmt::print(stderr, "{}; peak {} kB; at most {} descriptors; closed as not reading {}\n", tally.summary(),
               peak_kb, most_descriptors, figures.at("clients_closed_not_reading"));
    if (tally.lost > 0 || tally.late > 0)
        fmt::print(stderr, "{}\n", program.log());
    assert(program.running());
    assert(tally.lost == 0 && tally.late == 0);
    assert(tally.served > 0);
    assert(most_descriptors <= static_cast<std::size_t>(limits.sockets));
    assert(!kMeasuresMemory ||
           static_cast<double>(peak_kb) < kMemoryShare * limits.memory_mb * kKilobytesPerMegabyte);
    return figures;
}

CrowdBehavior slow_readers(int connections, int group, std::chrono::milliseconds interval) {
    return {.connections = connections,
            .opening = [] { return get(RecordingNodes::kLongPiece); },
            .read_bytes_per_turn = 3'000,
            .receive_buffer_bytes = 65'536,
            .interval = interval,
            .group = group};
}

// Guards against making room by ending a connection with an open request, as an acknowledgement is late.
void well_behaved_clients_beside_slow_readers() {
    expect_service_beside({slow_readers(600, 60, 400ms)}, 3'000'000);
}
// Guards against the same beside clients that come again as soon as their connection has ended.
void well_behaved_clients_beside_slow_readers_that_return() {
    CrowdBehavior behavior = slow_readers(500, 1, 5ms);
    behavior.reconnects = true;
    expect_service_beside({behavior}, 400'000);
}
// Guards against ending clients that read slowly, while there is room, as if they were idle.
void slow_readers_while_there_is_room() {
    constexpr std::size_t kVerySlowly = 1'000; // a turn of 10 ms
    CrowdBehavior behavior = slow_readers(500, 1, 5ms);
    behavior.read_bytes_per_turn = kVerySlowly;
    const auto figures = expect_service_beside({behavior}, 1'000'000);
    assert(figures.at("clients_closed_not_reading") == 0);
    assert(figures.at("clients_closed_unanswered") == 0);
}
// Guards against the memory of the longest values, read slowly by clients that come at once.
void well_behaved_clients_beside_slow_readers_of_the_longest_values() {
    constexpr int kReaders = 700;
    CrowdBehavior behavior = slow_readers(kReaders, kReaders, 0ms);
    behavior.receive_buffer_bytes = 4'096;
    expect_service_beside({behavior}, 4 * kKilobytesPerMegabyte * 1'024);
}
// Guards against newcomers that find no room among clients that read slowly.
void well_behaved_clients_where_slow_readers_fill_the_descriptors() {
    constexpr Limits kFewDescriptors{.memory_mb = 32, .sockets = 256};
    CrowdBehavior behavior = slow_readers(300, 1, 2ms);
    behavior.reconnects = true;
    expect_service_beside({behavior}, 3'000'000, kFewDescriptors);
}
// Guards against making room by ending open requests where half requests fill the descriptors.
void well_behaved_clients_beside_half_requests() {
    expect_service_beside({{.connections = 1000,
                            .opening = [] { return begin_of_write(kHalf); },
                            .read_bytes_per_turn = 4096,
                            .reconnects = true}});
}
// Guards against the same where slowly written requests do.
void well_behaved_clients_beside_slow_requests() {
    expect_service_beside({{.connections = 1000,
                            .opening = [] { return begin_of_write(kHead); },
                            .next = [] { return std::string(300, 'b'); },
                            .read_bytes_per_turn = 4096,
                            .reconnects = true}});
}
// Guards against the same where heads of very many short fields do.
void well_behaved_clients_beside_short_fields() {
    expect_service_beside({{.connections = 700,
                            .next = [] { return read_with_short_fields(kFields, kWaitMs); },
                            .read_bytes_per_turn = 4096,
                            .reconnects = true}});
}
// Guards against any of these where the crowds come together.
void well_behaved_clients_beside_all_of_these() {
    expect_service_beside({slow_readers(200, 1, 5ms),
                           {.connections = 150,
                            .opening = [] { return begin_of_write(kHalf); },
                            .read_bytes_per_turn = 4096,
                            .reconnects = true},
                           {.connections = 150,
                            .opening = [] { return begin_of_write(kHead); },
                            .next = [] { return std::string(300, 'b'); },
                            .read_bytes_per_turn = 4096,
                            .reconnects = true},
                           {.connections = 150,
                            .next = [] { return read_with_short_fields(kFields, kWaitMs); },
                            .read_bytes_per_turn = 4096,
                            .reconnects = true}},
                          1'000'000);
}

// Guards against long values that are passed on to many clients at once and hold memory while it is short.
void well_behaved_clients_beside_slow_readers_and_half_requests_at_once() {
    constexpr int kEach = 350;
    CrowdBehavior readers = slow_readers(kEach, kEach, 0ms);
    readers.receive_buffer_bytes = 4'096;
    CrowdBehavior writers{.connections = kEach, .opening = [] { return begin_of_write(kHalf); }};
    expect_service_beside({readers, writers}, 4 * kKilobytesPerMegabyte * 1'024);
}

constexpr Scenario kScenarios[] = {
    {"slow_readers", well_behaved_clients_beside_slow_readers},
    {"slow_readers_return", well_behaved_clients_beside_slow_readers_that_return},
    {"room", slow_readers_while_there_is_room},
    {"longest", well_behaved_clients_beside_slow_readers_of_the_longest_values},
    {"full", well_behaved_clients_where_slow_readers_fill_the_descriptors},
    {"half_requests", well_behaved_clients_beside_half_requests},
    {"slow_requests", well_behaved_clients_beside_slow_requests},
    {"short_fields", well_behaved_clients_beside_short_fields},
    {"at_once", well_behaved_clients_beside_slow_readers_and_half_requests_at_once},
    {"all", well_behaved_clients_beside_all_of_these},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
