/// \file
/// The datagrams with which hosts request and grant parts of a node's slow-start budget.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marblewood::overload {

struct SlowStartMessage {
    enum class Kind { Request, Grant };
    Kind kind = Kind::Request;
    std::uint64_t node = 0;           ///< NodeEntry::stable_id
    std::uint64_t request_number = 0; ///< chosen by the requester and repeated in the grant
    double units = 0;                 ///< whole units; encode() drops a fraction
};

std::string encode(const SlowStartMessage &message);

/// Empty for a datagram that is malformed or has 0 units.
std::optional<SlowStartMessage> decode_slow_start_message(std::string_view data);

} // namespace marblewood::overload
