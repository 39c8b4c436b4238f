/// \file
/// Random floods, each generated from a seed: crowds of clients that send invalid input, small requests or
/// ever new names without end, stop half-way or do not read, beside clients that go on sending until the
/// process is killed, series of signals, hot restarts. SIGKILL is sent as early as the platform may send it.
/// No request of the well-behaved clients may be lost, and none answered too late, and the memory of the
/// process stays under its limit. Run with the first seed and the number of seeds; prints a line for each,
/// and the failed ones last.
#include "crowd.hpp"
#include "faults/draw.hpp"
#include "faults/request_loop.hpp"
#include "scenarios.hpp"

#include <algorithm>

using namespace test;

namespace {

using std::chrono::milliseconds;

constexpr Limits kLimits{.memory_mb = 32, .sockets = 1024};
constexpr std::size_t kLimitKb = std::size_t{32} * 1024;
constexpr int kMaxCrowd = 500; // connections, of the 728 that clients can have

std::string repeated(const std::string &text, int count) {
    std::string all;
    for (int n = 0; n < count; ++n)
        all += text;
    return all;
}
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
std::string read_with_short_fields() {
    const std::string list =
        "c=read,t=standard,d=300,volume=00000003b4d60021,units=2,shard=0,hosts=1" + repeated(",a=", 20'000);
    return resp::command({"OBJ.GET", kPiece, fresh_id(), list});
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
        return flood("short fields", nullptr, read_with_short_fields);
    default:
        return flood("new names", nullptr, reads_of_new_names);
    }
}

// Runs a crowd until it is destroyed.
class RunningCrowd {
public:
    RunningCrowd(int port, CrowdBehavior behavior)
        : crowd_(port, std::move(behavior)), thread_([this] {
              while (!stopping_)
                  crowd_.run(20ms);
          }) {}
    ~RunningCrowd() {
        stopping_ = true;
        thread_.join();
    }

private:
    Crowd crowd_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

// Resident memory of a process; 0 if it has ended.
std::size_t resident_kb(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string word; status >> word;)
        if (word == "VmRSS:" && status >> word)
            return std::stoul(word);
    return 0;
}

// The most that the processes' resident memory has been, together at one time.
class MemorySampler {
public:
    explicit MemorySampler(std::vector<pid_t> processes)
        : processes_(std::move(processes)), thread_([this] {
              for (; !stopping_; std::this_thread::sleep_for(5ms))
                  sample();
          }) {}
    ~MemorySampler() { stop(); }
    std::size_t stop() {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
        return peak_kb_;
    }

private:
    void sample() {
        std::size_t sum = 0;
        for (const pid_t process : processes_)
            sum += resident_kb(process);
        peak_kb_ = std::max(peak_kb_, sum);
    }
    const std::vector<pid_t> processes_;
    std::atomic<bool> stopping_ = false;
    std::size_t peak_kb_ = 0;
    std::thread thread_;
};

// Sends a series of signals, SIGTERM the first that ends the process, and SIGKILL as early as it may come.
void end_with_signals(Draw &draw, Program &program, int longest_ms) {
    for (int n = draw.between(0, 3); n > 0; --n) {
        program.signal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(draw.between(0, 50)));
    }
    program.signal(SIGTERM);
    const auto kill = Clock::now() + kill_after(longest_ms);
    for (int n = draw.between(0, 3); n > 0; --n) {
        std::this_thread::sleep_for(milliseconds(draw.between(0, 200)));
        program.signal(draw.of({SIGTERM, SIGHUP, SIGINT}));
    }
    std::this_thread::sleep_until(kill);
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
    std::size_t peak = program.peak_memory_kb();
    std::vector<pid_t> processes{program.pid()};
    if (successor)
        processes.push_back(successor->pid());
    MemorySampler sampler(processes);
    end_with_signals(draw, program, longest);
    peak = std::max(peak, sampler.stop());
    const bool by_itself = !program.running();
    if (!by_itself)
        program.signal(SIGKILL);
    const int code = program.exit_code();
    std::this_thread::sleep_for(50ms); // time for the clients to see their connections closed
    crowd.reset();
    clients.clear();
    const bool good = tally.lost == 0 && tally.late == 0 && peak < kLimitKb && (!by_itself || code == 0) &&
                      tally.served > 0;
    fmt::print("seed {} {}: {} x {} longest {}{} peak {} kB {}; ended {}\n", seed, good ? "good" : "BAD",
               flood.behavior.connections, flood.name, longest, successor ? " upgrade" : "", peak,
               tally.summary(), by_itself ? "by itself" : "by force");
    if (!good)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    return good;
}

} // namespace

int main(int argc, char **argv) {
    return run_seeds(run_flood, argc, argv);
}
