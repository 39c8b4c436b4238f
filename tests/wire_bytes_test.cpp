/// \file
/// The exact bytes of the protocols' messages. Other tests decode them with the program's own code, so that
/// they would not detect a change of both the encoder and the decoder. Numbers in NVMe PDUs are
/// little-endian.
#include "marblewood/scheduler.hpp"
#include "net/nvme/pdu.hpp"
#include "net/resp/parser.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace marblewood {
namespace {

namespace nvme = net::nvme;
namespace resp = net::resp;

/// Hexadecimal digits, with each run of at least four zero bytes shortened to `(count)`.
std::string hex(std::string_view bytes) {
    std::string text;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t end = std::min(bytes.find_first_not_of('\0', at), bytes.size());
        const std::size_t zeros = end - at;
        if (zeros >= 4) {
            text += fmt::format("({})", zeros);
            at = end;
            continue;
        }
        text += fmt::format("{:02x}", static_cast<unsigned char>(bytes[at]));
        ++at;
    }
    return text;
}

TEST(WireBytes, NvmeConnectionSetup) {
    EXPECT_EQ(hex(nvme::ic_req()), "00008000"
                                   "80(123)");
    EXPECT_EQ(hex(nvme::ic_resp(0x10008)), "0100800080(7)080001(113)");
    const nvme::Malformed error(nvme::Fatal::Sequence, "out of order", std::string("\x04\x00\x48\x48", 4));
    EXPECT_EQ(hex(nvme::term_req(nvme::Type::C2HTermReq, error)), "030018181c00000002(15)04004848");
    EXPECT_EQ(hex(nvme::term_req(nvme::Type::H2CTermReq, error)), "020018181c00000002(15)04004848");
}

TEST(WireBytes, NvmeData) {
    EXPECT_EQ(hex(nvme::r2t(0x1234, 0x5678, 0x9abc, 0xdef0)), "090018001800000034127856bc9a0000f0de(6)");
    EXPECT_EQ(hex(nvme::data(nvme::Type::H2CData, 0x1234, 0x5678, 0x9abc, "value", false)),
              "060018181d00000034127856bc9a000005(7)76616c7565");
    EXPECT_EQ(hex(nvme::data(nvme::Type::C2HData, 0x1234, 0x5678, 0, "value", true)),
              "070418181d00000034127856(4)05(7)76616c7565");
}

TEST(WireBytes, NvmeCommands) {
    nvme::Command read = nvme::Command::make(nvme::op::kRead, 0x0102, 7);
    read.describe_data(0x10008, false);
    read.set_dword<std::uint64_t>(10, 0x1122334455667788);
    EXPECT_EQ(hex(read.capsule()), "04004800480000000240020107(27)080001(4)5a8877665544332211(16)");
    nvme::Command write = nvme::Command::make(nvme::op::kWrite, 3, 1);
    write.describe_data(4, true);
    EXPECT_EQ(hex(write.capsule("body")), "040048484c0000000140030001(27)04(6)01(24)626f6479");
}

TEST(WireBytes, NvmeCompletions) {
    nvme::Completion done;
    done.result = 0x0807060504030201;
    done.cid = 0x1234;
    done.sq_head = 0x5678;
    done.queue = 1;
    EXPECT_EQ(hex(done.capsule()), "050018001800000001020304050607087856010034120000");
    done.status = {nvme::status::kNotReady, 2, false};
    EXPECT_EQ(hex(done.capsule()), "050018001800000001020304050607087856010034120421");
    done.status = {nvme::status::kPathInaccessible, 0, true};
    EXPECT_EQ(hex(done.capsule()), "050018001800000001020304050607087856010034120486");
}

TEST(WireBytes, RespCommands) {
    EXPECT_EQ(resp::command({"PING"}), "*1\r\n$4\r\nPING\r\n");
    EXPECT_EQ(resp::command({"OBJ.PUT", "7f3a9c21e0b4d655", "id", "c=write", ""}),
              "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n7f3a9c21e0b4d655\r\n$2\r\nid\r\n$7\r\nc=write\r\n$0\r\n\r\n");
}

Settings settings_of_host(int position) {
    Settings settings;
    settings.hosts = 4;
    settings.position = position;
    settings.peers = true;
    settings.lends = true;
    settings.classes.resize(1);
    settings.classes[0].latency_objective = 500'000;
    settings.classes[0].deadline = 2'500'000;
    settings.plans.resize(2);
    settings.plans[0].rate = 10;
    settings.plans[0].limit = 4;
    settings.plans[0].limit_burst = 8;
    settings.plans[1].rate = 10;
    settings.slow_start_window = 1'000'000;
    settings.slow_start_duration = 8'000'000;
    settings.slow_start_initial_fraction = 0.2;
    settings.slow_start_units = 40;
    settings.mean_request_units = 2;
    settings.max_request_units = 6;
    return settings;
}

constexpr Micros kStart = 1'000'000'000;

/// Schedulers of several hosts, which receive each other's datagrams at once. Records each datagram as
/// "sender>receiver data".
class Hosts {
public:
    explicit Hosts(int count) {
        for (int position = 0; position < count; ++position)
            schedulers_.emplace_back(settings_of_host(position));
    }
    void handle(int host, Micros now, const Event &event) {
        std::vector<Action> actions;
        schedulers_[static_cast<std::size_t>(host)].handle(now, event, actions);
        for (const Action &action : actions) {
            const auto *message = std::get_if<SendPeerMessage>(&action);
            if (!message)
                continue;
            const int receiver = message->peer.value();
            transcript.push_back(fmt::format("{}>{} {}", host, receiver, message->data));
            handle(receiver, now, PeerMessage{host, message->data});
        }
    }
    std::vector<std::string> transcript;

private:
    std::vector<Scheduler> schedulers_;
};

RequestArrived request(std::uint64_t id, double units, int hosts) {
    RequestArrived arrived;
    arrived.id = RequestId{id};
    arrived.volume = VolumeId{0x3b4d60021};
    arrived.shard = ShardId{5};
    arrived.time_left = 2'500'000;
    arrived.units = units;
    arrived.hosts = hosts;
    return arrived;
}

// The letter after the prefix is the kind of the datagram: m registers the sender for the volume, h lists the
// volume's other hosts, a asks to borrow units and g grants them. In a and g, the volume is followed by the
// request number and the units. Volume and request number are hexadecimal.
TEST(WireBytes, QuotaLendingDatagrams) {
    Hosts hosts(4);
    const ListUpdate list{ListUpdate::Kind::Full, {{NodeId{1}, ShardId{5}, ZoneId{0}}}};
    for (int host = 0; host < 4; ++host)
        hosts.handle(host, kStart, list);
    hosts.handle(0, kStart, request(1, 1, 2));
    hosts.handle(2, kStart, request(1, 1, 2));
    hosts.handle(2, kStart + 3'000'000, request(2, 6, 2));
    EXPECT_EQ(hosts.transcript,
              std::vector<std::string>({"0>1 mw-loan1 m 3b4d60021", "2>1 mw-loan1 m 3b4d60021",
                                        "1>2 mw-loan1 h 3b4d60021 0", "2>0 mw-loan1 a 3b4d60021 3bc890c001 4",
                                        "0>2 mw-loan1 g 3b4d60021 3bc890c001 1"}));
}

TEST(WireBytes, SlowStartDatagrams) {
    Hosts hosts(4);
    const ListUpdate list{ListUpdate::Kind::Full,
                          {{NodeId{1}, ShardId{5}, ZoneId{0}, NodeState::Ready, kStart, false, 0xfeed}}};
    for (int host = 0; host < 4; ++host)
        hosts.handle(host, kStart - 5'000'000, TimerDue{1});
    for (int host = 0; host < 4; ++host)
        hosts.handle(host, kStart, list);
    for (int host = 0; host < 4; ++host) {
        RequestArrived arrived = request(1, 2, 4);
        arrived.plan = 1;
        hosts.handle(host, kStart + 3'000'000, arrived);
    }
    EXPECT_EQ(hosts.transcript,
              std::vector<std::string>(
                  {"1>3 mw-cold1 ask feed 3bc890c001 2", "2>3 mw-cold1 ask feed 3bc890c001 2",
                   "3>0 mw-cold1 ask feed 3bc890c001 2", "0>3 mw-cold1 give feed 3bc890c001 2"}));
}

} // namespace
} // namespace marblewood
