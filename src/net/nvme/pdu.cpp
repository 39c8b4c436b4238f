#include "net/nvme/pdu.hpp"

namespace marblewood::net::nvme {
namespace {

constexpr std::size_t kCommonHeaderBytes = 8;

// The length of the header of each PDU type; 0 if the type is unknown.
std::size_t head_size(Type type) {
    switch (type) {
    case Type::ICReq:
    case Type::ICResp:
        return 128;
    case Type::Command:
        return 72;
    case Type::H2CTermReq:
    case Type::C2HTermReq:
    case Type::Response:
    case Type::H2CData:
    case Type::C2HData:
    case Type::R2T:
        return 24;
    }
    return 0;
}
bool carries_data(Type type) {
    return type == Type::Command || type == Type::H2CData || type == Type::C2HData ||
           type == Type::H2CTermReq || type == Type::C2HTermReq;
}

} // namespace

std::optional<Pdu> take(std::string &in) {
    if (in.size() < kCommonHeaderBytes)
        return std::nullopt;
    const auto type = static_cast<Type>(in[0]);
    const std::size_t head = head_size(type), announced_head = get<std::uint8_t>(in, 2),
                      offset = get<std::uint8_t>(in, 3), size = get<std::uint32_t>(in, 4);
    const auto malformed = [&](const char *what) {
        return Malformed(Fatal::HeaderField, what,
                         in.substr(0, std::min(in.size(), std::max(kCommonHeaderBytes, head))));
    };
    if (head == 0)
        throw malformed("unknown PDU type");
    if (announced_head != head)
        throw malformed("wrong header length");
    if (get<std::uint8_t>(in, 1) & 0x03)
        throw malformed("digests were not negotiated");
    if (size < head || size > head + kMaxPduDataBytes + 128)
        throw malformed("PDU length out of range");
    if (size > head && !carries_data(type))
        throw malformed("PDU type carries no data");
    const std::size_t data_at = size > head && offset >= head ? offset : head;
    if (data_at > size)
        throw malformed("data offset out of range");
    if (in.size() < size)
        return std::nullopt;
    Pdu pdu{type, get<std::uint8_t>(in, 1), in.substr(0, head), in.substr(data_at, size - data_at)};
    in.erase(0, size);
    return pdu;
}

std::string pdu(Type type, std::size_t head, std::string_view data, std::uint8_t flags) {
    std::string out(head, '\0');
    set<std::uint8_t>(out, 0, static_cast<std::uint8_t>(type));
    set<std::uint8_t>(out, 1, flags);
    set<std::uint8_t>(out, 2, static_cast<std::uint8_t>(head));
    if (!data.empty())
        set<std::uint8_t>(out, 3, static_cast<std::uint8_t>(head));
    set<std::uint32_t>(out, 4, static_cast<std::uint32_t>(head + data.size()));
    return out.append(data);
}

std::string ic_req() {
    return pdu(Type::ICReq, 128);
}
std::string ic_resp(std::uint32_t most_h2c_data) {
    std::string out = pdu(Type::ICResp, 128);
    set(out, 12, most_h2c_data);
    return out;
}
std::string term_req(Type type, const Malformed &error) {
    std::string out = pdu(type, 24, error.head);
    set(out, 8, static_cast<std::uint16_t>(error.fatal));
    return out;
}
std::string r2t(std::uint16_t cid, std::uint16_t tag, std::uint32_t offset, std::uint32_t length) {
    std::string out = pdu(Type::R2T, 24);
    set(out, 8, cid);
    set(out, 10, tag);
    set(out, 12, offset);
    set(out, 16, length);
    return out;
}
std::string data(Type type, std::uint16_t cid, std::uint16_t tag, std::uint32_t offset,
                 std::string_view bytes, bool last) {
    std::string out = pdu(type, 24, bytes, last ? kLastPdu : 0);
    set(out, 8, cid);
    set(out, 10, tag);
    set(out, 12, offset);
    set(out, 16, static_cast<std::uint32_t>(bytes.size()));
    return out;
}

Command Command::make(std::uint8_t opcode, std::uint16_t cid, std::uint32_t nsid) {
    Command command;
    set(command.bytes, 0, opcode);
    set<std::uint8_t>(command.bytes, 1, 0x40); // PSDT: the data is described by a scatter-gather list
    set(command.bytes, 2, cid);
    set(command.bytes, 4, nsid);
    return command;
}
void Command::describe_data(std::uint32_t length, bool in_capsule) {
    set(bytes, 32, length);
    set(bytes, 39, in_capsule ? kSglInCapsule : kSglTransport);
}
std::string Command::capsule(std::string_view in_capsule) const {
    std::string out = pdu(Type::Command, 72, in_capsule);
    return out.replace(8, 64, bytes);
}

std::string Completion::capsule() const {
    std::string out = pdu(Type::Response, 24);
    set(out, 8, result);
    set(out, 16, sq_head);
    set(out, 18, queue);
    set(out, 20, cid);
    const auto field = static_cast<std::uint16_t>(
        (status.code & 0x7ff) << 1 | (status.retry_delay & 3) << 12 | (status.do_not_retry ? 0x8000 : 0));
    set(out, 22, field);
    return out;
}
Completion Completion::read(const Pdu &pdu) {
    Completion completion;
    completion.result = get<std::uint64_t>(pdu.head, 8);
    completion.sq_head = get<std::uint16_t>(pdu.head, 16);
    completion.queue = get<std::uint16_t>(pdu.head, 18);
    completion.cid = get<std::uint16_t>(pdu.head, 20);
    const auto field = get<std::uint16_t>(pdu.head, 22);
    completion.status = {static_cast<std::uint16_t>(field >> 1 & 0x7ff),
                         static_cast<std::uint8_t>(field >> 12 & 3), (field & 0x8000) != 0};
    return completion;
}

} // namespace marblewood::net::nvme
