/// \file
/// The datagrams by which hosts lend each other units of a volume's rate limit.
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
        Request,      ///< for units
        Grant,        ///< the answer; of 0 units if the lender can spare none
        Registration, ///< to the volume's rendezvous host: the sender serves the volume
        Members       ///< the answer: other hosts that serve the volume
    };
    Kind kind = Kind::Request;
    VolumeId volume{};
    std::uint64_t request_number = 0; ///< Request, Grant: chosen by the requester; a grant repeats it
    double units = 0;                 ///< Request, Grant: whole units; a fraction is cut off by encode()
    std::vector<int> hosts = {};      ///< Members; encode() leaves out those beyond kMaxHostsInMessage
};

inline constexpr std::size_t kMaxHostsInMessage = 16;

std::string encode(const QuotaMessage &message);

/// Whether a datagram is about quota lending, of any version and well-formed or not.
bool is_quota_message(std::string_view data);

/// Empty for a datagram that is not of this form, or that names a host outside [0, hosts).
std::optional<QuotaMessage> decode_quota_message(std::string_view data, int hosts);

} // namespace marblewood::overload
