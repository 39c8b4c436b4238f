/// \file
/// The program while its system calls on sockets fail in ways that Linux documents: every request gets
/// exactly one answer, and the program exits in time after SIGTERM.
#include "faults/syscall_faults.hpp"
#include "helper.hpp"

#include <algorithm>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";
constexpr auto kClientWait = 1500ms; // the default of get()
// kClientWait, and 500 ms in which an answer is too late to be of value but is not yet a failure of this
// test.
constexpr auto kAnswerWithin = 2000ms;

RespNode::Script echo(std::size_t length) {
    return [length](const auto &words, int) { return RespNode::served(words[2] + std::string(length, 'v')); };
}

struct Outcomes {
    std::size_t served = 0, refused = 0, failed = 0;
};

// Sends one request after another, on one connection or each on a new one; each must be answered in time.
Outcomes ask(const Program &program, int count, bool new_connections) {
    Outcomes outcomes;
    std::optional<Socket> client;
    for (int n = 0; n < count; ++n) {
        if (!client || new_connections)
            client.emplace(program.client());
        const auto sent_at = Clock::now();
        const std::string id = fresh_id();
        client->send(get(kPiece, 0, static_cast<int>(kClientWait.count()), id));
        const auto answer = client->value();
        assert(answer);
        assert(Clock::now() - sent_at < kAnswerWithin);
        if (answer->text.starts_with(id))
            ++outcomes.served;
        else if (answer->text.starts_with("BUSY"))
            ++outcomes.refused;
        else if (answer->text.starts_with("ERR failed"))
            ++outcomes.failed;
        else
            assert(!"unexpected answer");
    }
    return outcomes;
}

// Runs the program with a fault plan; at least `min_served` of each 100 requests must be served in spite of
// the faults.
void requests_are_answered(const std::string &plan, std::size_t value_bytes, std::size_t min_served) {
    fmt::print("{}\n", plan);
    std::fflush(stdout);
    RespNode node(echo(value_bytes));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const SyscallFaults faults(plan, 1);
    Program program(discovery);
    for (const bool new_connections : {false, true}) {
        const Outcomes outcomes = ask(program, 100, new_connections);
        fmt::print("  served {} refused {} failed {}\n", outcomes.served, outcomes.refused, outcomes.failed);
        assert(outcomes.served >= min_served);
    }
    const auto sigterm_at = Clock::now();
    program.signal(SIGTERM);
    assert(program.exit_code() == 0);
    // The longest deadline is 2.5 s, and the platform may kill the process 0.7 s later.
    assert(Clock::now() - sigterm_at < 3200ms);
}

// Guards against a pending connection that is forgotten after a failed accept: no further connection arrives
// that would wake up the program.
void a_connection_whose_accept_failed_is_accepted_all_the_same() {
    for (const std::string error : {"ECONNABORTED", "EPROTO", "EAGAIN", "ENFILE", "ENETDOWN"}) {
        RespNode node(echo(10));
        const Discovery discovery(member("s-1", node.server.port, 0));
        const SyscallFaults faults(fmt::format("accept={}:70", error), 1);
        const Program program(discovery);
        for (int n = 0; n < 20; ++n) {
            Socket client = program.client();
            const auto sent_at = Clock::now();
            client.send(get(kPiece));
            assert(client.value());
            assert(Clock::now() - sent_at < kAnswerWithin);
        }
    }
}

struct Scenario {
    const char *name;
    std::function<void()> run;
};
const std::vector<Scenario> kScenarios{
    {"accept", a_connection_whose_accept_failed_is_accepted_all_the_same},
    {"accept_mixed",
     [] { requests_are_answered("accept=ECONNABORTED:30;accept=EINTR:10;accept=ENFILE:10", 100, 90); }},
    {"send_short", [] { requests_are_answered("send=short:50", 20'000, 90); }},
    {"send_mixed", [] { requests_are_answered("send=short:20;send=EAGAIN:20;send=EINTR:10", 2'000, 90); }},
    {"recv_mixed", [] { requests_are_answered("recv=short:30;recv=EINTR:20", 2'000, 90); }},
    {"recv_again", [] { requests_are_answered("recv=EAGAIN:30", 2'000, 90); }},
    {"connect",
     [] {
         requests_are_answered(
             "connect=ENETUNREACH:20;connect=EADDRNOTAVAIL:20;socket=ENFILE:20;socket=ENOBUFS:10", 100, 50);
     }},
};

} // namespace

// Runs all scenarios, or only the one named by the first argument.
int main(int argc, char **argv) {
    const std::string only = argc > 1 ? argv[1] : "";
    for (const Scenario &scenario : kScenarios) {
        if (!only.empty() && scenario.name != only)
            continue;
        fmt::print("{}\n", scenario.name);
        std::fflush(stdout);
        scenario.run();
    }
}
