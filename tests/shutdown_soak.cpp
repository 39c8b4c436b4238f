// Many ends of the process, each drawn from a seed: short deadlines, nodes that hang or break, clients of
// many habits that go on sending, a crowd of idle ones, signals in series, a process that is held up, an
// upgrade. SIGKILL comes as early as it may. No request may be lost, and none answered too late. Run with the
// first seed and the number of seeds; each has a line, and those that failed are named last.
#include "faults/request_loop.hpp"

#include <algorithm>

using namespace test;

namespace {

using std::chrono::milliseconds;

class Draw {
public:
    explicit Draw(unsigned seed) : random_(seed) {}
    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
    bool one_in(int n) { return between(1, n) == 1; }
    template <typename T> T of(std::initializer_list<T> choices) {
        return *(choices.begin() + between(0, static_cast<int>(choices.size()) - 1));
    }

private:
    std::mt19937 random_;
};

// A node that can be told to hang, and that now and then refuses, fails or breaks its connection.
class TroubledNode {
public:
    TroubledNode(milliseconds time, int trouble_each, unsigned seed)
        : draw_(seed), node_([this, time, trouble_each](const auto &words, int) {
              while (hangs_ && !over_)
                  std::this_thread::sleep_for(1ms);
              if (over_)
                  return std::string();
              std::this_thread::sleep_for(time);
              return answer(words[2], trouble_each);
          }) {}
    ~TroubledNode() { over_ = true; }
    void hang(bool on) { hangs_ = on; }
    int port() const { return node_.server.port; }

private:
    std::string answer(const std::string &id, int trouble_each) {
        const std::lock_guard lock(mutex_);
        if (!draw_.one_in(trouble_each))
            return RespNode::served(id);
        return draw_.of<std::string>({"-BUSY\r\n", "-ERR failed\r\n", ""}); // the last: it breaks off
    }

    std::atomic<bool> hangs_ = false, over_ = false;
    std::mutex mutex_;
    Draw draw_;
    RespNode node_;
};

// Idle connections, more than the broker has descriptors for; those that it closes are opened again.
class Crowd {
public:
    Crowd(int port, int size) : thread_([this, port, size] { run(port, size); }) {}
    ~Crowd() {
        over_ = true;
        thread_.join();
    }

private:
    void run(int port, int size) {
        std::list<Socket> idle;
        for (; !over_; std::this_thread::sleep_for(2ms)) {
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
    std::atomic<bool> over_ = false;
    std::thread thread_;
};

struct Event {
    milliseconds at; // from SIGTERM
    std::function<void()> happen;
};

// What happens around SIGTERM, in the order of time.
std::vector<Event> draw_events(Draw &draw, Program &program,
                               std::vector<std::unique_ptr<TroubledNode>> &nodes, int longest_ms) {
    const int kill_ms = static_cast<int>(kill_after(longest_ms).count());
    std::vector<Event> events;
    const auto add = [&](int at_ms, std::function<void()> happen) {
        events.push_back({milliseconds(at_ms), std::move(happen)});
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
    if (draw.one_in(3)) { // held up for as long as the page allows
        const int from = draw.between(-50, kill_ms - 200);
        add(from, [&program] { program.signal(SIGSTOP); });
        add(from + draw.between(20, 150), [&program] { program.signal(SIGCONT); });
    }
    if (draw.one_in(5))
        add(draw.between(-1500, kill_ms / 2),
            [&program] { operators_call(program.control, "POST", "quiesce"); });
    std::ranges::stable_sort(events, {}, &Event::at);
    return events;
}

LoopHabits draw_habits(Draw &draw, int longest_ms) {
    LoopHabits habits;
    habits.wait_ms = draw.one_in(4) ? longest_ms : std::max(20, draw.between(longest_ms / 4, longest_ms));
    habits.writes = draw.one_in(3);
    habits.depth = static_cast<std::size_t>(draw.one_in(3) ? draw.between(2, 8) : 1);
    habits.pause = std::chrono::microseconds(draw.of({0, 0, 300, 5'000, 50'000, 400'000}));
    if (draw.one_in(4)) {
        habits.pieces = static_cast<std::size_t>(draw.between(2, 5));
        habits.between = std::chrono::microseconds(draw.of({100, 3'000, 30'000, 200'000}));
    }
    if (draw.one_in(4))
        habits.requests = draw.between(1, 3);
    habits.reconnects = habits.requests > 0 || draw.one_in(2);
    return habits;
}

// One end of a process; whether all held.
bool play(unsigned seed) {
    Draw draw(seed);
    const int longest = draw.of({60, 150, 300, 300, 600, 1500});
    std::vector<std::unique_ptr<TroubledNode>> nodes;
    std::string members;
    for (int n = draw.between(1, 3); n > 0; --n) {
        nodes.push_back(std::make_unique<TroubledNode>(milliseconds(draw.between(0, 10)),
                                                       draw.of({10, 100, 1'000'000}),
                                                       static_cast<unsigned>(draw.between(0, 1 << 30))));
        members += (members.empty() ? "" : ",") + member(fmt::format("s-{}", n), nodes.back()->port(), 0);
    }
    const Discovery discovery(members);
    Program program(discovery, "", with_deadlines(longest, draw.between(longest / 2, longest)));
    RequestTally tally;
    std::optional<Crowd> crowd;
    const bool crowded = draw.one_in(4);
    if (crowded)
        crowd.emplace(program.port, 400);
    std::list<LoopClient> clients;
    for (int n = draw.between(5, 40); n > 0; --n)
        clients.emplace_back(program.port, draw_habits(draw, longest), tally);
    const bool upgraded = draw.one_in(6);
    std::optional<Program> successor;
    const std::vector<Event> events = draw_events(draw, program, nodes, longest);
    std::this_thread::sleep_for(milliseconds(draw.between(50, 300)));
    if (upgraded)
        successor.emplace(program);

    const auto told = Clock::now() - std::min(0ms, events.front().at);
    const auto kill = told + kill_after(longest);
    for (const Event &event : events) {
        std::this_thread::sleep_until(std::min(kill, told + event.at));
        event.happen();
    }
    std::this_thread::sleep_until(kill);
    const bool by_itself = !program.running();
    if (!by_itself)
        program.signal(SIGKILL);
    const int code = program.exit_code();
    std::this_thread::sleep_for(50ms); // clients see the end
    crowd.reset();
    clients.clear();
    // The clients send nothing malformed, so that whatever the broker read or could have read has its answer.
    const bool all_taken = program.log().find(" connections_closed_unread=0\n") != std::string::npos;
    const bool good = tally.lost == 0 && tally.late == 0 && (!by_itself || (code == 0 && all_taken));
    fmt::print("seed {} {}: longest {} nodes {}{}{} {}; ended {}\n", seed, good ? "good" : "BAD", longest,
               nodes.size(), crowded ? " crowd" : "", upgraded ? " upgrade" : "", tally.summary(),
               by_itself ? "by itself" : "by force");
    if (!good || !by_itself)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    return good;
}

} // namespace

int main(int argc, char **argv) {
    if (argc != 3) {
        fmt::print(stderr, "usage: shutdown_soak FIRST-SEED SEEDS\n");
        return 2;
    }
    const auto first = static_cast<unsigned>(std::atoi(argv[1]));
    const auto count = static_cast<unsigned>(std::atoi(argv[2]));
    std::string bad;
    for (unsigned seed = first; seed < first + count; ++seed)
        if (!play(seed))
            bad += fmt::format(" {}", seed);
    fmt::print("{} seeds; failed:{}\n", count, bad.empty() ? " none" : bad);
    return bad.empty() ? 0 : 1;
}
