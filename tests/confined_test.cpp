// Tests the program under the restrictions of the fleet benchmark; tests/confined.cpp installs the filter.
// The program must start, serve on loopback, sleep while idle, and exit cleanly at SIGTERM with every request
// answered.
#include "helper.hpp"

#include <fstream>

using namespace test;

namespace {

const std::string kDataKey = "7f3a9c21e0b4d655";

long cpu_ticks(pid_t pid) { // user and system time of all its threads, in clock ticks
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream rest(
        text.substr(text.rfind(')') + 2)); // skips the program name, which may contain spaces
    std::string field;
    long user = 0, system = 0;
    for (int n = 3; n <= 15 && rest >> field; ++n) {
        if (n == 14)
            user = std::stol(field);
        if (n == 15)
            system = std::stol(field);
    }
    return user + system;
}

// A hot restart needs a Unix socket, which the filter denies. The program must log this and serve without hot
// restart.
void serves_without_the_handover() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery);
    program.await_log("hot_restart_listen_failed path=");
    Socket client = program.client();
    for (int n = 0; n < 20; ++n) {
        client.send(get(kDataKey));
        assert(client.value()->text == "v");
    }
    program.signal(SIGTERM);
    assert(program.exit_code() == 0);
}

// No thread spins: in two seconds without work the program uses less than one second of CPU time.
void waits_when_idle() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery);
    Socket client = program.client();
    client.send(get(kDataKey));
    assert(client.value()->text == "v");
    const long before = cpu_ticks(program.pid());
    std::this_thread::sleep_for(2s);
    const long used = cpu_ticks(program.pid()) - before;
    fmt::print("idle for 2 s: {} ticks of {} a second\n", used, ::sysconf(_SC_CLK_TCK));
    assert(used < ::sysconf(_SC_CLK_TCK));
}

// A request accepted before SIGTERM is answered before the process exits, and the process exits by itself.
void answers_what_it_took_at_sigterm() {
    std::atomic<bool> node_may_answer = false;
    RespNode node([&](const auto &, int) {
        while (!node_may_answer)
            std::this_thread::sleep_for(1ms);
        return RespNode::served("late");
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery);
    Socket client = program.client();
    client.send(get(kDataKey));
    while (node.taken().empty())
        std::this_thread::sleep_for(1ms);
    program.signal(SIGTERM);
    std::this_thread::sleep_for(100ms); // the node answers during the shutdown
    node_may_answer = true;
    assert(client.value()->text == "late");
    assert(program.exit_code() == 0);
}

} // namespace

int main() {
    serves_without_the_handover();
    waits_when_idle();
    answers_what_it_took_at_sigterm();
    fmt::print("confined: 3 passed, 0 failed\n");
}
