/// \file
/// A simulated NVMe/TCP target: admin and I/O queues, a store of blocks, and a script of faults.
#pragma once

#include "helper.hpp"

#include "net/nvme/pdu.hpp"

namespace test {

namespace nvme = marblewood::net::nvme;
using nvme::Command, nvme::Completion, nvme::Pdu, nvme::Type;
namespace op = nvme::op;
namespace status = nvme::status;

inline constexpr std::uint32_t kBlockBytes = 4096, kExtendedBlockBytes = kBlockBytes + 8;
inline const std::string kSubsystem = "nqn.2026-12.net.hanbit:store";

inline std::optional<Pdu> receive(Socket &s) {
    for (;;) {
        if (auto pdu = nvme::take(s.in))
            return pdu;
        if (!s.more())
            return std::nullopt;
    }
}

// A simulated NVMe target: admin and I/O queues, a store of blocks, and a script of faults.
enum class Behavior { Serve, ServeTwice, Error, NotReady, Silent, CloseConnection, SendPartialPdu };
class Target {
public:
    using Script = std::function<Behavior(bool write, std::uint64_t block, int nth)>;
    explicit Target(Script script, int receive_buffer_bytes = 0)
        : script_(std::move(script)), server([this](Socket &s) { serve(s); }, 0, receive_buffer_bytes) {}
    ~Target() { stands_still = false; }
    /// How many commands for the block have been executed.
    int runs(std::uint64_t block) {
        const std::lock_guard lock(mutex_);
        return commands_by_block_[block];
    }
    std::atomic<int> commands = 0, aborts = 0;
    std::atomic<int> writes_run = 0;
    std::atomic<int> abort_delay_ms = 0; // from an Abort command to its completion
    std::atomic<bool> ignore_keep_alives = false;
    std::atomic<bool> answers_setup_twice = false;
    std::atomic<int> stands_still_after = 0; // so many requests for a write's data; 0: never
    std::atomic<bool> stands_still = false;  // reads nothing

private:
    void serve(Socket &s) {
        if (const auto request_pdu = receive(s); !request_pdu || request_pdu->type != Type::ICReq)
            return;
        s.send(nvme::ic_resp(65536));
        // By command identifier, which is also used as transfer tag.
        std::map<std::uint16_t, std::pair<std::uint64_t, std::string>> writes;
        while (const auto pdu = receive(s)) {
            if (pdu->type == Type::H2CData) {
                const auto cid = nvme::get<std::uint16_t>(pdu->head, 8);
                auto &[block, data] = writes.at(cid);
                data += pdu->data;
                if (data.size() == kExtendedBlockBytes)
                    complete_command(s, cid, true, block, data);
                continue;
            }
            if (pdu->type != Type::Command) // H2CTermReq: the connection is being ended
                return;
            const Command c{pdu->head.substr(8, 64)};
            std::string answer;
            Completion done;
            done.cid = c.cid();
            if (c.opcode() == op::kFabrics) {
                if (c.fabrics_type() == op::kConnect) {
                    assert(pdu->data.size() == 1024 &&
                           pdu->data.compare(256, kSubsystem.size(), kSubsystem) == 0);
                    done.result = 7;
                } else if (c.fabrics_type() == op::kPropertyGet) {
                    done.result = 1;
                }
            } else if (c.opcode() == op::kIdentify) {
                std::string page(4096, '\0');
                nvme::set<std::uint8_t>(page, 26, 0x10);
                nvme::set<std::uint16_t>(page, 128, 8);
                nvme::set<std::uint8_t>(page, 130, 12);
                answer += nvme::data(Type::C2HData, c.cid(), 0, 0, page, true);
            } else if (c.opcode() == op::kKeepAlive && ignore_keep_alives) {
                continue;
            } else if (c.opcode() == op::kAbort) {
                ++aborts;
                std::this_thread::sleep_for(abort_delay_ms.load() * 1ms);
            } else if (c.opcode() == op::kWrite) {
                writes[c.cid()] = {c.dword<std::uint64_t>(10), ""};
                s.send(nvme::r2t(c.cid(), c.cid(), 0, kExtendedBlockBytes));
                stands_still = ++data_requests_ == stands_still_after;
                while (stands_still)
                    std::this_thread::sleep_for(1ms);
                continue;
            } else if (c.opcode() == op::kRead) {
                if (!complete_command(s, c.cid(), false, c.dword<std::uint64_t>(10), ""))
                    return;
                continue;
            }
            answer += done.capsule();
            const bool sets_up = c.opcode() == op::kFabrics || c.opcode() == op::kIdentify;
            s.send(sets_up && answers_setup_twice ? answer + answer : answer);
        }
    }
    bool complete_command(Socket &s, std::uint16_t cid, bool write, std::uint64_t block,
                          const std::string &data) {
        const std::lock_guard lock(mutex_);
        const Behavior behavior = script_(write, block, ++commands_by_block_[block]);
        ++commands;
        writes_run += write ? 1 : 0;
        Completion done;
        done.cid = cid;
        if (behavior == Behavior::CloseConnection)
            s.shut();
        if (behavior == Behavior::CloseConnection || behavior == Behavior::Silent)
            return behavior == Behavior::Silent;
        if (behavior == Behavior::SendPartialPdu)
            s.send(nvme::data(Type::C2HData, cid, 0, 0, std::string(1000, 'x'), false).substr(0, 500));
        if (behavior == Behavior::SendPartialPdu)
            return true;
        if (behavior == Behavior::Error)
            done.status.code = status::kInternal;
        if (behavior == Behavior::NotReady)
            done.status.code = status::kNotReady;
        const bool serves = behavior == Behavior::Serve || behavior == Behavior::ServeTwice;
        if (serves && write)
            blocks_[block] = data;
        std::string answer;
        if (serves && !write) {
            std::string bytes =
                blocks_.count(block) ? blocks_[block] : std::string(kExtendedBlockBytes, '\0');
            answer += nvme::data(Type::C2HData, cid, 0, 0, std::string_view(bytes).substr(0, 1000), false);
            answer += nvme::data(Type::C2HData, cid, 0, 1000, std::string_view(bytes).substr(1000), true);
        }
        answer += done.capsule();
        s.send(behavior == Behavior::ServeTwice ? answer + answer : answer);
        return true;
    }
    Script script_;
    std::atomic<int> data_requests_ = 0;
    std::mutex mutex_;
    std::map<std::uint64_t, int> commands_by_block_;
    std::map<std::uint64_t, std::string> blocks_;

public:
    Server server;
};

} // namespace test
