#include "net/link/framing.hpp"

namespace marblewood::net::link {
namespace {

constexpr std::size_t kPrefixBytes = 4;
constexpr int kBitsPerByte = 8;

} // namespace

std::string add_length_prefix(std::string_view frame) {
    std::string framed;
    framed.reserve(framed_size(frame));
    for (int shift = kBitsPerByte * (static_cast<int>(kPrefixBytes) - 1); shift >= 0; shift -= kBitsPerByte)
        framed += static_cast<char>(frame.size() >> shift & 0xff);
    framed += frame;
    return framed;
}

std::optional<std::string_view> first_frame(std::string_view bytes) {
    if (bytes.size() < kPrefixBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (const char byte : bytes.substr(0, kPrefixBytes))
        length = length << kBitsPerByte | static_cast<unsigned char>(byte);
    if (length > kMaxFrameBytes)
        throw FrameTooLarge();
    if (bytes.size() - kPrefixBytes < length)
        return std::nullopt;
    return bytes.substr(kPrefixBytes, length);
}

std::size_t framed_size(std::string_view frame) {
    return kPrefixBytes + frame.size();
}

} // namespace marblewood::net::link
