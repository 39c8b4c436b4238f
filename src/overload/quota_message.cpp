#include "overload/quota_message.hpp"

#include "overload/datagram_fields.hpp"

#include <algorithm>

namespace marblewood::overload {
namespace {

using Kind = QuotaMessage::Kind;

// A datagram consists of the prefix, the letter of its kind, the volume in hexadecimal, and the fields of
// that kind, separated by spaces.
constexpr std::string_view kAnyVersionPrefix = "mw-loan";
constexpr std::string_view kPrefix = "mw-loan1 ";
constexpr char kRequestLetter = 'a';
constexpr char kGrantLetter = 'g';
constexpr char kRegistrationLetter = 'm';
constexpr char kMembersLetter = 'h';

char letter_of(Kind kind) {
    switch (kind) {
    case Kind::Request:
        return kRequestLetter;
    case Kind::Grant:
        return kGrantLetter;
    case Kind::Registration:
        return kRegistrationLetter;
    case Kind::Members:
        break;
    }
    return kMembersLetter;
}

std::optional<Kind> kind_of(char letter) {
    switch (letter) {
    case kRequestLetter:
        return Kind::Request;
    case kGrantLetter:
        return Kind::Grant;
    case kRegistrationLetter:
        return Kind::Registration;
    case kMembersLetter:
        return Kind::Members;
    default:
        return std::nullopt;
    }
}

void append_hosts(std::string &text, const std::vector<int> &hosts) {
    const std::size_t count = std::min(hosts.size(), kMaxHostsInMessage);
    for (std::size_t index = 0; index < count; ++index) {
        text += ' ';
        append_number(text, hosts[index], kDecimal);
    }
}

bool take_units(std::string_view &rest, QuotaMessage &message) {
    std::uint32_t units = 0;
    if (!take_number(rest, message.request_number, kHexadecimal) || !take_number(rest, units, kDecimal))
        return false;
    message.units = units;
    return true;
}

bool take_hosts(std::string_view &rest, QuotaMessage &message, int hosts) {
    while (!rest.empty() && message.hosts.size() < kMaxHostsInMessage) {
        int host = -1;
        if (!take_number(rest, host, kDecimal) || host < 0 || host >= hosts)
            return false;
        message.hosts.push_back(host);
    }
    return true;
}

/// Removes the fields of the message's kind from the front of `rest`. False if they are malformed.
bool take_kind_fields(std::string_view &rest, QuotaMessage &message, int hosts) {
    switch (message.kind) {
    case Kind::Request:
    case Kind::Grant:
        return take_units(rest, message);
    case Kind::Registration:
        return true;
    case Kind::Members:
        break;
    }
    return take_hosts(rest, message, hosts);
}

} // namespace

std::string encode(const QuotaMessage &message) {
    std::string text(kPrefix);
    text += letter_of(message.kind);
    text += ' ';
    append_number(text, static_cast<std::uint64_t>(message.volume), kHexadecimal);
    if (message.kind == Kind::Request || message.kind == Kind::Grant) {
        text += ' ';
        append_number(text, message.request_number, kHexadecimal);
        text += ' ';
        append_number(text, static_cast<std::int64_t>(message.units), kDecimal);
    }
    if (message.kind == Kind::Members)
        append_hosts(text, message.hosts);
    return text;
}

bool is_quota_message(std::string_view data) {
    return data.starts_with(kAnyVersionPrefix);
}

std::optional<QuotaMessage> decode_quota_message(std::string_view data, int hosts) {
    if (!data.starts_with(kPrefix) || data.ends_with(' '))
        return std::nullopt;
    data.remove_prefix(kPrefix.size());
    if (data.size() < 2 || data[1] != ' ')
        return std::nullopt;
    const std::optional<Kind> kind = kind_of(data[0]);
    if (!kind)
        return std::nullopt;
    data.remove_prefix(2);
    QuotaMessage message;
    message.kind = *kind;
    std::uint64_t volume = 0;
    if (!take_number(data, volume, kHexadecimal))
        return std::nullopt;
    message.volume = VolumeId{volume};
    if (!take_kind_fields(data, message, hosts) || !data.empty())
        return std::nullopt;
    return message;
}

} // namespace marblewood::overload
