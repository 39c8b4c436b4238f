#include "overload/slow_start_message.hpp"

#include <charconv>

namespace marblewood::overload {
namespace {

// The datagram: one of these, then the node and the request number in hexadecimal, and the units in decimal.
constexpr std::string_view kRequestPrefix = "mw-cold1 ask ";
constexpr std::string_view kGrantPrefix = "mw-cold1 give ";

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

template <typename Number> void append_number(std::string &text, Number value, int base) {
    char digits[20];
    char *const end = std::to_chars(std::begin(digits), std::end(digits), value, base).ptr;
    text.append(std::begin(digits), end);
}

/// Takes a number off the front of `rest`, with the space that may follow it. False: there is none.
template <typename Number> bool take_number(std::string_view &rest, Number &value, int base) {
    const char *const end = rest.data() + rest.size();
    const auto [next, error] = std::from_chars(rest.data(), end, value, base);
    if (error != std::errc() || (next != end && *next != ' '))
        return false;
    rest.remove_prefix(static_cast<std::size_t>(next - rest.data()));
    if (!rest.empty())
        rest.remove_prefix(1);
    return true;
}

} // namespace

std::string encode(const SlowStartMessage &message) {
    std::string text(message.kind == SlowStartMessage::Kind::Grant ? kGrantPrefix : kRequestPrefix);
    append_number(text, message.node, kHexadecimal);
    text += ' ';
    append_number(text, message.request_number, kHexadecimal);
    text += ' ';
    append_number(text, static_cast<std::int64_t>(message.units), kDecimal);
    return text;
}

std::optional<SlowStartMessage> decode_slow_start_message(std::string_view data) {
    SlowStartMessage message;
    if (data.starts_with(kGrantPrefix)) {
        message.kind = SlowStartMessage::Kind::Grant;
        data.remove_prefix(kGrantPrefix.size());
    } else if (data.starts_with(kRequestPrefix)) {
        data.remove_prefix(kRequestPrefix.size());
    } else {
        return std::nullopt;
    }
    std::uint32_t units = 0;
    if (!take_number(data, message.node, kHexadecimal) ||
        !take_number(data, message.request_number, kHexadecimal) || !take_number(data, units, kDecimal))
        return std::nullopt;
    if (!data.empty() || units == 0)
        return std::nullopt;
    message.units = units;
    return message;
}

} // namespace marblewood::overload
