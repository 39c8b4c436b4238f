// The program while its system calls on sockets fail in ways that Linux documents: every request gets its one
// answer, and the program ends in time.
#include "faults/syscall_faults.hpp"
#include "helper.hpp"

#include <algorithm>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";
constexpr auto kWait = 1500ms;         // a client's, as get() has it
constexpr auto kAnswerWithin = 2000ms; // its time, and half a second in which an answer only earns nothing

RespNode::Script echo(std::size_t length) {
    return [length](const auto &words, int) { return RespNode::served(words[2] + std::string(length, 'v')); };
}

struct Tally {
    std::size_t served = 0, refused = 0, failed = 0;
};

// Asks one request after another on a connection, or each on a new one; each has to have its answer in time.
Tally ask(const Program &program, int count, bool new_connections) {
    Tally tally;
    std::optional<Socket> client;
    for (int n = 0; n < count; ++n) {
        if (!client || new_connections)
            client.emplace(program.client());
        const auto from = Clock::now();
        const std::string id = fresh_id();
        client->send(get(kPiece, 0, static_cast<int>(kWait.count()), id));
        const auto answer = client->value();
        assert(answer);
        assert(Clock::now() - from < kAnswerWithin);
        if (answer->text.starts_with(id))
            ++tally.served;
        else if (answer->text.starts_with("BUSY"))
            ++tally.refused;
        else if (answer->text.starts_with("ERR failed"))
            ++tally.failed;
        else
            assert(!"an answer that is none");
    }
    return tally;
}

// `least`: how many of 100 requests have to be served all the same.
void requests_are_answered(const std::string &plan, std::size_t value_bytes, std::size_t least) {
    fmt::print("{}\n", plan);
    std::fflush(stdout);
    RespNode node(echo(value_bytes));
    const Discovery discovery(member("s-1", node.server.port, 0));
    const SyscallFaults faults(plan, 1);
    Program program(discovery);
    for (const bool new_connections : {false, true}) {
        const Tally tally = ask(program, 100, new_connections);
        fmt::print("  served {} refused {} failed {}\n", tally.served, tally.refused, tally.failed);
        assert(tally.served >= least);
    }
    const auto told = Clock::now();
    program.signal(SIGTERM);
    assert(program.exit_code() == 0);
    assert(Clock::now() - told < 3200ms); // the longest deadline and 0.7 s
}

// No connection comes after it that would wake the program up.
void a_connection_whose_accept_failed_is_accepted_all_the_same() {
    for (const std::string error : {"ECONNABORTED", "EPROTO", "EAGAIN", "ENFILE", "ENETDOWN"}) {
        RespNode node(echo(10));
        const Discovery discovery(member("s-1", node.server.port, 0));
        const SyscallFaults faults(fmt::format("accept={}:70", error), 1);
        const Program program(discovery);
        for (int n = 0; n < 20; ++n) {
            Socket client = program.client();
            const auto from = Clock::now();
            client.send(get(kPiece));
            assert(client.value());
            assert(Clock::now() - from < kAnswerWithin);
        }
    }
}

struct Scenario {
    const char *name;
    std::function<void()> play;
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

// Plays all scenarios, or the one that is named.
int main(int argc, char **argv) {
    const std::string only = argc > 1 ? argv[1] : "";
    for (const Scenario &scenario : kScenarios) {
        if (!only.empty() && scenario.name != only)
            continue;
        fmt::print("{}\n", scenario.name);
        std::fflush(stdout);
        scenario.play();
    }
}
