/// \file
/// Encodes messages and persistent states of the cells in protobuf format (cells.proto), and decodes them.
#pragma once

#include "cells/coordinator_state.hpp"
#include "cells/member_state.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace marblewood::net::link {

/// The reason why decoding failed.
enum class DecodeFailure {
    Malformed,          ///< Not valid protobuf.
    UnsupportedVersion, ///< The format version is not kFormatVersion.
    ChecksumMismatch,   ///< The state file is truncated or corrupted.
    UnknownMessage,     ///< The frame has no body of a known type.
    OutOfRange,         ///< An unknown enumerator, or a negative or non-finite quantity.
    InvalidMap          ///< A cell map that validate() rejects.
};

class DecodeError : public std::runtime_error {
public:
    DecodeError(DecodeFailure failure, const std::string &what)
        : std::runtime_error(what), failure_(failure) {}
    DecodeFailure failure() const { return failure_; }

private:
    DecodeFailure failure_;
};

/// Format version of frames and state files.
inline constexpr std::uint32_t kFormatVersion = 1;

/// An operator's call that a broker forwards to the coordinator.
struct OperatorCall {
    std::uint64_t id = 0; ///< Chosen by the broker; the reply contains the same id.
    std::string name;
    std::string body;
};
/// The coordinator's reply to an operator's call.
struct OperatorReply {
    std::uint64_t id = 0;
    bool ok = false;
    std::string text;
};

using FrameBody = std::variant<marblewood::cells::Message, OperatorCall, OperatorReply>;
struct Frame {
    std::string sender; ///< A broker's name, or cells::kCoordinator.
    FrameBody body;
};

std::string encode(const Frame &frame);
/// \throws DecodeError
Frame decode_frame(std::string_view bytes);

/// Encodes the content of a state file. It includes a hash, so that truncation and corruption are detected.
std::string encode(const marblewood::cells::MemberState &state);
std::string encode(const marblewood::cells::CoordinatorState &state);
/// \throws DecodeError
marblewood::cells::MemberState decode_member_state(std::string_view bytes);
marblewood::cells::CoordinatorState decode_coordinator_state(std::string_view bytes);

} // namespace marblewood::net::link
