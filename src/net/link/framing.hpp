/// \file
/// How frames are delimited on a connection: the length in 4 bytes, big-endian, then the frame.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marblewood::net::link {

inline constexpr std::size_t kMaxFrameBytes = 8 << 20;

/// A peer announced a frame that is longer than kMaxFrameBytes.
class FrameTooLarge : public std::runtime_error {
public:
    FrameTooLarge() : std::runtime_error("a frame that is too large") {}
};

/// The frame with its length in front. `frame` has at most kMaxFrameBytes.
std::string add_length_prefix(std::string_view frame);

/// The frame at the start of `bytes`, without its length; nothing if it is not complete yet.
/// \throws FrameTooLarge
std::optional<std::string_view> first_frame(std::string_view bytes);

/// Bytes that a frame takes on the connection.
std::size_t framed_size(std::string_view frame);

} // namespace marblewood::net::link
