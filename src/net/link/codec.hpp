/// \file
/// Encodes messages and states of the cells as bytes, by protobuf (cells.proto), and decodes them.
#pragma once

#include "cells/coordinator_state.hpp"
#include "cells/member_state.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace marblewood::net::link {

/// Why bytes cannot be decoded.
enum class DecodeFailure {
    Malformed,          ///< No valid protobuf.
    UnsupportedVersion, ///< Written by an incompatible version.
    ChecksumMismatch,   ///< A state file that is truncated or corrupted.
    UnknownMessage,     ///< A frame without a known body.
    OutOfRange,         ///< An enumerator that is not known, or a negative or infinite quantity.
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

/// Of frames and state files.
inline constexpr std::uint32_t kFormatVersion = 1;

/// An operator's call that a broker passes on to the coordinator.
struct OperatorCall {
    std::uint64_t id = 0; ///< Chosen by the broker; the reply carries it.
    std::string name;
    std::string body;
};
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

/// State files carry a hash, so that a truncated or corrupted one is detected.
std::string encode(const marblewood::cells::MemberState &state);
std::string encode(const marblewood::cells::CoordinatorState &state);
/// \throws DecodeError
marblewood::cells::MemberState decode_member_state(std::string_view bytes);
marblewood::cells::CoordinatorState decode_coordinator_state(std::string_view bytes);

} // namespace marblewood::net::link
