/// \file
/// Random crowds, each generated from a seed: clients that read long values slowly, write slowly, stop within
/// a large request, or send very many short fields, in groups and up to more than there are descriptors,
/// beside clients that go on sending until the process is killed, series of signals, hot restarts. SIGKILL is
/// sent as early as the platform may send it. No request of the well-behaved clients that a node has taken
/// may be lost, none answered too late, and memory and descriptors stay within their limits. Run with the
/// first seed and the number of seeds; prints a line for each, and the failed ones last.
#include "faults/soak_parts.hpp"
#include "scenarios.hpp"

using namespace test;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKilobytesPerMegabyte = 1024;
constexpr double kMemoryShare = 0.9; // of the limit that the processes may take together
constexpr int kNodes = 6;

struct NamedCrowd {
    std::string name;
    CrowdBehavior behavior;
};

CrowdBehavior draw_arrival(Draw &draw, int sockets) {
    const int connections = draw.of({sockets / 4, sockets / 2, sockets});
    return {.connections = connections,
            .read_bytes_per_turn = static_cast<std::size_t>(draw.of({300, 3'000, 30'000})),
            .reconnects = draw.one_in(2),
            .receive_buffer_bytes = draw.of({4'096, 65'536}),
            .interval = milliseconds(draw.of({0, 2, 50, 300})),
            .group = draw.of({1, 20, connections})};
}

NamedCrowd draw_crowd(Draw &draw, int sockets) {
    NamedCrowd crowd{.name = {}, .behavior = draw_arrival(draw, sockets)};
    CrowdBehavior &behavior = crowd.behavior;
    switch (draw.between(0, 4)) {
    case 0:
        crowd.name = "half requests";
        behavior.opening = [] { return begin_of_write(40'000); };
        break;
    case 1:
        crowd.name = "slow requests";
        behavior.opening = [] { return begin_of_write(500); };
        behavior.next = [] { return std::string(100, 'b'); };
        break;
    case 2:
        crowd.name = "short fields";
        behavior.opening = [] { return read_with_short_fields(20'000, 1'000); };
        behavior.next = draw.one_in(2) ? behavior.opening : nullptr;
        break;
    case 3:
        crowd.name = "never reading";
        behavior.opening = [] { return get(RecordingNodes::kLongPiece); };
        behavior.read_bytes_per_turn = 0;
        break;
    default:
        crowd.name = "slow readers";
        behavior.opening = [] { return get(RecordingNodes::kLongPiece); };
    }
    crowd.name = fmt::format("{} x {}", behavior.connections, crowd.name);
    return crowd;
}

LoopOptions draw_client(Draw &draw, int longest_ms) {
    return {.wait_ms = longest_ms,
            .writes = draw.one_in(3),
            .depth = static_cast<std::size_t>(draw.between(1, 3)),
            .pause = std::chrono::microseconds(draw.of({1'000, 30'000, 120'000})),
            .requests = draw.of({0, 0, 0, 1}),
            .reconnects = true};
}

bool run_crowds(unsigned seed) {
    Draw draw(seed);
    const TcpCounters tcp_before = TcpCounters::now();
    const int longest = draw.of({300, 600, 1500});
    const Limits limits{.memory_mb = 32, .sockets = draw.of({256, 512, 1024, 1024})};
    const RecordingNodes nodes(kNodes, milliseconds(draw.between(0, 25)),
                               static_cast<std::size_t>(draw.of({60'000, 400'000, 4'000'000})));
    const Discovery discovery(nodes.members());
    Program program(discovery, "", with_deadlines(longest, longest), {}, 0, "n0", limits);
    RequestTally tally;
    tally.taken_by_node = [&nodes](const std::string &id) { return nodes.has_taken(id); };
    std::list<LoopClient> clients;
    for (int n = draw.between(3, 10); n > 0; --n)
        clients.emplace_back(program.port, draw_client(draw, longest), tally);
    std::list<RunningCrowd> crowds;
    std::string names;
    for (int n = draw.between(1, 3); n > 0; --n) {
        NamedCrowd crowd = draw_crowd(draw, limits.sockets);
        names += crowd.name + ", ";
        crowds.emplace_back(program.port, std::move(crowd.behavior));
    }
    std::vector<pid_t> processes{program.pid()};
    MemorySampler before(processes);
    std::this_thread::sleep_for(milliseconds(draw.between(500, 3'000)));
    std::optional<Program> successor;
    if (draw.one_in(4)) {
        successor.emplace(program);
        processes.push_back(successor->pid());
    }
    const std::size_t peak_before = before.stop();
    const ProcessEnd end = run_to_the_kill(draw, program, processes, longest);
    const std::size_t peak = std::max(peak_before, end.peak_kb);
    crowds.clear();
    clients.clear();
    const bool within_memory =
        static_cast<double>(peak) < kMemoryShare * limits.memory_mb * kKilobytesPerMegabyte;
    const bool good =
        tally.lost == 0 && tally.late == 0 && within_memory && end.in_order() && tally.served > 0;
    const TcpCounters tcp = TcpCounters::now();
    fmt::print(
        "seed {} {}: {}sockets {} longest {}{} peak {} kB {}; ended {}; TCP: pressure {} ms, timeouts {}\n",
        seed, good ? "good" : "BAD", names, limits.sockets, longest, successor ? " upgrade" : "", peak,
        tally.summary(), end.manner(), tcp.pressure_ms - tcp_before.pressure_ms,
        tcp.timeouts - tcp_before.timeouts);
    if (!good)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    return good;
}

} // namespace

int main(int argc, char **argv) {
    return run_seeds(run_crowds, argc, argv);
}
