// Checks the format of the messages that a process exchanges with its successor: a new version must be able
// to read what an older one hands over. tests/fixtures/hot_restart/ has packets written by version 0.1.0
// (98b3caf).
//
// `hot_restart_format_test record` replaces the fixtures with packets of the current program. Use it only for
// a deliberate change of the format.
#include "helper.hpp"

#include <json/json.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/un.h>

using namespace test;

namespace {

const std::filesystem::path kFixtures = std::filesystem::path(MARBLEWOOD_FIXTURES) / "hot_restart";
const std::string kDataKey = "7f3a9c21e0b4d655";
constexpr std::size_t kMaxPacketBytes = 64 * 1024;
constexpr std::size_t kMaxDescriptors = 4;
// The plan's rate limit. A volume without a history starts with no units and has at least kMinRestoredUnits
// after kRefillTime.
constexpr double kUnitsPerSecond = 30;
constexpr double kBurstUnits = 400;
constexpr auto kRefillTime = 3s;
constexpr double kMinRestoredUnits = 60;

struct Packet {
    std::string bytes;
    std::vector<int> descriptors;
};

/// One end of the Unix socket between a process and its successor.
class PacketSocket {
public:
    explicit PacketSocket(int descriptor) : descriptor_(descriptor) {
        const timeval limit{15, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    PacketSocket(const PacketSocket &) = delete;
    ~PacketSocket() { ::close(descriptor_); }

    void send(const std::string &bytes, const std::vector<int> &descriptors = {}) const {
        iovec part{const_cast<char *>(bytes.data()), bytes.size()};
        alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptors)] = {};
        msghdr header{};
        header.msg_iov = &part;
        header.msg_iovlen = 1;
        if (!descriptors.empty()) {
            const std::size_t size = sizeof(int) * descriptors.size();
            header.msg_control = control;
            header.msg_controllen = CMSG_SPACE(size);
            cmsghdr *const rights = CMSG_FIRSTHDR(&header);
            rights->cmsg_level = SOL_SOCKET;
            rights->cmsg_type = SCM_RIGHTS;
            rights->cmsg_len = CMSG_LEN(size);
            std::memcpy(CMSG_DATA(rights), descriptors.data(), size);
        }
        assert(::sendmsg(descriptor_, &header, MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    Packet receive() const {
        Packet packet;
        packet.bytes.resize(kMaxPacketBytes);
        iovec part{packet.bytes.data(), packet.bytes.size()};
        alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptors)] = {};
        msghdr header{};
        header.msg_iov = &part;
        header.msg_iovlen = 1;
        header.msg_control = control;
        header.msg_controllen = sizeof control;
        const auto received = ::recvmsg(descriptor_, &header, 0);
        assert(received > 0);
        packet.bytes.resize(static_cast<std::size_t>(received));
        for (cmsghdr *rights = CMSG_FIRSTHDR(&header); rights; rights = CMSG_NXTHDR(&header, rights)) {
            packet.descriptors.resize((rights->cmsg_len - CMSG_LEN(0)) / sizeof(int));
            std::memcpy(packet.descriptors.data(), CMSG_DATA(rights), rights->cmsg_len - CMSG_LEN(0));
        }
        return packet;
    }

private:
    int descriptor_;
};

sockaddr_un rendezvous_address(const std::string &folder) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    const std::string path = folder + "/marblewood.handover";
    std::copy(path.begin(), path.end(), address.sun_path);
    return address;
}

std::unique_ptr<PacketSocket> connect_as_successor(const Program &program) {
    const int descriptor = ::socket(AF_UNIX, SOCK_SEQPACKET, 0);
    const sockaddr_un address =
        rendezvous_address(std::filesystem::path(program.path("config.json")).parent_path());
    assert(::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    return std::make_unique<PacketSocket>(descriptor);
}

/// Listens at the path at which a successor looks for its parent process, in place of the parent program,
/// which has handed over to this test.
class RendezvousListener {
public:
    explicit RendezvousListener(const std::string &folder)
        : descriptor_(::socket(AF_UNIX, SOCK_SEQPACKET, 0)) {
        const sockaddr_un address = rendezvous_address(folder);
        ::unlink(address.sun_path);
        assert(::bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        assert(::listen(descriptor_, 1) == 0);
    }
    RendezvousListener(const RendezvousListener &) = delete;
    ~RendezvousListener() { ::close(descriptor_); }
    std::unique_ptr<PacketSocket> accept() const {
        return std::make_unique<PacketSocket>(::accept(descriptor_, nullptr, nullptr));
    }

private:
    int descriptor_;
};

std::string read_file(const std::filesystem::path &path) {
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    assert(!text.str().empty());
    return text.str();
}

Json::Value parse(const std::string &text) {
    Json::Value value;
    std::istringstream stream(text);
    stream >> value;
    return value;
}

std::string settings_with_rate_limit() {
    std::string settings = kSettings;
    const std::string reserve = R"("reserve":800.0})";
    settings.replace(settings.find(reserve), reserve.size(),
                     fmt::format(R"("reserve":800.0,"ceiling_rate":{:.1f},"burst":{:.1f},"cap_slack":1.0}})",
                                 kUnitsPerSecond, kBurstUnits));
    return settings;
}

std::string served_value(Socket &client, int shard) {
    client.send(get(kDataKey, shard));
    const auto answer = client.value();
    assert(answer);
    return answer->text;
}

/// The JSON of a state, joined from its packets as a successor does, and the descriptors sent with it.
struct ReceivedState {
    std::string json;
    std::vector<int> descriptors;
};
ReceivedState receive_state(const PacketSocket &channel) {
    ReceivedState state;
    for (;;) {
        const Packet packet = channel.receive();
        assert(packet.bytes.front() == 'P' || packet.bytes.front() == 'S');
        state.json += packet.bytes.substr(1);
        if (packet.bytes.front() == 'S') {
            state.descriptors = packet.descriptors;
            return state;
        }
    }
}

/// The state of a quiesced process with a cordoned node, a partly used rate limit and a node in slow start.
std::string state_of_a_running_program() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0) + "," + member("s-2", free_port(), 1) + "," +
                              member("s-3", free_port(), 2, "draining"));
    const Program program(discovery, "", settings_with_rate_limit());
    {
        Socket first = program.client();
        served_value(first, 0);
    }
    std::this_thread::sleep_for(kRefillTime);
    Socket client = program.client();
    for (int n = 0; n < 5; ++n)
        assert(served_value(client, 0) == "v");
    assert(program.call("POST", "cordon", "s-1").first == 200);
    assert(program.call("POST", "uncordon", "s-1").first == 200); // starts a slow start
    for (int n = 0; n < 100 && served_value(client, 0) != "v"; ++n)
        ;
    assert(program.call("POST", "cordon", "s-2").first == 200);
    assert(program.call("POST", "quiesce").first == 200);
    const auto channel = connect_as_successor(program);
    channel->send("T");
    const ReceivedState state = receive_state(*channel);
    for (const int descriptor : state.descriptors)
        ::close(descriptor);
    return state.json;
}

std::set<std::string> fields(const Json::Value &object) {
    const auto names = object.getMemberNames();
    return {names.begin(), names.end()};
}

// Checks the fields of the state and their types, on which successors of any version rely.
void the_state_has_the_fields_of_the_fixture() {
    const Json::Value fixture = parse(read_file(kFixtures / "state.json"));
    Json::Value state = parse(state_of_a_running_program());
    // Added after the version that wrote the fixture, which ignores them.
    const Json::Value request_ids = state["request_ids"];
    state.removeMember("request_ids");
    assert(request_ids.isArray());
    for (const char *const field : {"list_source", "discovery"}) {
        const Json::Value source = state[field];
        state.removeMember(field);
        assert(source.isString());
    }
    assert(fields(state) == fields(fixture));
    assert(fields(state["fleet"]) == fields(fixture["fleet"]));
    for (const char *const list : {"cordons", "fleet_cordons", "limits", "nodes"})
        assert(state["fleet"][list].isArray() &&
               state["fleet"][list].size() == fixture["fleet"][list].size());
    assert(state["sockets"] == fixture["sockets"]);
    assert(state["quiesced"] == fixture["quiesced"]);
    assert(state["clients"] == fixture["clients"]);
    assert(state["fleet"]["cordons"] == fixture["fleet"]["cordons"]);
    assert(fields(state["fleet"]["list"]) == fields(fixture["fleet"]["list"]));
    assert(state["fleet"]["list"]["members"].size() == fixture["fleet"]["list"]["members"].size());
    for (Json::ArrayIndex n = 0; n < 3; ++n) {
        Json::Value row = state["fleet"]["list"]["members"][n];
        row["host_port"] = fixture["fleet"]["list"]["members"][n]["host_port"];
        assert(row == fixture["fleet"]["list"]["members"][n]);
        assert(fields(state["fleet"]["nodes"][n]) == fields(fixture["fleet"]["nodes"][n]));
        for (const std::string &field : fields(row))
            assert(row[field].type() == fixture["fleet"]["list"]["members"][n][field].type());
    }
    assert(fields(state["fleet"]["limits"][0]) == fields(fixture["fleet"]["limits"][0]));
    assert(state["fleet"]["limits"][0]["volume"] == fixture["fleet"]["limits"][0]["volume"]);
    const Json::Value &slow_start_sends = state["fleet"]["nodes"][0]["spent"];
    assert(!slow_start_sends.empty() &&
           fields(slow_start_sends[0]) == fields(fixture["fleet"]["nodes"][0]["spent"][0]));
}

/// A program that has taken over the state in the fixture. The test acts as its parent process and passes on
/// the sockets of a real parent.
class RestoredProgram {
public:
    RestoredProgram()
        : discovery_(member("s-1", free_port(), 0)), parent_(discovery_, "", settings_with_rate_limit()) {
        Socket client = parent_.client();
        client.send(kUnfinishedCommand);
        wait_for_received_bytes(client);
        parent_channel_ = connect_as_successor(parent_);
        parent_channel_->send("T");
        const ReceivedState received = receive_state(*parent_channel_);
        client_packet_ = parent_channel_->receive();
        const RendezvousListener listener(folder());
        std::thread parent_role([&] {
            channel_ = listener.accept();
            assert(channel_->receive().bytes == "T");
            const std::string state = read_file(kFixtures / "state.json");
            const std::size_t half = state.size() / 2;
            channel_->send("P" + state.substr(0, half));
            channel_->send("S" + state.substr(half), received.descriptors);
        });
        program_.emplace(parent_); // on this thread: the child process ends with the thread that started it
        parent_role.join();
        client_.emplace(std::move(client));
    }
    const PacketSocket &channel() const { return *channel_; }
    const Program &program() const { return *program_; }
    const Packet &client_packet() const { return client_packet_; }
    Socket &client() { return *client_; }
    std::string folder() const { return std::filesystem::path(parent_.path("config.json")).parent_path(); }

    /// A command, and the beginning of it, which is sent before the hot restart; the rest is sent afterwards.
    inline static const std::string kCommand = get(kDataKey, 7, 300, "9b1f03aa5c7e2d41");
    inline static const std::string kUnfinishedCommand = kCommand.substr(0, kCommand.size() - 20);

private:
    static void wait_for_received_bytes(const Socket &client) {
        int unacknowledged = 1;
        while (unacknowledged > 0) {
            assert(::ioctl(client.descriptor(), SIOCOUTQ, &unacknowledged) == 0);
            std::this_thread::sleep_for(5ms);
        }
        std::this_thread::sleep_for(
            100ms); // gives the program time to read the bytes that the kernel has received
    }

    const Discovery discovery_;
    Program parent_;
    std::unique_ptr<PacketSocket> parent_channel_; // without it the parent listens for a successor again
    std::optional<Program> program_;
    std::unique_ptr<PacketSocket> channel_;
    Packet client_packet_;
    std::optional<Socket> client_;
};

Json::Value state_handed_over_by(const Program &program) {
    const auto channel = connect_as_successor(program);
    channel->send("T");
    const ReceivedState state = receive_state(*channel);
    for (const int descriptor : state.descriptors)
        ::close(descriptor);
    return parse(state.json);
}

// A successor hands over the same state that it has received.
void the_fixture_is_restored() {
    const Json::Value fixture = parse(read_file(kFixtures / "state.json"));
    const RestoredProgram restored;
    assert(restored.program().call("GET", "stats").second.find("balancer.cluster_size:3|g") !=
           std::string::npos);
    const Json::Value state = state_handed_over_by(restored.program());
    assert(state["quiesced"].asBool() && state["quiesced_us"].asInt64() >= fixture["quiesced_us"].asInt64());
    assert(state["now_us"].asInt64() > fixture["now_us"].asInt64());
    assert(state["now_us"].asInt64() < fixture["now_us"].asInt64() + 30'000'000);
    for (const char *const part : {"list", "cordons", "fleet_cordons", "born", "nodes"})
        assert(state["fleet"][part] == fixture["fleet"][part]);
}

// A volume's rate limit continues with the units left in the parent process.
void the_rate_limit_is_restored() {
    const Json::Value fixture = parse(read_file(kFixtures / "state.json"));
    const double left = fixture["fleet"]["limits"][0]["units"].asDouble();
    assert(left >= kMinRestoredUnits && left <= kBurstUnits);
    RestoredProgram restored;
    Socket client = restored.program().client();
    client.send(get(kDataKey, 7, 300));
    assert(client.value()->text.starts_with("BUSY"));
    const Json::Value state = state_handed_over_by(restored.program());
    const Json::Value &limits = state["fleet"]["limits"];
    assert(limits.size() == 1);
    assert(limits[0]["volume"] == fixture["fleet"]["limits"][0]["volume"]);
    assert(limits[0]["units"].asDouble() >= left && limits[0]["units"].asDouble() <= kBurstUnits);
    assert(limits[0]["lent"] == fixture["fleet"]["limits"][0]["lent"]);
}

// A client connection handed over in the format of the fixture continues after its partly received command,
// and the program hands connections over in the same format.
void a_clients_connection_is_restored() {
    const std::string fixture = read_file(kFixtures / "client.bin");
    RestoredProgram restored;
    const auto without_time = [](const std::string &packet) {
        const std::size_t front_end = packet.find(' ');
        const std::size_t asked_end = packet.find(' ', front_end + 1);
        const std::size_t time_end = packet.find(' ', asked_end + 1);
        assert(packet.find_first_not_of("0123456789", asked_end + 1) == time_end);
        return packet.substr(0, asked_end) + packet.substr(time_end);
    };
    assert(without_time(restored.client_packet().bytes) == without_time(fixture));
    assert(restored.client_packet().descriptors.size() == 1);
    restored.channel().send(fixture, restored.client_packet().descriptors);
    ::close(restored.client_packet().descriptors[0]);
    restored.client().send(RestoredProgram::kCommand.substr(RestoredProgram::kUnfinishedCommand.size()));
    assert(restored.client().value()->text.starts_with("BUSY"));
}

// A successor forwards operator commands to its parent process in this format.
void operators_changes_reach_the_parent_process() {
    const RestoredProgram restored;
    const Program &program = restored.program();
    const PacketSocket &channel = restored.channel();
    assert(program.call("POST", "cordon", "s-3").first == 200 && channel.receive().bytes == "Ds-3");
    assert(program.call("POST", "uncordon", "s-3").first == 200 && channel.receive().bytes == "Us-3");
    assert(program.call("POST", "resume").first == 200 && channel.receive().bytes == "R");
    assert(program.call("POST", "quiesce").first == 200 && channel.receive().bytes == "Q");
}

// A parent process executes the operator commands that its successor forwards.
void the_parent_process_carries_out_its_successors_orders() {
    const Discovery discovery(member("s-1", free_port(), 0));
    const Program program(discovery);
    const auto channel = connect_as_successor(program);
    channel->send("T");
    for (const int descriptor : receive_state(*channel).descriptors)
        ::close(descriptor);
    const auto await_metric = [&](const char *name, long value) {
        for (int n = 0; n < 500 && program.figures().at(name) != value; ++n)
            std::this_thread::sleep_for(10ms);
        assert(program.figures().at(name) == value);
    };
    channel->send("Ds-1");
    await_metric("cluster_unhealthy", 1);
    channel->send("Us-1");
    await_metric("cluster_unhealthy", 0);
}

void record() {
    std::ofstream(kFixtures / "state.json") << state_of_a_running_program();
    const RestoredProgram restored;
    std::ofstream(kFixtures / "client.bin") << restored.client_packet().bytes;
}

} // namespace

int main(int count, char **words) {
    if (count == 2 && std::string_view(words[1]) == "record") {
        record();
        return 0;
    }
    the_state_has_the_fields_of_the_fixture();
    the_fixture_is_restored();
    the_rate_limit_is_restored();
    a_clients_connection_is_restored();
    operators_changes_reach_the_parent_process();
    the_parent_process_carries_out_its_successors_orders();
}
