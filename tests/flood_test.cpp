// Clients that send small or invalid requests at full speed: other clients get their answers in time.
// Usage: flood_test SCENARIO
#include "crowd.hpp"
#include "scenarios.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655", kPing = "*1\r\n$4\r\nPING\r\n";
constexpr Limits kLimits{.memory_mb = 32, .sockets = 1024};
constexpr auto kFloodTime = 5s;
constexpr int kWaitMs = 1000; // of the other client
// An answer later than this after its time is lost.
constexpr auto kLateness = 500ms;

std::string repeated(const std::string &text, int count) {
    std::string all;
    for (int n = 0; n < count; ++n)
        all += text;
    return all;
}

// What another client sees meanwhile: it sends one read after the other.
class OtherClient {
public:
    explicit OtherClient(const Program &program) : program_(program), thread_([this] { run(); }) {}
    ~OtherClient() { stop(); }
    // Each read has its answer in time, and some are served.
    void expect_service() {
        stop();
        fmt::print(stderr, "reads: {}, served: {}, slowest answer: {} ms\n", reads_, served_,
                   std::chrono::duration_cast<std::chrono::milliseconds>(slowest_).count());
        assert(reads_ > 0 && served_ > 0);
        assert(slowest_ < kWaitMs * 1ms + kLateness);
    }

private:
    void run() {
        while (!stopping_) {
            const auto sent = Clock::now();
            Socket client = program_.client(); // a new connection each time
            client.send(get(kPiece, 0, kWaitMs));
            const auto answer = client.value();
            assert(answer);
            ++reads_;
            served_ += answer->text == "value";
            slowest_ = std::max(slowest_, Clock::now() - sent);
            std::this_thread::sleep_for(10ms);
        }
    }
    void stop() {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    const Program &program_;
    std::atomic<bool> stopping_ = false;
    int reads_ = 0, served_ = 0;
    Clock::duration slowest_{};
    std::thread thread_;
};

void check(CrowdBehavior behavior) {
    const RespNode node([](const auto &, int) { return RespNode::served("value"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery, "", kSettings, {}, 0, "n0", kLimits);
    Crowd crowd(program.port, std::move(behavior));
    OtherClient other(program);
    crowd.run(kFloodTime);
    other.expect_service();
    const std::string log = program.log();
    if (const std::size_t sample = log.rfind("process_sample"); sample != std::string::npos)
        fmt::print(stderr, "{}", log.substr(sample, log.find('\n', sample) + 1 - sample));
}

void pings() {
    const std::string pings = repeated(kPing, 5000);
    check({.connections = 1, .next = [&] { return pings; }, .read_bytes_per_turn = 65'536});
}
void invalid_commands() {
    const std::string commands = repeated("*1\r\n$7\r\nINVALID\r\n", 5000);
    check({.connections = 1,
           .next = [&] { return commands; },
           .read_bytes_per_turn = 65'536,
           .reconnects = true});
}
std::string reads_of_new_names(bool new_shards) {
    static std::uint64_t number = 0;
    std::string requests;
    for (int n = 0; n < 200; ++n) {
        ++number;
        requests +=
            resp::command({"OBJ.GET", fmt::format("{:016x}", number), fresh_id(),
                           fmt::format("c=read,t=standard,d=1500,volume={:016x},units=2,shard={},hosts=1",
                                       number, new_shards ? number : 0)});
    }
    return requests;
}
void reads_of_new_volumes() {
    check(
        {.connections = 1, .next = [] { return reads_of_new_names(false); }, .read_bytes_per_turn = 65'536});
}
void reads_of_new_shards() {
    check({.connections = 1, .next = [] { return reads_of_new_names(true); }, .read_bytes_per_turn = 65'536});
}
// Hundreds of clients that do not read their replies.
void crowd_of_pings() {
    const std::string pings = repeated(kPing, 4000);
    check({.connections = 700, .next = [&] { return pings; }, .receive_buffer_bytes = 4096});
}

// Hundreds of clients that come anew as soon as their connection has ended.
void crowd_that_reconnects() {
    check({.connections = 500,
           .next = [] { return std::string(50'000, '?'); },
           .read_bytes_per_turn = 4096,
           .reconnects = true});
}

constexpr Scenario kScenarios[] = {
    {"pings", pings},
    {"invalid", invalid_commands},
    {"new_volumes", reads_of_new_volumes},
    {"new_shards", reads_of_new_shards},
    {"crowd", crowd_of_pings},
    {"crowd_reconnects", crowd_that_reconnects},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
