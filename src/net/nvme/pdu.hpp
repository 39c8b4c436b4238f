/// \file
/// Encoding and decoding of the PDUs, commands and completions of NVMe/TCP, as far as they are used here.
/// Digests are not supported.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marblewood::net::nvme {

enum class Type : std::uint8_t {
    ICReq = 0,
    ICResp = 1,
    H2CTermReq = 2,
    C2HTermReq = 3,
    Command = 4,
    Response = 5,
    H2CData = 6,
    C2HData = 7,
    R2T = 9
};
inline constexpr std::uint8_t kLastPdu = 0x04, kSuccess = 0x08;

/// The fatal error status of a TermReq PDU.
enum class Fatal : std::uint16_t {
    HeaderField = 1,
    Sequence = 2,
    OutOfRange = 4,
    LimitExceeded = 5,
    Unsupported = 6
};
/// A PDU that breaks the protocol. The connection must be closed, after a TermReq PDU.
struct Malformed : std::runtime_error {
    Malformed(Fatal fatal_error, const char *what, std::string header = {})
        : runtime_error(what), fatal(fatal_error), head(std::move(header)) {}
    Fatal fatal;
    std::string head; ///< the header of the malformed PDU
};

/// Read and write a little-endian number at the offset `at`.
template <typename T> T get(std::string_view bytes, std::size_t at) {
    T value = 0;
    for (std::size_t n = 0; n < sizeof(T); ++n)
        value = static_cast<T>(
            value | static_cast<T>(static_cast<T>(static_cast<std::uint8_t>(bytes[at + n])) << (8 * n)));
    return value;
}
template <typename T> void set(std::string &bytes, std::size_t at, T value) {
    for (std::size_t n = 0; n < sizeof(T); ++n)
        bytes[at + n] = static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * n));
}

struct Pdu {
    Type type{};
    std::uint8_t flags = 0;
    std::string head; ///< the complete header, including the common header
    std::string data;
};
inline constexpr std::size_t kMaxPduDataBytes = 64 * 1024 + 8; ///< in one PDU: a block with its metadata

/// Removes a PDU from the front of `in`; empty while it is incomplete. Throws Malformed as soon as no further
/// bytes can make it valid.
std::optional<Pdu> take(std::string &in);
/// Encodes a PDU whose type-specific header fields are 0.
std::string pdu(Type type, std::size_t head_size, std::string_view data = {}, std::uint8_t flags = 0);

std::string ic_req();
std::string ic_resp(std::uint32_t most_h2c_data);
std::string term_req(Type type, const Malformed &error);
std::string r2t(std::uint16_t cid, std::uint16_t tag, std::uint32_t offset, std::uint32_t length);
std::string data(Type type, std::uint16_t cid, std::uint16_t tag, std::uint32_t offset,
                 std::string_view bytes, bool last);

/// Opcodes. Those of admin and I/O commands overlap.
namespace op {
inline constexpr std::uint8_t kFlush = 0x00, kWrite = 0x01, kRead = 0x02;
inline constexpr std::uint8_t kIdentify = 0x06, kAbort = 0x08, kKeepAlive = 0x18, kFabrics = 0x7f;
// Types of Fabrics commands.
inline constexpr std::uint8_t kPropertySet = 0x00, kConnect = 0x01, kPropertyGet = 0x04;
} // namespace op
namespace property {
inline constexpr std::uint32_t kCap = 0x00, kVersion = 0x08, kConfig = 0x14, kStatus = 0x1c;
}

/// A submission queue entry.
struct Command {
    std::string bytes = std::string(64, '\0');
    std::uint8_t opcode() const { return get<std::uint8_t>(bytes, 0); }
    std::uint16_t cid() const { return get<std::uint16_t>(bytes, 2); }
    std::uint32_t nsid() const { return get<std::uint32_t>(bytes, 4); }
    std::uint8_t fabrics_type() const { return get<std::uint8_t>(bytes, 4); }
    std::uint32_t sgl_length() const { return get<std::uint32_t>(bytes, 32); }
    std::uint8_t sgl_type() const { return get<std::uint8_t>(bytes, 39); }
    template <typename T> T dword(int number) const { return get<T>(bytes, 4 * number); }
    template <typename T> void set_dword(int number, T value) { set<T>(bytes, 4 * number, value); }

    static Command make(std::uint8_t opcode, std::uint16_t cid, std::uint32_t nsid = 0);
    /// Sets the data length and whether the data follows in the capsule or is transferred separately.
    void describe_data(std::uint32_t length, bool in_capsule);
    /// Encodes the command capsule PDU.
    std::string capsule(std::string_view in_capsule = {}) const;
};
inline constexpr std::uint8_t kSglInCapsule = 0x01, kSglTransport = 0x5a;

/// The status field of a completion.
struct Status16 {
    std::uint16_t code = 0;       ///< status code type << 8 | status code
    std::uint8_t retry_delay = 0; ///< CRD: the index of one of the controller's three delays; 0: none
    bool do_not_retry = false;
    bool ok() const { return code == 0; }
};
namespace status {
inline constexpr std::uint16_t kOk = 0x000, kInvalidOpcode = 0x001, kInvalidField = 0x002,
                               kIdConflict = 0x003, kTransferError = 0x004, kInternal = 0x006,
                               kAborted = 0x007, kInvalidNamespace = 0x00b, kSequence = 0x00c,
                               kInterrupted = 0x021, kTransport = 0x022, kLbaRange = 0x080, kNotReady = 0x082,
                               kConnectInvalid = 0x182, kPathInaccessible = 0x302, kPathTransition = 0x303;
}

/// A completion queue entry.
struct Completion {
    std::uint64_t result = 0;
    std::uint16_t cid = 0, sq_head = 0, queue = 0;
    Status16 status;
    std::string capsule() const;
    static Completion read(const Pdu &pdu);
};

} // namespace marblewood::net::nvme
