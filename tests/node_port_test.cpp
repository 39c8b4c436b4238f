/// \file
/// The node ports, run within this process against fake nodes and brokers.
/// Usage: node_port_test SCENARIO
#include "nvme_target.hpp"
#include "scenarios.hpp"

#include "net/nvme/node_port.hpp"
#include "net/resp/node_port.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace test;
namespace core = marblewood::core;
namespace net = marblewood::net;
namespace asio = boost::asio;
using marblewood::Micros;
using marblewood::NodeId;
using marblewood::Status;

namespace {

constexpr Micros kAttemptTime = 5'000'000;
constexpr Micros kLongestAttempt = 10'000'000; // a value that is streamed may fall silent for 5 s
constexpr int kDescriptors = 256;
constexpr std::size_t kMemoryBytes = std::size_t{8} << 20;
const NodeId kNode{1};
constexpr std::uint64_t kKey = 0x105;

/// What one attempt ended with.
struct Result {
    bool ended = false;
    core::AttemptResult attempt;
    std::string streamed; ///< what a client was sent of a long value
    bool stream_complete = false;
};

/// The event loop, and all that a port needs of the broker.
class Loop {
public:
    Loop() {
        settings.classes.resize(1);
        settings.classes[0].name = "read";
        settings.plans.resize(1);
        settings.plans[0].name = "standard";
    }

    std::shared_ptr<core::Attempt> attempt(bool write = false, std::string body = {},
                                           std::uint64_t key = kKey) {
        auto request = std::make_shared<core::Request>();
        request->id = "id";
        request->data_key = fmt::format("{:016x}", key);
        request->arrival.write = write;
        request->arrival.cls = 0;
        request->arrival.plan = 0;
        request->body = std::move(body);
        auto attempt = std::make_shared<core::Attempt>();
        attempt->request = std::move(request);
        attempt->node = kNode;
        attempt->started_at = clock.now();
        attempt->expires_at = clock.now() + kAttemptTime;
        attempt->may_write = [] { return true; };
        attempt->on_written = [] {};
        return attempt;
    }

    /// Starts an attempt, and the reading of its value if it is streamed. `result` has to outlive both.
    void start(core::NodePort &port, const std::shared_ptr<core::Attempt> &attempt, Result &result) {
        attempt->begin_stream = [this, &result, running = attempt.get()](std::size_t length) {
            running->stream = std::make_shared<core::Stream>(io.get_executor(), memory, length);
            asio::co_spawn(io, read(running->stream, result), asio::detached);
        };
        asio::co_spawn(io, port.run(attempt), [&](const std::exception_ptr &, core::AttemptResult ended) {
            result.attempt = std::move(ended);
            result.ended = true;
        });
    }
    /// Runs the loop until the attempt has ended. Fails the test if that takes longer than an attempt may.
    void finish(const Result &result) {
        const Micros latest = clock.now() + kLongestAttempt;
        while (!result.ended) {
            io.restart();
            io.run_one_for(10ms);
            assert(clock.now() < latest);
        }
        settle();
    }
    Result run(core::NodePort &port, const std::shared_ptr<core::Attempt> &attempt) {
        Result result;
        start(port, attempt, result);
        finish(result);
        return result;
    }
    /// Runs what can run without waiting.
    void settle() {
        io.restart();
        io.poll();
    }

    asio::io_context io;
    core::Clock clock;
    core::Deadlines deadlines{io, clock};
    core::MemoryBudget memory{kMemoryBytes};
    net::SocketBudget sockets{kDescriptors};
    marblewood::Settings settings;

private:
    static asio::awaitable<void> read(std::shared_ptr<core::Stream> stream, Result &result) {
        for (std::string piece = co_await stream->take(); !piece.empty(); piece = co_await stream->take())
            result.streamed += piece;
        result.stream_complete = stream->is_complete();
    }
};

net::tcp::endpoint local_endpoint(int port) {
    return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}

using Peers = net::resp::NodePort::Peers;

/// Runs one read at a node, or a broker, that sends `parts`, with a pause after each, and nothing more.
Result read_from(const std::vector<std::string> &parts, Peers peers = Peers::Nodes) {
    constexpr auto kPause = 50ms;
    Server node([&](Socket &s) {
        if (!s.value())
            return;
        for (const std::string &part : parts) {
            s.send(part);
            if (&part != &parts.back())
                std::this_thread::sleep_for(kPause);
        }
        while (s.more())
            ;
    });
    Loop loop;
    net::resp::NodePort port(loop.io.get_executor(), loop.deadlines, loop.memory, loop.sockets, loop.settings,
                             peers);
    port.place(kNode, local_endpoint(node.port));
    return loop.run(port, loop.attempt());
}

/// The rest of a node's response: figures and load report, each empty for null.
std::string rest_of(const std::string &figures, const std::string &report) {
    std::string rest;
    for (const std::string &text : {figures, report})
        if (text.empty())
            rest += "$-1\r\n";
        else
            resp::put_bulk(rest, text);
    return rest;
}

std::string response(const std::string &value, std::size_t announced_bytes, const std::string &rest) {
    return fmt::format("*3\r\n${}\r\n{}\r\n{}", announced_bytes, value, rest);
}

const std::string kShortValue = "a value\r\n with a line end in it";
const std::string kLongValue = std::string(100'000, 'v') + "\r\n" + std::string(100'000, 'w');

// Guards against a value that is served with bytes of the protocol behind it, or cut off, as the node
// announced a wrong length for it (review/8).
void a_value_of_a_wrong_length_is_not_served() {
    for (const std::string &rest :
         {rest_of("", ""), rest_of("used=37", ""), rest_of("", "inflight=7,queue=2"),
          rest_of("used=37,cost=4", "inflight=7,queue=2,util=0.61")})
        for (const std::string &value : {kShortValue, kLongValue}) {
            std::vector<std::size_t> lengths = {value.find('\r')}; // cut off at the line end
            for (std::size_t end = rest.find('\r'); end != std::string::npos; end = rest.find('\r', end + 1))
                lengths.push_back(value.size() + 2 + end); // too long, up to a line end in the rest
            for (const std::size_t length : lengths) {
                const Result result = read_from({response(value, length, rest)});
                fmt::print(stderr, "{} bytes announced as {}: status {}, {} served, stream complete: {}\n",
                           value.size(), length, static_cast<int>(result.attempt.status),
                           result.attempt.value.size(), result.stream_complete);
                assert(result.attempt.status != Status::Ok && result.attempt.value.empty());
                assert(!result.stream_complete);
            }
        }
}

// Guards against an array that says that nothing follows the value, which leaves its length unconfirmed.
void a_value_that_nothing_confirms_is_not_served() {
    for (const std::string &value : {kShortValue, kLongValue})
        for (const char *const head : {"*1\r\n", "*2\r\n", "*4\r\n"}) {
            std::string bytes = head;
            resp::put_bulk(bytes, value);
            const Result result = read_from({bytes + rest_of("", "")});
            assert(result.attempt.status != Status::Ok && !result.stream_complete);
        }
}

// Guards against refusing good answers: figures that can't be read, more behind the answer than belongs to
// it, and a node that pauses before the figures.
void a_value_that_its_rest_confirms_is_served() {
    const std::vector<std::string> rests = {
        rest_of("used=37,cost=4", "inflight=7"),
        rest_of("used=x", "?"),
        ":7\r\n+what\r\n",
        "$-9\r\n$-1\r\n",           // a length that can't be
        "$4\r\nused=37\r\n$-1\r\n", // one that does not fit
        "$x\r\nused=37\r\n$-1\r\n", // one that is no number
        "$99999999\r\nused=37\r\n", // one beyond all measure
        rest_of("", "") + "noise",
        rest_of("", "") + "*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n",
    };
    for (const std::string &value : {kShortValue, kLongValue})
        for (const std::string &rest : rests)
            for (const bool pause : {false, true}) {
                const std::string begin = response(value, value.size(), "");
                const Result result = read_from(pause ? std::vector{begin, rest} : std::vector{begin + rest});
                assert(result.attempt.status == Status::Ok);
                const bool streamed = value.size() > resp::kMaxClientBulkBytes;
                assert((streamed ? result.streamed : result.attempt.value) == value);
                assert(result.stream_complete == streamed);
            }
}

// Guards against serving a value with which another broker answered in the wrong length.
void a_broker_s_value_of_a_wrong_length_is_not_served() {
    const std::string right = fmt::format("${}\r\n{}\r\n", kShortValue.size(), kShortValue);
    assert(read_from({right}, Peers::Brokers).attempt.value == kShortValue);
    const std::string cut = fmt::format("${}\r\n{}\r\n", kShortValue.find('\r'), kShortValue);
    assert(read_from({cut}, Peers::Brokers).attempt.status != Status::Ok);
    const std::string long_one = fmt::format("${}\r\n{}\r\n", kShortValue.size() + 2, kShortValue);
    assert(read_from({long_one}, Peers::Brokers).attempt.status != Status::Ok);
}

/// What ends an attempt from outside.
enum class Interruption { AddressChanged, Stopped, Drained };

bool is_never_ran(Status status) {
    return status == Status::ConnectFailed || status == Status::Superseded || status == Status::Rejected;
}

/// A port to one NVMe node, and the loop that it runs on.
struct NvmeFixture {
    explicit NvmeFixture(int node_port, std::uint32_t block_bytes = kBlockBytes)
        : port(loop.io.get_executor(), loop.deadlines, loop.memory, loop.sockets, loop.settings,
               block_bytes) {
        port.place(kNode, local_endpoint(node_port), {kSubsystem, 1});
    }
    ~NvmeFixture() {
        constexpr auto kUnwinding = 20ms; // of what runs on the closed connections
        port.forget(kNode);
        loop.io.restart();
        loop.io.run_for(kUnwinding);
    }
    void interrupt(Interruption kind, core::Attempt &attempt) {
        if (kind == Interruption::AddressChanged)
            port.place(kNode, local_endpoint(free_port()), {kSubsystem, 1});
        else if (kind == Interruption::Stopped)
            attempt.stop(Status::Timeout);
        else
            port.close_idle(kNode);
    }
    Loop loop;
    net::nvme::NodePort port;
};

/// Runs a write, and interrupts it after so many handlers of the event loop. Returns false if it had ended.
bool write_interrupted_after(int handlers, Interruption kind) {
    Target target([](bool, std::uint64_t, int) { return Behavior::Serve; });
    Result result;
    Result next;
    bool interrupted = false;
    {
        NvmeFixture fixture(target.server.port);
        const auto attempt = fixture.loop.attempt(true, std::string(kBlockBytes, 'w'));
        fixture.loop.start(fixture.port, attempt, result);
        for (int n = 0; n < handlers && !result.ended; ++n)
            fixture.loop.io.run_one();
        interrupted = !result.ended;
        if (interrupted)
            fixture.interrupt(kind, *attempt);
        // Another attempt at the same node, which may meet what the first one has left.
        fixture.loop.start(fixture.port, fixture.loop.attempt(), next);
        fixture.loop.finish(result);
        fixture.loop.finish(next);
    }
    target.server.stop();
    if (target.writes_run > 0)
        assert(!is_never_ran(result.attempt.status));
    return interrupted;
}

void interrupted_at_each_step(Interruption kind) {
    int handlers = 0;
    while (write_interrupted_after(handlers, kind))
        ++handlers;
    fmt::print(stderr, "interrupted after 0 to {} handlers\n", handlers - 1);
    assert(handlers > 0);
}

// Guards against an attempt that looks for its command on a queue that is gone, or on the next one.
void an_nvme_node_moves_at_each_step() {
    interrupted_at_each_step(Interruption::AddressChanged);
}
void an_nvme_attempt_is_stopped_at_each_step() {
    interrupted_at_each_step(Interruption::Stopped);
}

// Guards against attempts that wait for an association that is not being made any more.
void an_nvme_node_drains_at_each_step() {
    interrupted_at_each_step(Interruption::Drained);
}

// Guards against blocks that are received, or wait to be written, without being counted in the memory budget.
void an_nvme_command_s_data_is_reserved() {
    Target target([](bool, std::uint64_t, int) { return Behavior::Silent; });
    NvmeFixture fixture(target.server.port);
    for (const bool write : {false, true}) {
        const auto attempt = fixture.loop.attempt(write, write ? "value" : "");
        Result result;
        fixture.loop.start(fixture.port, attempt, result);
        const int before = target.commands;
        while (target.commands == before)
            fixture.loop.io.run_one_for(1ms);
        assert(fixture.loop.memory.reserved() >= kExtendedBlockBytes);
        attempt->stop(Status::Timeout);
        fixture.loop.finish(result);
    }
    fixture.port.forget(kNode);
    fixture.loop.settle();
    assert(fixture.loop.memory.reserved() == 0);
}

// Guards against a write that is told as never run while its data is on its way to a node that stands still,
// and that the node runs when it goes on (review/7).
void an_nvme_write_is_stopped_while_its_data_is_written() {
    constexpr int kRounds = 10;
    constexpr int kWrites = 100; // more data than the buffers on the way hold
    constexpr int kReceiveBufferBytes = 2048;
    constexpr auto kStuck = 50ms;
    constexpr auto kGoesOn = 100ms;
    int never_run = 0;
    for (int round = 0; round < kRounds; ++round) {
        Target target([](bool, std::uint64_t, int) { return Behavior::Serve; }, kReceiveBufferBytes);
        target.stands_still_after = kWrites;
        std::vector<std::shared_ptr<core::Attempt>> attempts;
        std::deque<Result> results(kWrites);
        NvmeFixture fixture(target.server.port);
        for (int n = 0; n < kWrites; ++n) {
            attempts.push_back(
                fixture.loop.attempt(true, std::string(kBlockBytes, 'w'), static_cast<std::uint64_t>(n)));
            fixture.loop.start(fixture.port, attempts.back(), results[static_cast<std::size_t>(n)]);
        }
        while (!target.stands_still)
            fixture.loop.io.run_one_for(1ms);
        fixture.loop.io.run_for(kStuck);
        for (const auto &attempt : attempts)
            attempt->stop(Status::Timeout);
        for (const Result &result : results)
            fixture.loop.finish(result);
        target.stands_still = false;
        fixture.loop.io.restart();
        fixture.loop.io.run_for(kGoesOn);
        for (std::size_t n = 0; n < results.size(); ++n) {
            const bool told_never_ran = is_never_ran(results[n].attempt.status);
            never_run += told_never_ran ? 1 : 0;
            assert(!told_never_ran || target.runs(n) == 0);
        }
    }
    fmt::print(stderr, "never run: {} of {} writes\n", never_run, kRounds * kWrites);
    assert(never_run > 0); // else the buffers have held all data, and no write was stopped half-way
}

/// Stops a write at a RESP2 node that stands still, which then goes on. Returns whether the node got it
/// whole, and whether it was told as never run.
std::pair<bool, bool> stop_resp_write(std::size_t body_bytes, bool fills_buffers) {
    constexpr int kReceiveBufferBytes = 2048;
    constexpr auto kStuck = 50ms;
    std::atomic<bool> stands_still = true;
    std::atomic<bool> whole = false;
    Server node(
        [&](Socket &s) {
            while (stands_still)
                std::this_thread::sleep_for(1ms);
            whole = s.value().has_value();
        },
        0, kReceiveBufferBytes);
    Loop loop;
    net::resp::NodePort port(loop.io.get_executor(), loop.deadlines, loop.memory, loop.sockets,
                             loop.settings);
    port.place(kNode, local_endpoint(node.port));
    const auto attempt = loop.attempt(true, std::string(body_bytes, 'b'));
    bool written = false;
    attempt->on_written = [&] { written = true; };
    Result result;
    loop.start(port, attempt, result);
    do
        loop.io.run_for(kStuck);
    while (!written && !fills_buffers);
    attempt->stop(Status::Timeout);
    loop.finish(result);
    stands_still = false;
    while (node.running_handlers() > 0)
        std::this_thread::sleep_for(1ms);
    return {whole, is_never_ran(result.attempt.status)};
}

// The same at a RESP2 node, whose connection is closed with the attempt: what was not handed to the system by
// then never arrives.
void a_resp_write_is_stopped_while_it_is_written() {
    constexpr std::size_t kMoreThanBuffers = resp::kMaxNodeBulkBytes;
    const auto [long_whole, long_never_ran] = stop_resp_write(kMoreThanBuffers, true);
    assert(!long_whole && long_never_ran);
    const auto [short_whole, short_never_ran] = stop_resp_write(100, false);
    assert(short_whole && !short_never_ran);
}

constexpr Scenario kScenarios[] = {
    {"wrong_length", a_value_of_a_wrong_length_is_not_served},
    {"unconfirmed", a_value_that_nothing_confirms_is_not_served},
    {"confirmed", a_value_that_its_rest_confirms_is_served},
    {"nvme_moved", an_nvme_node_moves_at_each_step},
    {"nvme_stopped", an_nvme_attempt_is_stopped_at_each_step},
    {"nvme_drained", an_nvme_node_drains_at_each_step},
    {"nvme_reserved", an_nvme_command_s_data_is_reserved},
    {"nvme_data_in_flight", an_nvme_write_is_stopped_while_its_data_is_written},
    {"resp_data_in_flight", a_resp_write_is_stopped_while_it_is_written},
    {"broker_wrong_length", a_broker_s_value_of_a_wrong_length_is_not_served},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
