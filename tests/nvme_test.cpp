/// \file
/// Runs the program with its NVMe/TCP front end and node port against simulated NVMe hosts, NVMe targets,
/// RESP2 clients and RESP2 nodes.
#include "nvme_target.hpp"

using namespace test;

namespace {

// A simulated NVMe host with an admin queue and one I/O queue, connected to the program's front end.
class Host {
public:
    explicit Host(int port) : admin(Socket::to(port)), io(Socket::to(port)) {
        const auto controller = connect(admin, 0, 0xffff);
        assert(controller > 0);
        assert(connect(io, 1, controller) == controller);
    }
    static std::uint16_t connect(Socket &s, std::uint32_t queue, std::uint16_t controller,
                                 std::uint32_t keep_alive_ms = 0) {
        s.send(nvme::ic_req());
        assert(receive(s)->type == Type::ICResp);
        Command c = Command::make(op::kFabrics, 1);
        nvme::set(c.bytes, 4, op::kConnect);
        c.describe_data(1024, true);
        c.set_dword(10, queue << 16);
        c.set_dword(12, keep_alive_ms);
        std::string data(1024, '\0');
        nvme::set(data, 16, controller);
        data.replace(256, kSubsystem.size(), kSubsystem);
        s.send(c.capsule(data));
        const Completion done = Completion::read(*receive(s));
        assert(done.cid == 1 && done.status.ok());
        return static_cast<std::uint16_t>(done.result);
    }
    static std::string command(std::uint8_t opcode, std::uint16_t cid, std::uint64_t block) {
        Command c = Command::make(opcode, cid, 1);
        c.describe_data(kBlockBytes, false);
        c.set_dword(10, block);
        return c.capsule();
    }
    Completion completion(Socket &s, std::string *read = nullptr) const {
        for (;;) {
            const auto pdu = receive(s);
            assert(pdu);
            if (pdu->type == Type::Response)
                return Completion::read(*pdu);
            assert(pdu->type == Type::C2HData && read);
            *read += pdu->data;
        }
    }
    Completion read(std::uint64_t block, std::string *value = nullptr) {
        std::string ignored;
        io.send(command(op::kRead, 9, block));
        return completion(io, value ? value : &ignored);
    }
    // Returns the transfer tag.
    std::uint16_t begin_write(std::uint16_t cid, std::uint64_t block) {
        io.send(command(op::kWrite, cid, block));
        const auto r2t = receive(io);
        assert(r2t && r2t->type == Type::R2T && nvme::get<std::uint32_t>(r2t->head, 16) == kBlockBytes);
        return nvme::get<std::uint16_t>(r2t->head, 10);
    }
    Completion write(std::uint64_t block, const std::string &value) {
        const auto tag = begin_write(8, block);
        io.send(nvme::data(Type::H2CData, 8, tag, 0, value.substr(0, 1000), false));
        io.send(nvme::data(Type::H2CData, 8, tag, 1000, value.substr(1000), true));
        return completion(io);
    }
    Socket admin, io;
};

std::string operator_settings(int port, bool nvme_node) {
    return fmt::format(
        R"({{"nvme":{{"listen":"127.0.0.1:{}","subsystem":"{}","block_bytes":{},"namespaces":[{{"nsid":1,)"
        R"("volume":"00000003b4d60021","plan":"standard","read_class":"read","write_class":"new-write",)"
        R"("shard":0,"first_piece":"0000000000000100","blocks":256}}],"nodes":{{{}}}}}}})",
        port, kSubsystem, kBlockBytes,
        nvme_node ? fmt::format(R"("s-1":{{"subsystem":"{}","nsid":1}})", kSubsystem) : "");
}
Behavior serve_all(bool, std::uint64_t, int) {
    return Behavior::Serve;
}
std::string block_of(char c) {
    return std::string(kBlockBytes, c);
}

// Compares PDUs with the bytes that the specification defines. The other tests here cannot detect a wrong
// encoding, because both sides use the program's own code.
void the_bytes_are_the_specifications() {
    const std::string request_pdu = nvme::ic_req();
    assert(request_pdu.size() == 128 && request_pdu.substr(0, 8) == std::string("\0\0\x80\0\x80\0\0\0", 8));
    Completion done;
    done.cid = 0x1234;
    done.status = {status::kNotReady, 2, true};
    assert(done.capsule() ==
           std::string("\x05\0\x18\0\x18\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\x34\x12\x04\xa1", 24));
    assert(nvme::r2t(2, 3, 4, 5) ==
           std::string("\x09\0\x18\0\x18\0\0\0\2\0\3\0\4\0\0\0\5\0\0\0\0\0\0\0", 24));
}

void hosts_and_resp_clients_share_an_nvme_node() {
    Target target(serve_all);
    const Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    Socket client = program.client();
    for (const std::string &value : {std::string(), std::string("photo"), std::string(kBlockBytes, 'z')}) {
        client.send(put("0000000000000105", value));
        assert(client.value()->text == "OK");
        client.send(get("0000000000000105"));
        assert(client.value()->text == value); // the length is preserved
    }
    Host host(port);
    std::string read;
    assert(host.read(5, &read).status.ok() && read == block_of('z'));
    assert(host.write(6, block_of('w')).status.ok());
    client.send(get("0000000000000106"));
    assert(client.value()->text == block_of('w'));
    assert(host.read(256).status.code == status::kLbaRange);
    assert(target.server.accepted == 2); // one association
}

// Guards against a read that is served empty, as a second copy behind the node's answer ends the association
// before the answer is handled (review/6).
void a_second_copy_behind_an_answer_changes_nothing() {
    constexpr int kReads = 20;
    Target target(
        [](bool write, std::uint64_t, int) { return write ? Behavior::Serve : Behavior::ServeTwice; });
    const Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    Socket client = program.client();
    client.send(put("0000000000000105", block_of('z')));
    assert(client.value()->text == "OK");
    for (int n = 0; n < kReads; ++n) {
        client.send(get("0000000000000105"));
        assert(client.value()->text == block_of('z'));
        std::string read;
        assert(Host(port).read(5, &read).status.ok() && read == block_of('z'));
    }
}

// Guards against an answer that comes twice while the association is being made, and is taken for the answer
// to the next command.
void a_second_copy_during_the_set_up_changes_nothing() {
    Target target(serve_all);
    target.answers_setup_twice = true;
    const Discovery discovery(member("s-1", target.server.port, 0));
    const Program program(discovery, operator_settings(free_port(), true));
    Socket client = program.client();
    for (int n = 0; n < 3; ++n) {
        client.send(put("0000000000000105", "value"));
        assert(client.value()->text == "OK");
        std::this_thread::sleep_for(50ms);
    }
    assert(target.server.accepted == 2); // one association
}

// Guards against closing an idle association because further hosts connect: hosts keep idle queues open.
void idle_associations_stay() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false)); // runs with 256 descriptors
    std::list<Host> hosts;
    for (int n = 0; n < 40; ++n)
        hosts.emplace_back(port);
    for (Host &host : hosts)
        assert(host.read(0).status.ok());
}

void hosts_are_served_by_resp_nodes() {
    RespNode node([](const auto &words, int) {
        if (words[1] == "0000000000000101")
            return std::string("-ERR failed\r\n");
        if (words[1] == "0000000000000102")
            return std::string("-BUSY\r\n");
        return RespNode::served(words[0] == "OBJ.PUT" ? "OK" : "short");
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host host(port);
    std::string read;
    assert(host.read(0, &read).status.ok());
    assert(read.size() == kBlockBytes && read.starts_with(std::string("short\0", 6))); // padded with zeros
    assert(host.write(3, block_of('b')).status.ok());
    const auto taken = node.taken();
    assert(taken.back()[4] == block_of('b') && taken.back()[3].find(",k=") != std::string::npos);
    const auto failed = host.write(1, block_of('b')).status; // it may have run, so that a retry is not safe
    assert(failed.code == status::kInternal && failed.do_not_retry);
    const auto refused = host.read(2).status;
    assert(refused.code == status::kNotReady && !refused.do_not_retry && refused.retry_delay > 0);
}

// Guards against truncated values: if a value is longer than a block, the command fails with Do Not Retry,
// and the connection to the node is closed.
void long_values_are_not_cut_to_a_block() {
    std::atomic<int> ended = 0;
    Server node([&](Socket &s) {
        if (!s.value())
            return;
        s.send("*3\r\n$600000\r\n" + std::string(300'000, 'a'));
        ended += s.ended();
    });
    const Discovery discovery(member("s-1", node.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host host(port);
    const auto status = host.read(0).status;
    assert(status.code == status::kTransferError && status.do_not_retry);
    for (int n = 0; n < 200 && !ended; ++n)
        std::this_thread::sleep_for(10ms);
    assert(ended == 1);
}

// A host aborts a Write after sending half of the data. The Write gets exactly one completion, late data is
// discarded, and the command identifier can be used again. The transfer tag is not used again while late data
// may still carry it.
void a_command_cancelled_half_way() {
    Target target(serve_all);
    const Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    Host host(port);
    assert(host.write(4, block_of('o')).status.ok());
    const auto tag = host.begin_write(8, 4);
    host.io.send(nvme::data(Type::H2CData, 8, tag, 0, std::string(2000, 'n'), false));
    Command abort = Command::make(op::kAbort, 2);
    abort.set_dword(10, 8u << 16 | 1u);
    host.admin.send(abort.capsule());
    const Completion aborted = host.completion(host.admin);
    assert(aborted.status.ok() && aborted.result == 0);
    assert(host.completion(host.io).status.code == status::kAborted);
    const auto next = host.begin_write(8, 5); // the same identifier, before the rest of the old data
    assert(next != tag);
    host.io.send(nvme::data(Type::H2CData, 8, tag, 2000, std::string(kBlockBytes - 2000, 'n'), true));
    host.io.send(nvme::data(Type::H2CData, 8, next, 0, block_of('p'), true));
    assert(host.completion(host.io).status.ok());
    std::string read;
    assert(host.read(4, &read).status.ok() && read == block_of('o')); // the aborted write changed nothing
    read.clear();
    assert(host.read(5, &read).status.ok() && read == block_of('p'));
    assert(host.io.silent_for(200)); // one completion each
}

// A node does not respond: at the deadline the client gets one response, and the node gets an Abort command.
void a_deadline_ends_a_silent_command() {
    Target target([](bool, std::uint64_t, int) { return Behavior::Silent; });
    const Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    Socket client = program.client();
    client.send(get("0000000000000105", 0, 600));
    assert(client.value()->kind == resp::Value::Kind::Error);
    while (target.aborts == 0)
        std::this_thread::sleep_for(10ms);
    assert(client.silent_for(200) && program.running());
}

void a_lost_connection_is_made_again() {
    Target target(
        [](bool, std::uint64_t, int nth) { return nth == 1 ? Behavior::CloseConnection : Behavior::Serve; });
    const Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    Host host(port);
    assert(host.read(7).status.ok() && target.commands == 2);
}

void nothing_new_goes_to_a_draining_nvme_node() {
    Target target(serve_all);
    Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    Host host(port);
    assert(host.read(7).status.ok());
    discovery.change(member("s-1", target.server.port, 0, "draining"));
    discovery.await_taken();
    assert(host.read(7).status.code == status::kNotReady && target.commands == 1);
}

void malformed_pdus_end_one_connection_only() {
    Target target(serve_all);
    const Discovery discovery(member("s-1", target.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, true));
    std::string no_type = nvme::ic_req(), wrong_head = nvme::ic_req(), huge = nvme::ic_req();
    no_type[0] = 0x55;
    wrong_head[2] = 24;
    huge[7] = 0x7f;
    for (const std::string &malformed : {no_type, wrong_head, huge, Host::command(op::kRead, 1, 0),
                                         nvme::ic_req() + nvme::data(Type::H2CData, 1, 77, 0, "x", true)}) {
        Socket s = Socket::to(port);
        s.send(malformed);
        std::optional<Pdu> pdu = receive(s);
        if (pdu && pdu->type == Type::ICResp)
            pdu = receive(s);
        assert(pdu && pdu->type == Type::C2HTermReq && s.ended());
    }
    // A malformed PDU after a valid command: the command is completed, then the connection is closed. Guards
    // against counting a completion twice, so that the connection waits for it forever.
    Host broken(port);
    Command get_status = Command::make(op::kFabrics, 3);
    nvme::set(get_status.bytes, 4, op::kPropertyGet);
    broken.admin.send(get_status.capsule() + no_type);
    assert(broken.completion(broken.admin).cid == 3);
    assert(receive(broken.admin)->type == Type::C2HTermReq && broken.admin.ended());
    assert(broken.io.ended()); // the controller's I/O queue is closed with its admin queue
    Host host(port);
    assert(host.read(1).status.ok() && program.running());
}

// Sends the same requests over NVMe and RESP2 to nodes of either protocol that fail in the same way. The
// outcomes must be the same.
using Counts = std::map<std::string, int>;
Behavior behavior_of(std::uint64_t block, int nth) {
    const Behavior behaviors[] = {Behavior::Serve, Behavior::Error, Behavior::NotReady, Behavior::Serve,
                                  nth == 1 ? Behavior::Error : Behavior::Serve};
    return behaviors[block % 5];
}
Counts outcomes(bool nvme_host, bool nvme_node) {
    Target target([](bool, std::uint64_t block, int nth) { return behavior_of(block - 0x100, nth); });
    std::map<std::string, int> nth;
    std::mutex mutex;
    RespNode node([&](const auto &words, int) -> std::string {
        const std::lock_guard lock(mutex);
        const Behavior behavior = behavior_of(std::stoull(words[1], nullptr, 16) - 0x100, ++nth[words[1]]);
        return behavior == Behavior::Serve   ? RespNode::served("v")
               : behavior == Behavior::Error ? "-ERR failed\r\n"
                                             : "-BUSY\r\n";
    });
    const Discovery discovery(member("s-1", nvme_node ? target.server.port : node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, nvme_node));
    std::optional<Host> host;
    if (nvme_host)
        host.emplace(port);
    Socket client = program.client();
    Counts counts;
    for (std::uint64_t block = 0; block < 20; ++block) {
        const bool write = block >= 10;
        if (host) {
            const auto s = (write ? host->write(block, block_of('v')) : host->read(block)).status;
            ++counts[s.ok() ? "served" : s.code == status::kNotReady ? "refused" : "failed"];
            continue;
        }
        const std::string piece = fmt::format("{:016x}", 0x100 + block);
        client.send(write ? put(piece, "v") : get(piece));
        const auto v = client.value();
        ++counts[v->kind == resp::Value::Kind::Bulk ? "served"
                 : v->text.starts_with("BUSY")      ? "refused"
                                                    : "failed"];
    }
    return counts;
}
// As for RESP2 clients, the broker closes a new connection on which an NVMe host sends nothing or only a part
// of a PDU; in the second case it sends a TermReq PDU first. A host whose queues are connected may be idle.
void silent_hosts_and_half_pdus_get_an_end() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host idle(port);
    const auto from = std::chrono::steady_clock::now();
    Socket silent = Socket::to(port), half = Socket::to(port);
    half.send(nvme::ic_req().substr(0, 100));
    assert(receive(half)->type == Type::C2HTermReq && half.ended() && silent.ended());
    assert(std::chrono::steady_clock::now() - from < 3s);
    assert(idle.admin.silent_for(100) && idle.io.silent_for(0));
}

// As with RESP2 nodes: an incomplete PDU from a node is not awaited until the client's deadline.
void half_a_node_pdu_is_not_waited_for() {
    Target target(
        [](bool, std::uint64_t, int nth) { return nth == 9 ? Behavior::SendPartialPdu : Behavior::Serve; });
    const Discovery discovery(member("s-1", target.server.port, 0));
    const Program program(discovery, operator_settings(free_port(), true));
    Socket client = program.client();
    for (int n = 0; n < 8; ++n) { // establish a low latency of the node, so that the broker retries
        client.send(get("0000000000000101"));
        assert(client.value()->kind == resp::Value::Kind::Bulk);
    }
    const auto from = std::chrono::steady_clock::now();
    client.send(get("0000000000000101"));
    const auto v = client.value();
    assert(v->kind == resp::Value::Kind::Bulk && target.commands == 10);
    assert(std::chrono::steady_clock::now() - from < 1s);
}

void outcomes_are_the_same_over_both_protocols() {
    const Counts expected{{"served", 12}, {"refused", 6}, {"failed", 2}};
    for (const bool nvme_host : {false, true})
        for (const bool nvme_node : {false, true})
            assert(outcomes(nvme_host, nvme_node) == expected);
}

// At a quiesce call or a shutdown, every command that a host has sent is completed before its connections are
// closed, although all queues of a controller are closed together.
void commands_are_completed_before_a_host_is_let_go(bool process_ends) {
    constexpr std::uint16_t kCommands = 2; // the number sent to a new node at once
    // The node's response time. At a shutdown it exceeds the 3.7 s after which the process may be killed; at
    // a quiesce call, the time until the front end has closed idle connections, which it begins after 1 s.
    const auto busy = process_ends ? 5000ms : 1600ms;
    RespNode node([busy](const auto &, int) {
        std::this_thread::sleep_for(busy);
        return RespNode::served(block_of('v'));
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    // A limit that does not force the exit earlier.
    Program program(discovery, operator_settings(port, false), settings_with_read_limit(4000));
    Host host(port);
    for (std::uint16_t cid = 1; cid <= kCommands; ++cid)
        host.io.send(Host::command(op::kRead, cid, cid));
    while (node.taken().empty())
        std::this_thread::sleep_for(5ms);
    const auto called = std::chrono::steady_clock::now();
    if (process_ends)
        program.signal(SIGTERM);
    else
        assert(program.call("POST", "quiesce").first == 200);
    std::set<std::uint16_t> completed;
    while (const auto pdu = receive(host.io))
        if (pdu->type == Type::Response)
            completed.insert(Completion::read(*pdu).cid);
    assert(completed.size() == kCommands);
    assert(host.admin.ended());
    assert(std::chrono::steady_clock::now() - called < 4s);
    if (process_ends)
        assert(program.exit_code() == 0);
}

// While a host's connections are being closed, a Write is rejected at once. The front end must not request
// its data, which the host might never send.
void a_write_is_refused_before_its_data_once_its_connection_ends() {
    RespNode node([](const auto &, int) {
        std::this_thread::sleep_for(2s);
        return RespNode::served(block_of('v'));
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host host(port);
    std::this_thread::sleep_for(700ms);
    host.io.send(Host::command(op::kRead, 1, 1)); // keeps the connection open until it is completed
    while (node.taken().empty())
        std::this_thread::sleep_for(5ms);
    assert(program.call("POST", "quiesce").first == 200);
    std::this_thread::sleep_for(1300ms);
    host.io.send(Host::command(op::kWrite, 2, 2));
    const auto answer = receive(host.io);
    assert(answer && answer->type == Type::Response && Completion::read(*answer).cid == 2);
    assert(!Completion::read(*answer).status.ok());
}

// The connections of a host are closed in time even if it always has commands in progress and sends more.
void a_host_that_never_rests_is_sent_away() {
    RespNode node([](const auto &, int) {
        std::this_thread::sleep_for(300ms);
        return RespNode::served(block_of('v'));
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host host(port);
    std::thread writer([&] {
        for (std::uint16_t cid = 1; host.io.send(Host::command(op::kRead, cid, cid % 200)); ++cid)
            std::this_thread::sleep_for(30ms);
    });
    std::this_thread::sleep_for(500ms);
    const auto called = std::chrono::steady_clock::now();
    assert(program.call("POST", "quiesce").first == 200);
    std::size_t completed = 0;
    while (const auto pdu = receive(host.io))
        completed += pdu->type == Type::Response;
    assert(host.admin.ended());
    assert(std::chrono::steady_clock::now() - called < 4s);
    assert(completed >= 10);
    host.io.shut();
    writer.join();
}

// Limits what the system buffers for the receiver of `s`, so that a host that does not read soon has answers
// waiting at the broker.
void buffer_little(const Socket &s) {
    const int bytes = 64 * 1024;
    setsockopt(s.descriptor(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}
std::string identify(std::uint16_t cid) {
    Command command = Command::make(op::kIdentify, cid, 1);
    command.set_dword(10, 1); // Identify Controller
    return command.capsule();
}

// Guards against blaming a host for part of a PDU whose rest the front end itself holds back, as too many
// answers wait for the host to read them: the host got a TermReq PDU, and its commands no completion.
void commands_held_back_behind_unread_answers_are_completed() {
    constexpr std::uint16_t kCommands = 2500; // 10 MB of answers, more than the system buffers
    constexpr auto kNotReading = 3200ms;      // longer than the 2.5 s in which a host must complete a PDU
    const Discovery discovery(member("s-1", free_port(), 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host host(port);
    buffer_little(host.admin);
    std::thread writer([&] {
        std::string commands;
        for (std::uint16_t cid = 1; cid <= kCommands; ++cid)
            commands += identify(cid);
        host.admin.send(commands);
    });
    std::this_thread::sleep_for(kNotReading);
    std::string pages;
    for (std::uint16_t cid = 1; cid <= kCommands; ++cid)
        assert(host.completion(host.admin, &pages).cid == cid);
    writer.join();
    assert(pages.size() == kCommands * std::size_t{4096});
}

// Guards against closing the connection of a host for lack of a keep-alive that the front end has received
// and holds back, as too many answers wait for the host to read them.
void keep_alives_held_back_behind_unread_answers_count() {
    constexpr std::uint16_t kCommands = 2500; // 10 MB of answers, more than the system buffers
    constexpr std::uint32_t kKeepAliveMs = 1000;
    constexpr auto kNotReading = 3200ms; // longer than the timeout and its slack of 1 s
    const Discovery discovery(member("s-1", free_port(), 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Socket admin = Socket::to(port);
    assert(Host::connect(admin, 0, 0xffff, kKeepAliveMs) > 0);
    buffer_little(admin);
    const auto read_at = std::chrono::steady_clock::now() + kNotReading;
    std::uint16_t sent = 0;
    std::thread writer([&] {
        std::string commands;
        while (sent < kCommands)
            commands += identify(++sent);
        admin.send(commands);
        for (; std::chrono::steady_clock::now() < read_at; std::this_thread::sleep_for(300ms))
            admin.send(Command::make(op::kKeepAlive, ++sent).capsule());
    });
    std::this_thread::sleep_until(read_at);
    writer.join();
    for (std::uint16_t completed = 0; completed < sent;) {
        const auto pdu = receive(admin);
        assert(pdu);
        completed += pdu->type == Type::Response;
    }
}

// A host whose admin queue has answers waiting that it reads slowly, so that the system holds them.
class SlowHost {
public:
    static constexpr std::uint16_t kCommands = 600; // 2.5 MB of answers, less than the system takes
    explicit SlowHost(int port) : admin(Socket::to(port)) {
        assert(Host::connect(admin, 0, 0xffff) > 0);
        buffer_little(admin);
        std::string commands;
        for (std::uint16_t cid = 1; cid <= kCommands; ++cid)
            commands += identify(cid);
        admin.send(commands);
    }
    // Reads the completions of all commands but the last `left`, within some 10 ms each.
    void read_slowly(std::uint16_t left = 0) {
        while (completed_ < kCommands - left) {
            const auto pdu = receive(admin);
            assert(pdu);
            if (pdu->type != Type::Response)
                continue;
            ++completed_;
            std::this_thread::sleep_for(8ms);
        }
    }
    Socket admin;

private:
    std::uint16_t completed_ = 0;
};

// Guards against a reset of a host that is still reading when its connection ends, and sends its next
// command.
void answers_to_a_slow_host_outlast_a_quiesce() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    SlowHost host(port);
    std::this_thread::sleep_for(200ms);
    assert(program.call("POST", "quiesce").first == 200);
    host.read_slowly(200); // some 3 s
    assert(host.admin.send(identify(SlowHost::kCommands + 1)));
    host.read_slowly();
    assert(receive(host.admin)->type == Type::C2HData && receive(host.admin)->type == Type::Response);
    assert(host.admin.ended());
}
void answers_to_a_slow_host_outlast_a_malformed_pdu() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    SlowHost host(port);
    host.admin.send(std::string(128, 'x'));
    host.read_slowly(200);
    host.admin.send(identify(SlowHost::kCommands + 1));
    host.read_slowly();
    assert(receive(host.admin)->type == Type::C2HTermReq);
    assert(host.admin.ended());
}

// Guards against a deadlock: the data of writes was held back as too many commands were open, which were just
// these writes, so that each failed once its time was over.
void writes_get_the_data_that_they_wait_for() {
    constexpr std::uint16_t kCommands = 300; // more than a connection may have open
    RespNode node([](const auto &, int) { return RespNode::served("OK"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false));
    Host host(port);
    std::string commands;
    for (std::uint16_t cid = 1; cid <= kCommands; ++cid)
        commands += Host::command(op::kWrite, cid, cid % 200);
    host.io.send(commands);
    int served = 0;
    for (std::uint16_t completed = 0; completed < kCommands;) {
        const auto pdu = receive(host.io);
        assert(pdu && (pdu->type == Type::R2T || pdu->type == Type::Response));
        if (pdu->type == Type::R2T) {
            const auto cid = nvme::get<std::uint16_t>(pdu->head, 8),
                       tag = nvme::get<std::uint16_t>(pdu->head, 10);
            host.io.send(nvme::data(Type::H2CData, cid, tag, 0, block_of('w'), true));
            continue;
        }
        const auto status = Completion::read(*pdu).status;
        assert(status.code != status::kTransferError);
        served += status.ok();
        ++completed;
    }
    assert(served > 0);
}

// Guards against closing a node's association, with all commands open on it, because an admin command was on
// its way when the next keep-alive was due: it was taken for one that the node had not answered.
void a_node_has_time_for_each_admin_command() {
    constexpr auto kKeepAliveInterval = 5s; // of the broker to its nodes
    constexpr int kAbortMs = 600;           // less than the 2 s that a node has for an Abort command
    constexpr int kWaitMs = 300;
    Target target(
        [](bool, std::uint64_t block, int) { return block == 0x105 ? Behavior::Silent : Behavior::Serve; });
    target.abort_delay_ms = kAbortMs;
    const Discovery discovery(member("s-1", target.server.port, 0));
    const Program program(discovery, operator_settings(free_port(), true));
    Socket first = program.client();
    first.send(get("0000000000000106")); // establishes the association
    assert(first.value()->kind == resp::Value::Kind::Bulk);
    const auto established = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(established + kKeepAliveInterval - (kWaitMs + kAbortMs / 2) * 1ms);
    Socket client = program.client();                 // the first one was idle for too long
    client.send(get("0000000000000105", 0, kWaitMs)); // aborted at its deadline
    assert(client.value()->kind == resp::Value::Kind::Error);
    std::this_thread::sleep_until(established + kKeepAliveInterval + kAbortMs * 1ms);
    assert(target.aborts == 1);
    assert(program.log().find("keep-alive timed out") == std::string::npos);
    assert(target.server.accepted == 2); // still the first association
}

// A node that leaves a keep-alive without a completion until the next is due loses its association.
void a_node_that_misses_a_keep_alive_is_left() {
    constexpr auto kKeepAliveInterval = 5s;
    Target target(serve_all);
    target.ignore_keep_alives = true;
    const Discovery discovery(member("s-1", target.server.port, 0));
    const Program program(discovery, operator_settings(free_port(), true));
    Socket client = program.client();
    client.send(get("0000000000000106"));
    assert(client.value()->kind == resp::Value::Kind::Bulk);
    std::this_thread::sleep_for(2 * kKeepAliveInterval - 1s);
    assert(program.log().find("keep-alive timed out") == std::string::npos);
    program.await_log("keep-alive timed out");
}

// Guards against making room by ending an admin queue, and with it the commands of its I/O queues.
void a_host_with_an_open_command_outlasts_newcomers() {
    constexpr Limits kFewDescriptors{.memory_mb = 16, .sockets = 64}; // 8 of them for clients
    constexpr int kNewcomers = 30;
    const RespNode node([](const auto &, int) {
        std::this_thread::sleep_for(800ms);
        return RespNode::served("value");
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const int port = free_port();
    const Program program(discovery, operator_settings(port, false), kSettings, {}, 0, "n0", kFewDescriptors);
    Host host(port);
    std::this_thread::sleep_for(200ms); // the queues are not new any more
    host.io.send(Host::command(op::kRead, 9, 5));
    std::list<Socket> newcomers;
    for (int n = 0; n < kNewcomers; ++n) {
        newcomers.push_back(Socket::to(port));
        std::this_thread::sleep_for(5ms);
    }
    std::string value;
    assert(host.completion(host.io, &value).status.ok() && value.starts_with("value"));
}

} // namespace

int main() {
    the_bytes_are_the_specifications();
    hosts_and_resp_clients_share_an_nvme_node();
    a_second_copy_behind_an_answer_changes_nothing();
    a_second_copy_during_the_set_up_changes_nothing();
    idle_associations_stay();
    hosts_are_served_by_resp_nodes();
    long_values_are_not_cut_to_a_block();
    a_command_cancelled_half_way();
    a_deadline_ends_a_silent_command();
    a_lost_connection_is_made_again();
    nothing_new_goes_to_a_draining_nvme_node();
    malformed_pdus_end_one_connection_only();
    silent_hosts_and_half_pdus_get_an_end();
    half_a_node_pdu_is_not_waited_for();
    outcomes_are_the_same_over_both_protocols();
    commands_are_completed_before_a_host_is_let_go(false);
    commands_are_completed_before_a_host_is_let_go(true);
    a_write_is_refused_before_its_data_once_its_connection_ends();
    a_host_that_never_rests_is_sent_away();
    commands_held_back_behind_unread_answers_are_completed();
    keep_alives_held_back_behind_unread_answers_count();
    answers_to_a_slow_host_outlast_a_quiesce();
    answers_to_a_slow_host_outlast_a_malformed_pdu();
    writes_get_the_data_that_they_wait_for();
    a_node_has_time_for_each_admin_command();
    a_node_that_misses_a_keep_alive_is_left();
    a_host_with_an_open_command_outlasts_newcomers();
}
