/// \file
/// Graceful shutdown while clients go on sending on their open connections: every request that reached the
/// broker before it closed the connection is answered. SIGKILL is sent as early as the platform may send it.
/// Run with the name of a scenario.
#include "faults/request_loop.hpp"

using namespace test;

namespace {

// The deadline of both classes; with 300 ms the process may be killed 1 s after SIGTERM.
constexpr int kLongestDeadlineMs = 300;

// A node that answers a request for kHanging after 3 s, when the test is over, and all others after `time`.
RespNode::Script hangs_or_echoes(std::chrono::milliseconds time) {
    return [time](const auto &words, int) {
        std::this_thread::sleep_for(words[1] == kHanging ? 3s : time);
        return RespNode::served(words[2]);
    };
}

// Prints the outcomes of the requests, and the broker's log if a request was lost.
void check(const RequestTally &tally, const Program &program) {
    fmt::print("{}\n", tally.summary());
    if (tally.lost > 0)
        fmt::print("{}\n", program.log());
    std::fflush(stdout);
    assert(tally.lost == 0);
}

// Sends SIGTERM, waits until the platform may kill the process, and kills it; fails if it still ran by then.
void terminate_at_earliest_kill_time(Program &program, int longest_ms) {
    const auto kill = Clock::now() + kill_after(longest_ms);
    program.signal(SIGTERM);
    std::this_thread::sleep_until(kill);
    const bool exited_in_time = !program.running();
    if (!exited_in_time)
        program.signal(SIGKILL);
    program.exit_code();
    assert(exited_in_time);
}

// Guards against a fault that caused an incident: requests hang at a node during the whole shutdown, the
// broker answers them shortly before it exits, and each client sends its next request as soon as it has the
// answer.
void next_requests_after_a_withdrawal_are_answered() {
    RespNode node(hangs_or_echoes(0ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    RequestTally tally;
    std::list<LoopClient> clients;
    // The clients wait longer than the class's deadline, so that the requests stay open until the broker's
    // final answers.
    for (int n = 0; n < 20; ++n)
        clients.emplace_back(program.port,
                             LoopOptions{.piece = kHanging, .wait_ms = 5000, .pause = n * 1500us}, tally);
    std::this_thread::sleep_for(200ms);
    terminate_at_earliest_kill_time(program, kLongestDeadlineMs);
    for (const LoopClient &client : clients)
        client.await_end();
    check(tally, program);
    assert(tally.refused >= 20); // each client's first request was refused by a final answer
}

// The last bytes of a request arrive just after the broker gave the previous request on the connection its
// final answer.
void requests_that_come_whole_during_the_withdrawal_are_answered() {
    RespNode node(hangs_or_echoes(0ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 20; ++n)
        clients.emplace_back(program.port,
                             LoopOptions{.piece = kHanging,
                                         .wait_ms = 5000,
                                         .depth = 2,
                                         .fragments = 2,
                                         .fragment_interval = std::chrono::milliseconds(835 + n * 4)},
                             tally);
    std::this_thread::sleep_for(200ms);
    terminate_at_earliest_kill_time(program, kLongestDeadlineMs);
    for (const LoopClient &client : clients)
        client.await_end();
    check(tally, program);
}

// Clients that send with hardly a pause, some of them pipelining, on connections that the broker closes
// between requests.
void busy_clients_are_answered_or_see_the_end() {
    RespNode node(hangs_or_echoes(2ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 20; ++n)
        clients.emplace_back(program.port,
                             LoopOptions{.depth = static_cast<std::size_t>(1 + n % 4), .pause = n * 200us},
                             tally);
    std::this_thread::sleep_for(200ms);
    terminate_at_earliest_kill_time(program, kLongestDeadlineMs);
    for (const LoopClient &client : clients)
        client.await_end();
    check(tally, program);
}

// Clients that open a connection for each request, until the broker stops listening.
void requests_on_new_connections_are_answered() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 12; ++n)
        clients.emplace_back(program.port, LoopOptions{.pause = n * 100us, .requests = 1, .reconnects = true},
                             tally);
    std::this_thread::sleep_for(200ms);
    terminate_at_earliest_kill_time(program, kLongestDeadlineMs);
    clients.clear();
    check(tally, program);
}

// Several requests arrive in one write after the broker has given its final answers: either all of them are
// answered, or the connection was closed before the first.
void a_batch_after_a_withdrawal_is_answered_whole() {
    constexpr int kClients = 20, kBatch = 3;
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    Socket idle = program.client(); // the broker does not exit before it has closed this connection
    idle.send(get(kPiece));
    assert(idle.value().has_value());
    const auto sigterm_at = Clock::now();
    program.signal(SIGTERM);
    // By then the broker closes connections, but has not yet given its final answers.
    std::this_thread::sleep_until(sigterm_at + 570ms);
    std::list<Socket> clients;
    for (int n = 0; n < kClients; ++n)
        clients.push_back(program.client());
    int answered_batches = 0, number = 0;
    for (Socket &client : clients) {
        // New connections stay open until 700 ms after SIGTERM.
        std::this_thread::sleep_until(sigterm_at + 650ms + ++number * 2ms);
        client.send(get(kPiece) + get(kPiece) + get(kPiece));
    }
    for (Socket &client : clients) {
        int answers = 0;
        while (client.value())
            ++answers;
        assert(answers == 0 || answers == kBatch);
        if (answers == kBatch)
            ++answered_batches;
    }
    fmt::print("{} of {} batches were answered\n", answered_batches, kClients);
    assert(program.exit_code() == 0);
}

// A client is idle until the broker closes its connection, and at once sends a request on a new one, as a
// client has to whose request crossed the close.
void a_request_sent_again_after_the_end_of_a_resting_connection_is_answered() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    Socket idle = program.client();
    idle.send(get(kPiece));
    assert(idle.value().has_value());
    const auto kill = Clock::now() + kill_after(kLongestDeadlineMs);
    program.signal(SIGTERM);
    idle.ended();
    Socket again = program.client();
    again.send(get(kPiece));
    assert(again.value().has_value());
    assert(program.exit_code() == 0 && Clock::now() < kill);
}

// A successor receives SIGTERM while its predecessor still runs: the predecessor resumes serving, and accepts
// new connections again.
void a_predecessor_listens_again_after_its_successor_ended() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program old(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    Program fresh(old);
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 8; ++n)
        clients.emplace_back(old.port, LoopOptions{.pause = 1ms, .requests = 2, .reconnects = true}, tally);
    std::this_thread::sleep_for(200ms);
    terminate_at_earliest_kill_time(fresh, kLongestDeadlineMs);
    old.await_log("hot_restart_successor_lost action=resume");
    const long before = tally.served;
    std::this_thread::sleep_for(500ms);
    clients.clear();
    check(tally, fresh);
    assert(tally.served > before);
}

// Waits until a process answers at the port; returns false if `child` has exited or none answers within 15 s.
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

// The log is on a full disk: each write of a log line fails, and nothing else may fail because of it.
void a_log_that_cannot_be_written_costs_no_request() {
    RespNode node(hangs_or_echoes(1ms));
    const Discovery discovery(member("s-1", node.server.port, 0));
    // Only writes the configuration for `child`.
    Program program(discovery, "", with_deadlines(kLongestDeadlineMs, kLongestDeadlineMs));
    program.signal(SIGKILL);
    program.exit_code();
    Child child;
    child.start({"--config", program.path("config.json")}, "/dev/full", program.path(""), program.control);
    assert(await_ready(program.port, child));
    RequestTally tally;
    std::list<LoopClient> clients;
    for (int n = 0; n < 8; ++n)
        clients.emplace_back(program.port, LoopOptions{.piece = n % 2 ? kPiece : kHanging, .pause = 1ms},
                             tally);
    std::this_thread::sleep_for(1500ms); // each second the broker may log a line on its costs (net/costs.hpp)
    const auto kill = Clock::now() + kill_after(kLongestDeadlineMs);
    child.signal(SIGTERM);
    for (const LoopClient &client : clients)
        client.await_end();
    const int code = child.exit_code();
    fmt::print("{} exit code {}\n", tally.summary(), code);
    std::fflush(stdout);
    assert(tally.lost == 0 && code == 0 && Clock::now() < kill);
}

// SIGHUP announces a new configuration while the process waits until its address is free: it starts all the
// same, and then reloads the configuration.
void a_hangup_during_the_start_is_borne() {
    const Discovery discovery(member("s-1", free_port(), 0));
    Program program(discovery);
    program.signal(SIGKILL);
    program.exit_code();
    std::optional<Server> port_holder(
        std::in_place, [](Socket &) {}, program.port);
    Child child;
    child.start({"--config", program.path("config.json")}, program.path("log-held"), program.path(""), 0);
    const auto log_contains = [&](const std::string &words) {
        std::ostringstream text;
        text << std::ifstream(program.path("log-held")).rdbuf();
        return text.str().find(words) != std::string::npos;
    };
    for (const auto until = Clock::now() + 10s; !log_contains("is held by another process");
         std::this_thread::sleep_for(5ms))
        assert(Clock::now() < until);
    for (int n = 0; n < 3; ++n)
        child.signal(SIGHUP);
    std::this_thread::sleep_for(50ms);
    port_holder.reset();
    assert(await_ready(program.port, child));
    for (const auto until = Clock::now() + 10s; !log_contains("config_reloaded discovery=");
         std::this_thread::sleep_for(5ms))
        assert(Clock::now() < until);
}

struct Scenario {
    const char *name;
    std::function<void()> run;
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
            scenario.run();
            return 0;
        }
    fmt::print(stderr, "usage: shutdown_test SCENARIO\n");
    return 2;
}
