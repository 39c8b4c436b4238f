/// \file
/// The datagrams with which hosts lend units of a volume's rate limit to each other.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::overload {

struct QuotaMessage {
    enum class Kind {
        Request,      ///< asks to borrow units
        Grant,        ///< the answer to a Request; 0 units if the lender can spare none
        Registration, ///< tells the volume's rendezvous host that the sender serves the volume
        Members       ///< the answer to a Registration: the other hosts that serve the volume
    };
    Kind kind = Kind::Request;
    VolumeId volume{};
    std::uint64_t request_number = 0; ///< Request, Grant: chosen by the requester and repeated in the grant
    double units = 0;                 ///< Request, Grant: whole units; encode() drops a fraction
    std::vector<int> hosts = {}; ///< Members: host indexes; encode() omits those beyond kMaxHostsInMessage
};

inline constexpr std::size_t kMaxHostsInMessage = 16;

std::string encode(const QuotaMessage &message);

/// Whether a datagram belongs to quota lending, in any version of the format and even if malformed.
bool is_quota_message(std::string_view data);

/// Empty for a datagram that is malformed, or that names a host outside [0, hosts).
std::optional<QuotaMessage> decode_quota_message(std::string_view data, int hosts);

} // namespace marblewood::overload
