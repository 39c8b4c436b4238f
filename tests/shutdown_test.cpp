// The end of a process while its clients go on sending on their open connections: whatever reached it before
// it ended a connection has its answer. SIGKILL comes as early as it may. Run with the name of a scenario.
#include "faults/request_loop.hpp"

using namespace test;

namespace {

constexpr int kShort = 300; // ms: the longest deadline, so that the end may be forced 1 s after SIGTERM

// A node that answers a piece at once, and the hanging piece only after the test.
RespNode::Script hangs_or_echoes(std::chrono::milliseconds time) {
    return [time](const auto &words, int) {
        std::this_thread::sleep_for(words[1] == kHanging ? 3s : time);
        return RespNode::served(words[2]);
    };
}

// Prints what became of the requests, and where one was lost what the broker said.
void check(const RequestTally &tally, const Program &program) {
    fmt::print("{}\n", tally.summary());
    if (tally.lost > 0)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    assert(tally.lost == 0);
}

// Sends SIGTERM, waits until the process may be ended by force, and does so.
void end_at_the_earliest(Program &program, int longest_ms) {
    const auto kill = Clock::now() + kill_after(longest_ms);
    program.signal(SIGTERM);
    std::this_thread::sleep_until(kill);
    const bool by_itself = !program.running();
    if (!by_itself)
        program.signal(SIGKILL);
    program.exit_code();
    assert(by_itself);
}

// The incident: requests hang at a node through the whole of the shutdown, are withdrawn shortly before the
// end, and each client sends its next one the moment it has the answer.
void next_requests_after_a_withdrawal_are_answered() {
    RespNode node(hangs_or_echoes(0ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort));
    RequestTally tally;
    std::list<LoopClient> clients;
    // Its wait is longer than the class's deadline, so that the request is open until it is withdrawn.
    for (int n = 0; n < 20; ++n)
        clients.emplace_back(program.port,
                             LoopHabits{.piece = kHanging, .wait_ms = 5000, .pause = n * 1500us}, tally);
    std::this_thread::sleep_for(200ms);
    end_at_the_earliest(program, kShort);
    for (const LoopClient &client : clients)
        client.await_end();
    check(tally, program);
    assert(tally.refused >= 20); // all were withdrawn
}

// The last bytes of a request come just after the one before it on its connection has been withdrawn.
void requests_that_come_whole_during_the_withdrawal_are_answered() {
    RespNode node(hangs_or_echoes(0ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 20; ++n)
        clients.emplace_back(program.port,
                             LoopHabits{.piece = kHanging,
                                        .wait_ms = 5000,
                                        .depth = 2,
                                        .pieces = 2,
                                        .between = std::chrono::milliseconds(835 + n * 4)},
                             tally);
    std::this_thread::sleep_for(200ms);
    end_at_the_earliest(program, kShort);
    for (const LoopClient &client : clients)
        client.await_end();
    check(tally, program);
}

// Clients without a pause, some of which pipeline, on connections that are let go between requests.
void busy_clients_are_answered_or_see_the_end() {
    RespNode node(hangs_or_echoes(2ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 20; ++n)
        clients.emplace_back(program.port,
                             LoopHabits{.depth = static_cast<std::size_t>(1 + n % 4), .pause = n * 200us},
                             tally);
    std::this_thread::sleep_for(200ms);
    end_at_the_earliest(program, kShort);
    for (const LoopClient &client : clients)
        client.await_end();
    check(tally, program);
}

// Clients that open a connection for each request, up to the moment in which the broker stops listening.
void requests_on_new_connections_are_answered() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 12; ++n)
        clients.emplace_back(program.port, LoopHabits{.pause = n * 100us, .requests = 1, .reconnects = true},
                             tally);
    std::this_thread::sleep_for(200ms);
    end_at_the_earliest(program, kShort);
    clients.clear();
    check(tally, program);
}

// Several requests come in one piece after requests have been withdrawn: each of them has its answer, or the
// end came before all.
void a_batch_after_a_withdrawal_is_answered_whole() {
    constexpr int kClients = 20, kBatch = 3;
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort));
    Socket resting = program.client(); // for which the broker stays
    resting.send(get(kPiece));
    assert(resting.value().has_value());
    const auto told = Clock::now();
    program.signal(SIGTERM);
    std::this_thread::sleep_until(told + 570ms); // connections are let go, requests not withdrawn yet
    std::list<Socket> clients;
    for (int n = 0; n < kClients; ++n)
        clients.push_back(program.client());
    int whole = 0, at = 0;
    for (Socket &client : clients) {
        std::this_thread::sleep_until(told + 650ms + ++at * 2ms); // new connections stand until 700 ms
        client.send(get(kPiece) + get(kPiece) + get(kPiece));
    }
    for (Socket &client : clients) {
        int answers = 0;
        while (client.value())
            ++answers;
        assert(answers == 0 || answers == kBatch);
        if (answers == kBatch)
            ++whole;
    }
    fmt::print("{} of {} batches were answered\n", whole, kClients);
    assert(program.exit_code() == 0);
}

// A client rests until the broker ends its connection, and asks on a new one at once, as one has to whose
// request crossed the end.
void a_request_sent_again_after_the_end_of_a_resting_connection_is_answered() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort));
    Socket resting = program.client();
    resting.send(get(kPiece));
    assert(resting.value().has_value());
    const auto kill = Clock::now() + kill_after(kShort);
    program.signal(SIGTERM);
    resting.ended();
    Socket again = program.client();
    again.send(get(kPiece));
    assert(again.value().has_value());
    assert(program.exit_code() == 0 && Clock::now() < kill);
}

// A successor is told to end while its predecessor still lives: that serves again, new connections, too.
void a_predecessor_listens_again_after_its_successor_ended() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program old(discovery, "", with_deadlines(kShort, kShort));
    Program fresh(old);
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 8; ++n)
        clients.emplace_back(old.port, LoopHabits{.pause = 1ms, .requests = 2, .reconnects = true}, tally);
    std::this_thread::sleep_for(200ms);
    end_at_the_earliest(fresh, kShort);
    old.await_log("hot_restart_successor_lost action=resume");
    const long before = tally.served;
    std::this_thread::sleep_for(500ms);
    clients.clear();
    check(tally, fresh);
    assert(tally.served > before);
}

// Waits until a process answers at the port, or has gone.
bool await_ready(int port, const Child &child) {
    for (const auto until = Clock::now() + 15s; Clock::now() < until && child.running();
         std::this_thread::sleep_for(5ms)) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in at = local(port);
        Socket socket(fd);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0)
            continue;
        if (!socket.send("*1\r\n$4\r\nPING\r\n"))
            continue;
        if (const auto answer = socket.value(); answer && answer->text == "PONG")
            return true;
    }
    return false;
}

// The log is on a disk that is full: every line of it fails to be written, and nothing else does.
void a_log_that_cannot_be_written_costs_no_request() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kShort, kShort)); // for its configuration
    program.signal(SIGKILL);
    program.exit_code();
    Child child;
    child.start({"--config", program.path("config.json")}, "/dev/full", program.path(""), program.control);
    assert(await_ready(program.port, child));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 8; ++n)
        clients.emplace_back(program.port, LoopHabits{.piece = n % 2 ? kPiece : kHanging, .pause = 1ms},
                             tally);
    std::this_thread::sleep_for(1500ms); // a line on what was asked of the fleet falls due each second
    const auto kill = Clock::now() + kill_after(kShort);
    child.signal(SIGTERM);
    for (const LoopClient &client : clients)
        client.await_end();
    const int code = child.exit_code();
    fmt::print("{} exit code {}\n", tally.summary(), code);
    std::fflush(stdout);
    assert(tally.lost == 0 && code == 0 && Clock::now() < kill);
}

// A new configuration is announced while the process waits for its address: it starts all the same.
void a_hangup_during_the_start_is_borne() {
    const Discovery discovery(member("s-1", free_port(), 0));
    Program program(discovery);
    program.signal(SIGKILL);
    program.exit_code();
    std::optional<Server> holder(
        std::in_place, [](Socket &) {}, program.port);
    Child child;
    child.start({"--config", program.path("config.json")}, program.path("log-held"), program.path(""), 0);
    const auto said = [&](const std::string &words) {
        std::ostringstream text;
        text << std::ifstream(program.path("log-held")).rdbuf();
        return text.str().find(words) != std::string::npos;
    };
    for (const auto until = Clock::now() + 10s; !said("is held by another process");
         std::this_thread::sleep_for(5ms))
        assert(Clock::now() < until);
    for (int n = 0; n < 3; ++n)
        child.signal(SIGHUP);
    std::this_thread::sleep_for(50ms);
    holder.reset();
    assert(await_ready(program.port, child));
    for (const auto until = Clock::now() + 10s; !said("config_reloaded discovery=");
         std::this_thread::sleep_for(5ms))
        assert(Clock::now() < until);
}

struct Scenario {
    const char *name;
    std::function<void()> play;
};
const std::vector<Scenario> kScenarios{
    {"withdrawn", next_requests_after_a_withdrawal_are_answered},
    {"partial", requests_that_come_whole_during_the_withdrawal_are_answered},
    {"busy", busy_clients_are_answered_or_see_the_end},
    {"newcomers", requests_on_new_connections_are_answered},
    {"batch", a_batch_after_a_withdrawal_is_answered_whole},
    {"sent_again", a_request_sent_again_after_the_end_of_a_resting_connection_is_answered},
    {"log_full", a_log_that_cannot_be_written_costs_no_request},
    {"hangup_at_start", a_hangup_during_the_start_is_borne},
    {"successor", a_predecessor_listens_again_after_its_successor_ended},
};

} // namespace

int main(int argc, char **argv) {
    for (const Scenario &scenario : kScenarios)
        if (argc == 2 && std::string_view(scenario.name) == argv[1]) {
            scenario.play();
            return 0;
        }
    fmt::print(stderr, "usage: shutdown_test SCENARIO\n");
    return 2;
}
