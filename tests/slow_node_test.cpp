// Nodes that take seconds to write an answer or to read a request.
// Usage: slow_node_test SCENARIO
#include "helper.hpp"
#include "scenarios.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";
// An answer later than this after its time is lost.
constexpr auto kLateness = 500ms;

// A node that writes its answer in `pieces` parts, with `pause` between them.
Server node_that_writes_slowly(std::string answer, std::size_t pieces, std::chrono::milliseconds pause) {
    return Server([answer = std::move(answer), pieces, pause](Socket &s) {
        while (s.value()) {
            const std::size_t part = answer.size() / pieces + 1;
            for (std::size_t at = 0; at < answer.size(); at += part) {
                if (at > 0)
                    std::this_thread::sleep_for(pause);
                if (!s.send(answer.substr(at, part)))
                    return;
            }
        }
    });
}

// Guards against cutting off an answer that its node still writes, with pauses.
void an_answer_written_slowly_is_served() {
    const std::string value(60'000, 'v');
    const Server node = node_that_writes_slowly(RespNode::served(value), 8, 150ms);
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery, "", settings_with_read_limit(5000));
    Socket client = program.client();
    client.send(get(kPiece, 0, 5000));
    const auto answer = client.value();
    assert(answer && answer->text == value);
    assert(program.figures().at("sends") == 1);
}
// The same for one long enough to be passed on as it comes, beyond its client's time.
void a_long_answer_written_slowly_is_served() {
    const std::string value(300'000, 'v');
    const Server node = node_that_writes_slowly(RespNode::served(value), 4, 3s);
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kPiece));
    const auto answer = client.value();
    assert(answer && answer->text == value);
}

// The same, while the broker ends its client's connection, which has sent its next request.
void a_long_answer_written_slowly_is_served_through_a_quiesce() {
    const std::string value(300'000, 'v');
    const Server node = node_that_writes_slowly(RespNode::served(value), 4, 2s);
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kPiece));
    std::this_thread::sleep_for(500ms);
    assert(program.call("POST", "quiesce").first == 200);
    std::this_thread::sleep_for(1500ms);
    client.send("*1\r\n$4\r\nPING\r\n" + get(kPiece));
    const auto answer = client.value();
    assert(answer && answer->text == value);
    assert(client.value()->text == "ERR draining");
    assert(client.value()->text.starts_with("BUSY"));
}

// Guards against an answer that comes seconds after its time, as the node is slow to read the request.
void a_request_read_slowly_is_answered_in_time() {
    constexpr int kWaitMs = 1000, kWrites = 60, kReceiveBufferBytes = 4096;
    Server node([&](Socket &s) {
        setsockopt(s.descriptor(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
        char byte;
        while (::recv(s.descriptor(), &byte, 1, 0) > 0)
            std::this_thread::sleep_for(1ms);
    });
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery);
    std::list<Socket> clients;
    const auto sent = Clock::now();
    for (int n = 0; n < kWrites; ++n) {
        clients.push_back(program.client());
        clients.back().send(put(kPiece, std::string(65'536, 'b'), 0, kWaitMs));
    }
    for (Socket &client : clients)
        assert(client.value());
    const auto took = Clock::now() - sent;
    fmt::print(stderr, "last answer after {} ms\n",
               std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    assert(took < kWaitMs * 1ms + kLateness);
}

constexpr Scenario kScenarios[] = {
    {"slow_answer", an_answer_written_slowly_is_served},
    {"slow_long_answer", a_long_answer_written_slowly_is_served},
    {"slow_long_answer_quiesce", a_long_answer_written_slowly_is_served_through_a_quiesce},
    {"slow_reader", a_request_read_slowly_is_answered_in_time},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
