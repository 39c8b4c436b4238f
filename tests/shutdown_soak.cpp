/// \file
/// Random graceful shutdowns, each generated from a seed: short deadlines, nodes that hang or fail, clients
/// of many kinds that go on sending, a crowd of idle connections, series of signals, a process stopped for a
/// while, a hot restart. SIGKILL is sent as early as the platform may send it. No request may be lost, and
/// none answered too late. Run with the first seed and the number of seeds; prints a line for each, and the
/// failed ones last.
#include "faults/draw.hpp"
#include "faults/request_loop.hpp"
#include "scenarios.hpp"

#include <algorithm>

using namespace test;

namespace {

using std::chrono::milliseconds;

// A node that the test can make hang. At random, one request in `requests_per_fault` on average is refused,
// failed or ends the connection.
class FaultyNode {
public:
    FaultyNode(milliseconds time, int requests_per_fault, unsigned seed)
        : draw_(seed), node_([this, time, requests_per_fault](const auto &words, int) {
              while (hangs_ && !stopping_)
                  std::this_thread::sleep_for(1ms);
              if (stopping_)
                  return std::string();
              std::this_thread::sleep_for(time);
              return answer(words[2], requests_per_fault);
          }) {}
    ~FaultyNode() { stopping_ = true; }
    void hang(bool on) { hangs_ = on; }
    int port() const { return node_.server.port; }

private:
    std::string answer(const std::string &id, int requests_per_fault) {
        const std::lock_guard lock(mutex_);
        if (!draw_.one_in(requests_per_fault))
            return RespNode::served(id);
        // The empty answer closes the connection.
        return draw_.of<std::string>({"-BUSY\r\n", "-ERR failed\r\n", ""});
    }

    std::atomic<bool> hangs_ = false, stopping_ = false;
    std::mutex mutex_;
    Draw draw_;
    RespNode node_;
};

// Keeps `size` idle connections open, more than the broker has descriptors for, and replaces those that the
// broker closes.
class IdleConnections {
public:
    IdleConnections(int port, int size) : thread_([this, port, size] { run(port, size); }) {}
    ~IdleConnections() {
        stopping_ = true;
        thread_.join();
    }

private:
    void run(int port, int size) {
        std::list<Socket> idle;
        for (; !stopping_; std::this_thread::sleep_for(2ms)) {
            std::erase_if(idle, [](const Socket &socket) { return !socket.silent_for(0); });
            for (int n = 0; n < 8 && static_cast<int>(idle.size()) < size; ++n) {
                const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
                const sockaddr_in at = local(port);
                Socket socket(fd);
                if (::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0)
                    break;
                idle.push_back(std::move(socket));
            }
        }
    }
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

struct Event {
    milliseconds at; // relative to SIGTERM
    std::function<void()> run;
};

// The events around SIGTERM, in chronological order.
std::vector<Event> draw_events(Draw &draw, Program &program, std::vector<std::unique_ptr<FaultyNode>> &nodes,
                               int longest_ms) {
    const int kill_ms = static_cast<int>(kill_after(longest_ms).count());
    std::vector<Event> events;
    const auto add = [&](int at_ms, std::function<void()> run) {
        events.push_back({milliseconds(at_ms), std::move(run)});
    };
    add(0, [&program] { program.signal(SIGTERM); });
    for (int n = draw.between(0, 6); n > 0; --n) {
        const int at = draw.between(-150, kill_ms);
        const int number = at > 0 ? draw.of({SIGTERM, SIGHUP, SIGINT}) : SIGHUP;
        add(at, [&program, number] { program.signal(number); });
    }
    for (const auto &node : nodes) {
        if (draw.one_in(3))
            continue;
        const int from = draw.between(-longest_ms, kill_ms);
        add(from, [&node] { node->hang(true); });
        if (draw.one_in(3))
            add(draw.between(from, kill_ms), [&node] { node->hang(false); });
    }
    // Stops the process for at most 150 ms, the longest pause for which the guarantees are documented.
    if (draw.one_in(3)) {
        const int from = draw.between(-50, kill_ms - 200);
        add(from, [&program] { program.signal(SIGSTOP); });
        add(from + draw.between(20, 150), [&program] { program.signal(SIGCONT); });
    }
    if (draw.one_in(5))
        add(draw.between(-1500, kill_ms / 2), [&program] { admin_call(program.control, "POST", "quiesce"); });
    std::ranges::stable_sort(events, {}, &Event::at);
    return events;
}

LoopOptions draw_options(Draw &draw, int longest_ms) {
    LoopOptions options;
    options.wait_ms = draw.one_in(4) ? longest_ms : std::max(20, draw.between(longest_ms / 4, longest_ms));
    options.writes = draw.one_in(3);
    options.depth = static_cast<std::size_t>(draw.one_in(3) ? draw.between(2, 8) : 1);
    options.pause = std::chrono::microseconds(draw.of({0, 0, 300, 5'000, 50'000, 400'000}));
    if (draw.one_in(4)) {
        options.fragments = static_cast<std::size_t>(draw.between(2, 5));
        options.fragment_interval = std::chrono::microseconds(draw.of({100, 3'000, 30'000, 200'000}));
    }
    if (draw.one_in(4))
        options.requests = draw.between(1, 3);
    options.reconnects = options.requests > 0 || draw.one_in(2);
    return options;
}

// Runs the shutdown of one seed; returns whether all guarantees held.
bool run_shutdown(unsigned seed) {
    Draw draw(seed);
    const int longest = draw.of({60, 150, 300, 300, 600, 1500});
    std::vector<std::unique_ptr<FaultyNode>> nodes;
    std::string members;
    for (int n = draw.between(1, 3); n > 0; --n) {
        nodes.push_back(std::make_unique<FaultyNode>(milliseconds(draw.between(0, 10)),
                                                     draw.of({10, 100, 1'000'000}),
                                                     static_cast<unsigned>(draw.between(0, 1 << 30))));
        members += (members.empty() ? "" : ",") + member(fmt::format("s-{}", n), nodes.back()->port(), 0);
    }
    const Discovery discovery(members);
    Program program(discovery, "", with_deadlines(longest, draw.between(longest / 2, longest)));
    RequestTally tally;
    std::optional<IdleConnections> idle_connections;
    const bool crowded = draw.one_in(4);
    if (crowded)
        idle_connections.emplace(program.port, 400);
    std::list<LoopClient> clients;
    for (int n = draw.between(5, 40); n > 0; --n)
        clients.emplace_back(program.port, draw_options(draw, longest), tally);
    const bool upgraded = draw.one_in(6);
    std::optional<Program> successor;
    const std::vector<Event> events = draw_events(draw, program, nodes, longest);
    std::this_thread::sleep_for(milliseconds(draw.between(50, 300)));
    if (upgraded)
        successor.emplace(program);

    const auto sigterm_at = Clock::now() - std::min(0ms, events.front().at);
    const auto kill = sigterm_at + kill_after(longest);
    for (const Event &event : events) {
        std::this_thread::sleep_until(std::min(kill, sigterm_at + event.at));
        event.run();
    }
    std::this_thread::sleep_until(kill);
    const bool exited_in_time = !program.running();
    if (!exited_in_time)
        program.signal(SIGKILL);
    const int code = program.exit_code();
    std::this_thread::sleep_for(50ms); // time for the clients to see their connections closed
    idle_connections.reset();
    clients.clear();
    // The clients send nothing malformed, so every request that the broker read or could have read must have
    // been answered: it must not have closed a connection with unread bytes.
    const bool no_unread_bytes = program.log().find(" connections_closed_unread=0\n") != std::string::npos;
    const bool good =
        tally.lost == 0 && tally.late == 0 && (!exited_in_time || (code == 0 && no_unread_bytes));
    fmt::print("seed {} {}: longest {} nodes {}{}{} {}; ended {}\n", seed, good ? "good" : "BAD", longest,
               nodes.size(), crowded ? " crowd" : "", upgraded ? " upgrade" : "", tally.summary(),
               exited_in_time ? "by itself" : "by force");
    if (!good || !exited_in_time)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    return good;
}

} // namespace

int main(int argc, char **argv) {
    return run_seeds(run_shutdown, argc, argv);
}
