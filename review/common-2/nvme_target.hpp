/// \file
/// A stand-in for a storage node that speaks the subset of NVMe over TCP: one subsystem with one namespace of
/// blocks with 8 bytes of extended metadata. What it sends for a command can be changed by the case.
#pragma once

#include "harness.hpp"

#include "net/nvme/pdu.hpp"

namespace review {

namespace nvme = marblewood::net::nvme;
inline const std::string kSubsystem = "nqn.2026-12.net.hanbit:store";

/// The operator's file of a broker whose node s-1 speaks NVMe over TCP.
inline std::string nvme_operator(std::uint32_t block_bytes, int planners = 1) {
    return fmt::format(
        R"({{"planners":{},"nvme":{{"block_bytes":{},"nodes":{{"s-1":{{"subsystem":"{}","nsid":1}}}}}}}})",
        planners, block_bytes, kSubsystem);
}

class NvmeTarget {
public:
    explicit NvmeTarget(std::uint32_t block_bytes)
        : block_bytes_(block_bytes), server([this](test::Socket &socket) { serve(socket); }) {}

    /// Called with all bytes of the answer to an I/O command, before they are sent; returns what is sent.
    std::function<std::string(bool write, std::uint64_t block, std::string answer)> on_answer;
    /// The same for the answer to the Connect command of an I/O queue.
    std::function<std::string(std::string answer)> on_connected;
    /// Called before the R2T of a write is sent.
    std::function<void(std::uint64_t block)> before_data_is_requested;
    /// Called when a write is run.
    std::function<void(std::uint64_t block, const std::string &data)> on_write_run;

private:
    static std::optional<nvme::Pdu> receive(test::Socket &socket) {
        for (;;) {
            if (auto pdu = nvme::take(socket.in))
                return pdu;
            if (!socket.more(600'000))
                return std::nullopt;
        }
    }
    std::size_t extended() const { return block_bytes_ + 8; }

    void serve(test::Socket &socket) {
        try {
            serve_commands(socket);
        } catch (const nvme::Malformed &) { // such as a TermReq: the connection ends
        }
    }

    void serve_commands(test::Socket &socket) {
        const auto request = receive(socket);
        if (!request || request->type != nvme::Type::ICReq)
            return;
        socket.send(nvme::ic_resp(65536));
        std::map<std::uint16_t, std::pair<std::uint64_t, std::string>> writes; // by command identifier
        while (const auto pdu = receive(socket)) {
            if (pdu->type == nvme::Type::H2CData) {
                take_data(socket, writes, *pdu);
                continue;
            }
            if (pdu->type != nvme::Type::Command)
                return;
            const nvme::Command command{pdu->head.substr(8, 64)};
            const bool fabrics = command.opcode() == nvme::op::kFabrics;
            const bool connect = fabrics && command.fabrics_type() == nvme::op::kConnect;
            if (connect)
                io_queue_of_[&socket] = command.dword<std::uint32_t>(10) >> 16 != 0;
            if (fabrics || !is_io(socket))
                answer_admin(socket, command, connect);
            else if (command.opcode() == nvme::op::kWrite)
                request_data(socket, writes, command);
            else
                answer_read(socket, command);
        }
    }

    bool is_io(const test::Socket &socket) {
        const std::lock_guard lock(mutex_);
        return io_queue_of_[&socket];
    }

    void answer_admin(test::Socket &socket, const nvme::Command &command, bool connect) {
        nvme::Completion done;
        done.cid = command.cid();
        std::string answer;
        if (connect)
            done.result = 7;
        else if (command.opcode() == nvme::op::kFabrics)
            done.result = 1; // the property: ready
        else if (command.opcode() == nvme::op::kIdentify)
            answer = nvme::data(nvme::Type::C2HData, command.cid(), 0, 0, identify_page(), true);
        answer += done.capsule();
        if (connect && is_io(socket) && on_connected)
            answer = on_connected(std::move(answer));
        socket.send(answer);
    }

    std::string identify_page() const {
        std::string page(4096, '\0');
        nvme::set<std::uint8_t>(page, 26, 0x10); // extended metadata
        nvme::set<std::uint16_t>(page, 128, 8);
        std::uint8_t shift = 0;
        while (1u << shift != block_bytes_)
            ++shift;
        nvme::set<std::uint8_t>(page, 130, shift);
        return page;
    }

    void request_data(test::Socket &socket,
                      std::map<std::uint16_t, std::pair<std::uint64_t, std::string>> &writes,
                      const nvme::Command &command) {
        writes[command.cid()] = {command.dword<std::uint64_t>(10), ""};
        if (before_data_is_requested)
            before_data_is_requested(command.dword<std::uint64_t>(10));
        socket.send(nvme::r2t(command.cid(), command.cid(), 0, static_cast<std::uint32_t>(extended())));
    }

    // A write is run once its last byte has come.
    void take_data(test::Socket &socket,
                   std::map<std::uint16_t, std::pair<std::uint64_t, std::string>> &writes,
                   const nvme::Pdu &pdu) {
        const auto cid = nvme::get<std::uint16_t>(pdu.head, 8);
        auto &[block, data] = writes.at(cid);
        data += pdu.data;
        if (data.size() < extended())
            return;
        {
            const std::lock_guard lock(mutex_);
            blocks_[block] = data;
        }
        if (on_write_run)
            on_write_run(block, data);
        nvme::Completion done;
        done.cid = cid;
        std::string answer = done.capsule();
        if (on_answer)
            answer = on_answer(true, block, std::move(answer));
        socket.send(answer);
        writes.erase(cid);
    }

    void answer_read(test::Socket &socket, const nvme::Command &command) {
        const auto block = command.dword<std::uint64_t>(10);
        std::string bytes(extended(), '\0');
        {
            const std::lock_guard lock(mutex_);
            if (const auto found = blocks_.find(block); found != blocks_.end())
                bytes = found->second;
        }
        nvme::Completion done;
        done.cid = command.cid();
        std::string answer =
            nvme::data(nvme::Type::C2HData, command.cid(), 0, 0, bytes, true) + done.capsule();
        if (on_answer)
            answer = on_answer(false, block, std::move(answer));
        socket.send(answer);
    }

    const std::uint32_t block_bytes_;
    std::mutex mutex_;
    std::map<std::uint64_t, std::string> blocks_;
    std::map<const test::Socket *, bool> io_queue_of_;

public:
    test::Server server;
};

} // namespace review
