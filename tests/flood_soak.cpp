/// \file
/// Random floods, each generated from a seed: crowds of clients that send invalid input, small requests or
/// ever new names without end, stop half-way or do not read, beside clients that go on sending until the
/// process is killed, series of signals, hot restarts. SIGKILL is sent as early as the platform may send it.
/// No request of the well-behaved clients may be lost, and none answered too late, and the memory of the
/// process stays under its limit. Run with the first seed and the number of seeds; prints a line for each,
/// and the failed ones last.
#include "faults/soak_parts.hpp"
#include "scenarios.hpp"

#include <algorithm>

using namespace test;

namespace {

using std::chrono::milliseconds;

constexpr Limits kLimits{.memory_mb = 32, .sockets = 1024};
constexpr std::size_t kLimitKb = std::size_t{32} * 1024;
constexpr int kMaxCrowd = 500; // connections, of the 728 that clients can have

std::string reads_of_new_names() {
    static std::atomic<std::uint64_t> number = 0;
    std::string requests;
    for (int n = 0; n < 50; ++n) {
        const std::uint64_t name = ++number;
        requests +=
            resp::command({"OBJ.GET", fmt::format("{:016x}", name), fresh_id(),
                           fmt::format("c=read,t=standard,d=100000,volume={:016x},units=2,shard={},hosts=1",
                                       name, name % 1000)});
    }
    return requests;
}
std::string half_a_write() {
    const std::string whole = put(kPiece, std::string(65'536, 'b'));
    return whole.substr(0, whole.size() / 2);
}
std::string read_with_many_fields() {
    return read_with_short_fields(20'000, 300);
}

struct Flood {
    const char *name;
    CrowdBehavior behavior;
};
Flood draw_flood(Draw &draw) {
    const int crowd = draw.of({1, 50, kMaxCrowd});
    const auto read_bytes = static_cast<std::size_t>(draw.of({0, 300, 65'536}));
    const int buffer = draw.of({0, 4096});
    const bool reconnects = draw.one_in(2);
    const auto flood = [&](const char *name, std::function<std::string()> opening,
                           std::function<std::string()> next) {
        return Flood{name,
                     {.connections = crowd,
                      .opening = std::move(opening),
                      .next = std::move(next),
                      .read_bytes_per_turn = read_bytes,
                      .reconnects = reconnects,
                      .receive_buffer_bytes = buffer}};
    };
    switch (draw.between(0, 6)) {
    case 0:
        return flood("invalid input", nullptr, [] { return std::string(50'000, '?'); });
    case 1:
        return flood("invalid commands", nullptr, [] { return repeated("*1\r\n$7\r\nINVALID\r\n", 2000); });
    case 2:
        return flood("pings", nullptr, [] { return repeated("*1\r\n$4\r\nPING\r\n", 2000); });
    case 3:
        return flood("half requests", half_a_write, nullptr);
    case 4:
        return flood("slow requests", half_a_write, [] { return std::string(100, 'b'); });
    case 5:
        return flood("short fields", nullptr, read_with_many_fields);
    default:
        return flood("new names", nullptr, reads_of_new_names);
    }
}

bool run_flood(unsigned seed) {
    Draw draw(seed);
    const int longest = draw.of({300, 600, 1500});
    const milliseconds node_time(draw.between(0, 10));
    const RespNode node([node_time](const auto &words, int) {
        std::this_thread::sleep_for(node_time);
        return RespNode::served(words[2]);
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(longest, longest), {}, 0, "n0", kLimits);
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = draw.between(3, 10); n > 0; --n)
        clients.emplace_back(program.port,
                             LoopOptions{.wait_ms = longest,
                                         .writes = draw.one_in(3),
                                         .depth = static_cast<std::size_t>(draw.between(1, 3)),
                                         .pause = std::chrono::microseconds(draw.of({1'000, 20'000})),
                                         .reconnects = true},
                             tally);
    const Flood flood = draw_flood(draw);
    std::optional<RunningCrowd> crowd;
    crowd.emplace(program.port, flood.behavior);
    std::this_thread::sleep_for(milliseconds(draw.between(300, 1500)));
    std::optional<Program> successor;
    if (draw.one_in(4))
        successor.emplace(program);
    const std::size_t peak_before = program.peak_memory_kb();
    std::vector<pid_t> processes{program.pid()};
    if (successor)
        processes.push_back(successor->pid());
    const ProcessEnd end = run_to_the_kill(draw, program, processes, longest);
    const std::size_t peak = std::max(peak_before, end.peak_kb);
    crowd.reset();
    clients.clear();
    const bool good =
        tally.lost == 0 && tally.late == 0 && peak < kLimitKb && end.in_order() && tally.served > 0;
    fmt::print("seed {} {}: {} x {} longest {}{} peak {} kB {}; ended {}\n", seed, good ? "good" : "BAD",
               flood.behavior.connections, flood.name, longest, successor ? " upgrade" : "", peak,
               tally.summary(), end.manner());
    if (!good)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    return good;
}

} // namespace

int main(int argc, char **argv) {
    return run_seeds(run_flood, argc, argv);
}
