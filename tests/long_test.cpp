/// \file
/// Values long enough to be streamed, with slow nodes and slow clients.
#include "helper.hpp"

using namespace test;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";
constexpr std::size_t kLongValueBytes = 3'000'000;

// A node that answers kPiece with the header of a long value, after which the script writes the value, and
// all other requests with a short value.
class LongNode {
public:
    using Script = std::function<void(Socket &)>;
    explicit LongNode(Script script)
        : server([script](Socket &s) {
              while (const auto command = s.value()) {
                  if (command->elements[1].text != kPiece) {
                      s.send(RespNode::served("short"));
                      continue;
                  }
                  s.send(fmt::format("*3\r\n${}\r\n", kLongValueBytes));
                  script(s);
              }
          }) {}
    Server server;
};
// The end of a node's answer, behind the value.
const std::string kAnswerEnd = "\r\n$6\r\nused=3\r\n$-1\r\n";

std::size_t read_until(Socket &s, std::size_t bytes) {
    while (s.in.size() < bytes && s.more())
        ;
    return s.in.size();
}

// The broker forwards the first bytes while the node is still writing. The value continues although the
// client's deadline passes and the node pauses for long; requests pipelined behind it are answered after it.
void a_long_value_is_passed_on_as_it_comes() {
    std::atomic<bool> continue_sending = false;
    LongNode node([&](Socket &s) {
        s.send(std::string(100'000, 'a'));
        while (!continue_sending)
            std::this_thread::sleep_for(5ms);
        std::this_thread::sleep_for(800ms);
        s.send(std::string(kLongValueBytes - 100'000, 'b') + kAnswerEnd);
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kPiece, 0, 500) + get("00000000000000bb") + "*1\r\n$4\r\nPING\r\n");
    const std::string head = fmt::format("${}\r\n", kLongValueBytes);
    assert(read_until(client, head.size() + 100'000) == head.size() + 100'000);
    while (program.figures().at("current") != 1) // the request for the short value may still be open
        std::this_thread::sleep_for(5ms);
    continue_sending = true;
    const auto value = client.value();
    assert(value->text == std::string(100'000, 'a') + std::string(kLongValueBytes - 100'000, 'b'));
    assert(client.value()->text == "short" && client.value()->text == "PONG");
    assert(program.figures().at("answered.read") == 2 && program.figures().at("sends") == 2);
}

// Guards against buffering more than the machine's memory: 40 values of 3 MB each, in a program configured
// with 16 MB, for clients that do not read yet.
void slow_readers_hold_little_memory() {
    LongNode node([](Socket &s) { s.send(std::string(kLongValueBytes, 'v') + kAnswerEnd); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    const std::size_t before = program.memory_kb();
    std::list<Socket> clients;
    for (int n = 0; n < 40; ++n) {
        clients.push_back(program.client());
        clients.back().send(get(kPiece));
        assert(read_until(clients.back(), 1000) >= 1000); // the value has begun to arrive
    }
    assert(program.memory_kb() < before + 6 * 1024);
    for (Socket &client : clients)
        assert(client.value()->text == std::string(kLongValueBytes, 'v'));
    assert(program.figures().at("answered.read") == 40);
}

// If the node breaks off in the middle of a value, the broker closes the client's connection and makes no
// further attempt.
void a_break_midway_ends_the_connection() {
    LongNode node([](Socket &s) {
        s.send(std::string(200'000, 'v'));
        s.shut();
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kPiece));
    client.ended();
    assert(client.in.size() < kLongValueBytes && client.in.starts_with("$3000000\r\nvvvv"));
    const auto figures = program.figures();
    assert(figures.at("errored.read") == 1 && figures.at("sends") == 1 && figures.at("current") == 0);
}

// If the client disconnects in the middle of a value, the broker ends the attempt and closes the connection
// to the node.
void a_client_that_leaves_midway_ends_the_attempt() {
    std::atomic<int> ended = 0;
    LongNode node([&](Socket &s) {
        for (int n = 0; n < 10'000; ++n) {
            s.send("v");
            if (!s.silent_for(2))
                break;
        }
        ++ended;
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    {
        Socket client = program.client();
        client.send(get(kPiece));
        assert(read_until(client, 20) >= 20);
    }
    for (int n = 0; n < 200 && !ended; ++n)
        std::this_thread::sleep_for(10ms);
    assert(ended == 1 && program.figures().at("current") == 0);
}

// Guards against an absurd length in a node's answer (3 GB): the broker forwards nothing of it, and the next
// attempt's answer is served.
void a_claim_beyond_all_measure_is_not_begun() {
    RespNode node(
        [](const auto &, int nth) { return nth == 1 ? "*3\r\n$3000000000\r\nvvv" : RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery, "", settings_with_relaxed_reads());
    Socket client = program.client();
    client.send(get(kPiece, 0, kRelaxedReadWaitMs));
    assert(client.value()->text == "v");
}

} // namespace

int main() {
    a_long_value_is_passed_on_as_it_comes();
    slow_readers_hold_little_memory();
    a_break_midway_ends_the_connection();
    a_client_that_leaves_midway_ends_the_attempt();
    a_claim_beyond_all_measure_is_not_begun();
}
