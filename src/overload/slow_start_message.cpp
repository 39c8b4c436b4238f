#include "overload/slow_start_message.hpp"

#include "overload/datagram_fields.hpp"

namespace marblewood::overload {
namespace {

// A datagram consists of one of these prefixes, the node and the request number in hexadecimal, and the units
// in decimal, separated by spaces.
constexpr std::string_view kRequestPrefix = "mw-cold1 ask ";
constexpr std::string_view kGrantPrefix = "mw-cold1 give ";

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
