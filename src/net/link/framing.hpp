/// \file
/// Delimits frames on a connection. Each frame is preceded by its length in 4 bytes, big-endian.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marblewood::net::link {

inline constexpr std::size_t kMaxFrameBytes = 8 << 20;

/// The length prefix of a received frame exceeds kMaxFrameBytes.
class FrameTooLarge : public std::runtime_error {
public:
    FrameTooLarge() : std::runtime_error("frame exceeds the size limit") {}
};

/// Returns the frame preceded by its length. `frame` must have at most kMaxFrameBytes.
std::string add_length_prefix(std::string_view frame);

/// Returns the frame at the start of `bytes`, without its length prefix, or nothing if it is incomplete.
/// \throws FrameTooLarge
std::optional<std::string_view> first_frame(std::string_view bytes);

/// Size of the frame including its length prefix.
std::size_t framed_size(std::string_view frame);

} // namespace marblewood::net::link
