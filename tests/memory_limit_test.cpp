// The resident memory of the process while clients misbehave in numbers: it has to stay under
// limits.memory_mb, over which the platform kills the process.
// Usage: memory_limit_test SCENARIO
#include "faults/soak_parts.hpp"
#include "scenarios.hpp"

#include "net/nvme/pdu.hpp"

using namespace test;

namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";
constexpr Limits kLimits{.memory_mb = 32, .sockets = 1024};
constexpr int kPipelinedRequests = 32;
constexpr auto kUnreadTime = 4s;
constexpr int kCrowd = 700; // connections, of the 728 that clients can have
constexpr std::size_t kKilobytesPerMegabyte = 1024;

namespace nvme = marblewood::net::nvme;
const std::string kSubsystem = "nqn.2026-12.net.hanbit:store";

std::string nvme_operator_settings(int port) {
    return fmt::format(
        R"({{"nvme":{{"listen":"127.0.0.1:{}","subsystem":"{}","block_bytes":65536,"namespaces":[{{"nsid":1,)"
        R"("volume":"00000003b4d60021","plan":"standard","read_class":"read","write_class":"new-write",)"
        R"("shard":0,"first_piece":"0000000000000100","blocks":256}}],"nodes":{{}}}}}})",
        port, kSubsystem);
}

// One shard, whose node answers each request with `value`.
struct Fixture {
    explicit Fixture(std::string value = "value")
        : node([value](const auto &, int) { return RespNode::served(value); }),
          discovery(member("s-1", node.server.port, 0)),
          program(discovery, nvme_operator_settings(nvme_port), kSettings, {}, 0, "n0", kLimits) {
        fmt::print(stderr, "start: {} kB\n", program.memory_kb());
    }
    void expect_within_limit() const {
        const std::size_t peak = program.peak_memory_kb();
        fmt::print(stderr, "peak: {} kB, limit: {} kB\n", peak, kLimits.memory_mb * kKilobytesPerMegabyte);
        assert(program.running());
        assert(peak < kLimits.memory_mb * kKilobytesPerMegabyte);
    }
    // Other clients are served while the crowd is there.
    void expect_service() const {
        Socket client = program.client();
        client.send(kPing);
        assert(client.value()->text == "PONG");
    }
    void check(CrowdBehavior behavior, std::chrono::milliseconds duration) const {
        check(program.port, std::move(behavior), duration);
    }
    void check(int port, CrowdBehavior behavior, std::chrono::milliseconds duration) const {
        Crowd crowd(port, std::move(behavior));
        crowd.run(duration);
        expect_service();
        fmt::print(stderr, "open: {}, read: {}\n", crowd.open(), crowd.bytes_read);
        expect_within_limit();
    }
    int nvme_port = free_port();
    RespNode node;
    Discovery discovery;
    Program program;
};

std::string put_head(std::size_t body) {
    const std::string whole = put(kPiece, std::string(body, 'b'));
    return whole.substr(0, whole.size() - body - 2);
}
// A read whose list of names and values has `fields` short fields of no meaning.
std::string read_with_fields(int fields, int wait_ms = 1500) {
    std::string list =
        fmt::format("c=read,t=standard,d={},volume=00000003b4d60021,units=2,shard=0,hosts=1", wait_ms);
    list += repeated(",a=", fields);
    return resp::command({"OBJ.GET", kPiece, fresh_id(), list});
}
std::string read_of_new_volume() {
    static std::uint64_t number = 0;
    ++number;
    return resp::command({"OBJ.GET", fmt::format("{:016x}", number), fresh_id(),
                          fmt::format("c=read,t=standard,d=1500,volume={:016x},units=2,shard={},hosts=1",
                                      number, number % 1'000'000)});
}

// Guards against an incident: connections that were being ended for invalid input held 64 KiB each.
void invalid_input_at_once() {
    const Fixture fixture;
    fixture.check({.connections = kCrowd,
                   .next = [] { return std::string(100'000, '?'); },
                   .read_bytes_per_turn = 4096,
                   .reconnects = true},
                  3s);
}
void invalid_commands_at_once() {
    const Fixture fixture;
    const std::string commands = repeated("*1\r\n$7\r\nINVALID\r\n", 5000);
    fixture.check({.connections = kCrowd,
                   .next = [&] { return commands; },
                   .read_bytes_per_turn = 4096,
                   .reconnects = true},
                  3s);
}
void large_requests_that_stop_half_way() {
    const Fixture fixture;
    fixture.check(
        {.connections = kCrowd, .opening = [] { return put_head(65'536) + std::string(40'000, 'b'); }}, 2s);
}
void large_requests_written_slowly() {
    const Fixture fixture;
    fixture.check({.connections = kCrowd,
                   .opening = [] { return put_head(65'536); },
                   .next = [] { return std::string(300, 'b'); },
                   .reconnects = true},
                  4s);
}
void heads_of_short_fields() {
    const Fixture fixture;
    fixture.check({.connections = 300,
                   .next = [] { return read_with_fields(21'000); },
                   .read_bytes_per_turn = 4096,
                   .reconnects = true},
                  3s);
}
void replies_not_read() {
    const Fixture fixture;
    const std::string pings = repeated(kPing, 4000);
    fixture.check({.connections = kCrowd, .next = [&] { return pings; }, .receive_buffer_bytes = 4096}, 3s);
}
void long_answers_read_slowly() {
    const Fixture fixture(std::string(60'000, 'v'));
    fixture.check({.connections = 300,
                   .next = [] { return get(kPiece); },
                   .read_bytes_per_turn = 300,
                   .reconnects = true,
                   .receive_buffer_bytes = 4096},
                  5s);
}
// Guards against values that come in for requests which were taken while there was room, and are held whole.
void answers_to_pipelined_requests() {
    const Fixture fixture(std::string(60'000, 'v'));
    const auto reads = [] {
        std::string requests;
        for (int n = 0; n < kPipelinedRequests; ++n)
            requests += get(kPiece);
        return requests;
    };
    fixture.check({.connections = 300, .next = reads, .receive_buffer_bytes = 4096}, kUnreadTime);
}
void values_passed_on_slowly() {
    const Fixture fixture(std::string(1'000'000, 'v'));
    fixture.check({.connections = 300,
                   .opening = [] { return get(kPiece); },
                   .read_bytes_per_turn = 300,
                   .reconnects = true,
                   .receive_buffer_bytes = 4096},
                  5s);
}
void ever_new_volumes() {
    const Fixture fixture;
    fixture.check({.connections = 1,
                   .next =
                       [] {
                           std::string requests;
                           for (int n = 0; n < 200; ++n)
                               requests += read_of_new_volume();
                           return requests;
                       },
                   .read_bytes_per_turn = 65'536},
                  10s);
}

void ever_new_volumes_of_a_crowd() {
    const Fixture fixture;
    fixture.check({.connections = 500,
                   .next =
                       [] {
                           std::string requests;
                           for (int n = 0; n < 50; ++n)
                               requests += read_of_new_volume();
                           return requests;
                       },
                   .read_bytes_per_turn = 300},
                  5s);
}

// Guards against memory that a crowd took and that the process keeps when the crowd has left.
void memory_of_a_crowd_that_has_left() {
    const Fixture fixture;
    const std::size_t start_kb = fixture.program.memory_kb();
    fixture.check(
        {.connections = kCrowd, .opening = [] { return put_head(65'536) + std::string(40'000, 'b'); }}, 2s);
    const std::size_t peak_kb = fixture.program.peak_memory_kb();
    std::this_thread::sleep_for(4s);
    const std::size_t kept_kb = fixture.program.memory_kb();
    fmt::print(stderr, "kept: {} kB\n", kept_kb);
    assert(kept_kb < start_kb + (peak_kb - start_kb) / 2);
}

// Guards against accepting all of a crowd at the end of the process at once, however little room there is.
void a_crowd_that_comes_again_during_a_shutdown() {
    constexpr int kMoreThanThereIsRoom = 1'500;
    Fixture fixture;
    const RunningCrowd crowd(fixture.program.port, {.connections = kMoreThanThereIsRoom,
                                                    .opening = [] { return put_head(65'536); },
                                                    .next = [] { return std::string(100, 'b'); },
                                                    .read_bytes_per_turn = 300,
                                                    .reconnects = true});
    std::this_thread::sleep_for(500ms);
    MemorySampler sampler({fixture.program.pid()});
    fixture.program.signal(SIGTERM);
    std::this_thread::sleep_for(kill_after(2500)); // the longest deadline of kSettings
    const std::size_t peak_kb = sampler.stop();
    fmt::print(stderr, "peak: {} kB\n", peak_kb);
    assert(peak_kb > 0 && peak_kb < kLimits.memory_mb * kKilobytesPerMegabyte);
}

// Two processes during an upgrade have one limit together.
void invalid_input_during_an_upgrade() {
    const Fixture fixture;
    const Program successor(fixture.program);
    Crowd crowd(fixture.program.port, {.connections = kCrowd,
                                       .next = [] { return std::string(100'000, '?'); },
                                       .read_bytes_per_turn = 4096,
                                       .reconnects = true});
    crowd.run(3s);
    const std::size_t peak = fixture.program.peak_memory_kb() + successor.peak_memory_kb();
    fmt::print(stderr, "peak of both: {} kB\n", peak);
    assert(fixture.program.running() && successor.running());
    assert(peak < kLimits.memory_mb * kKilobytesPerMegabyte);
}

std::string nvme_connect(std::uint16_t cid, std::uint32_t queue = 0, std::uint16_t controller = 0xffff) {
    nvme::Command command = nvme::Command::make(nvme::op::kFabrics, cid);
    nvme::set(command.bytes, 4, nvme::op::kConnect);
    command.describe_data(1024, true);
    command.set_dword(10, queue << 16);
    std::string data(1024, '\0');
    nvme::set(data, 16, controller);
    data.replace(256, kSubsystem.size(), kSubsystem);
    return command.capsule(data);
}
std::string nvme_identify(std::uint16_t cid) {
    nvme::Command command = nvme::Command::make(nvme::op::kIdentify, cid);
    command.set_dword(10, 1);
    return command.capsule();
}
void nvme_invalid_input_at_once() {
    const Fixture fixture;
    fixture.check(fixture.nvme_port,
                  {.connections = kCrowd,
                   .next = [] { return std::string(100'000, '?'); },
                   .read_bytes_per_turn = 4096,
                   .reconnects = true},
                  3s);
}
std::string nvme_read(std::uint16_t cid) {
    nvme::Command command = nvme::Command::make(nvme::op::kRead, cid, 1);
    command.describe_data(65'536, false);
    command.set_dword(10, std::uint64_t{1});
    return command.capsule();
}
std::uint16_t nvme_controller_of(Socket &admin) {
    admin.send(nvme::ic_req() + nvme_connect(1));
    for (;;) {
        const auto pdu = nvme::take(admin.in);
        if (pdu && pdu->type == nvme::Type::Response)
            return static_cast<std::uint16_t>(nvme::Completion::read(*pdu).result);
        if (!pdu)
            assert(admin.more());
    }
}
// The same as answers_to_pipelined_requests(), for hosts.
void nvme_blocks_not_read() {
    constexpr int kHosts = 100;
    const Fixture fixture(std::string(60'000, 'v'));
    std::string commands;
    for (std::uint16_t cid = 2; cid < 2 + kPipelinedRequests; ++cid)
        commands += nvme_read(cid);
    std::list<Socket> sockets;
    for (int n = 0; n < kHosts; ++n) {
        Socket &admin = sockets.emplace_back(Socket::to(fixture.nvme_port));
        const std::uint16_t controller = nvme_controller_of(admin);
        Socket &queue = sockets.emplace_back(Socket::to(fixture.nvme_port));
        queue.send(nvme::ic_req() + nvme_connect(1, 1, controller) + commands);
    }
    std::this_thread::sleep_for(kUnreadTime);
    fmt::print(stderr, "sends: {}\n", fixture.program.figures().at("sends"));
    fixture.expect_service();
    fixture.expect_within_limit();
}
void nvme_replies_not_read() {
    const Fixture fixture;
    std::string commands;
    for (std::uint16_t cid = 2; cid < 900; ++cid)
        commands += nvme_identify(cid);
    fixture.check(fixture.nvme_port,
                  {.connections = 300,
                   .opening = [] { return nvme::ic_req() + nvme_connect(1); },
                   .next = [&] { return commands; },
                   .receive_buffer_bytes = 4096},
                  3s);
}

constexpr Scenario kScenarios[] = {
    {"invalid_input", invalid_input_at_once},
    {"invalid_commands", invalid_commands_at_once},
    {"half_requests", large_requests_that_stop_half_way},
    {"slow_requests", large_requests_written_slowly},
    {"short_fields", heads_of_short_fields},
    {"unread_replies", replies_not_read},
    {"slow_readers", long_answers_read_slowly},
    {"pipelined_values", answers_to_pipelined_requests},
    {"nvme_blocks", nvme_blocks_not_read},
    {"slow_streams", values_passed_on_slowly},
    {"new_volumes", ever_new_volumes},
    {"new_volumes_crowd", ever_new_volumes_of_a_crowd},
    {"crowd_left", memory_of_a_crowd_that_has_left},
    {"shutdown", a_crowd_that_comes_again_during_a_shutdown},
    {"upgrade", invalid_input_during_an_upgrade},
    {"nvme_invalid_input", nvme_invalid_input_at_once},
    {"nvme_unread_replies", nvme_replies_not_read},
};

} // namespace

int main(int argc, char **argv) {
    return run_scenario(kScenarios, argc, argv);
}
