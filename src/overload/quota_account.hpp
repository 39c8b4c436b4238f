/// \file
/// The state that a host keeps for the rate limit of one volume.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace marblewood::overload {

/// Data only; the rules that read and change it are in QuotaLending. Quantities are in units unless their
/// comment says otherwise.
struct QuotaAccount {
    /// Earlier than any event, yet late enough that the difference to any time does not overflow.
    static constexpr Micros kLongAgo = INT64_MIN / 4;

    /// Units lent to another host, or borrowed from one.
    struct Loan {
        Micros expires_at = 0;
        double units = 0;
    };
    /// A request for units that has not been answered yet.
    struct PendingRequest {
        std::uint64_t number = 0;
        Micros sent_at = 0;
        double units = 0;
    };
    /// Another host that receives requests for the volume.
    struct Peer {
        Micros last_heard_at = 0;
        Micros next_request_at = 0; ///< no loan request is sent to it earlier, as it has lent nothing
        Micros request_backoff = 0;
    };

    int hosts = 1;    ///< number of hosts that receive requests for the volume
    double rate = 0;  ///< units/s; this host's part of the plan's rate
    double burst = 0; ///< this host's part of the plan's burst
    double balance = 0;
    Micros refilled_at = 0; ///< when `balance` was last computed; 0: never
    bool frozen = false;    ///< a successor process has taken over the balance: this process does not
                            ///< refill it and lends no units to other hosts

    std::vector<Loan> lent;                       ///< in the order in which they expire
    std::vector<Loan> borrowed;                   ///< in the order in which they expire
    std::vector<PendingRequest> pending_requests; ///< oldest first
    std::map<int, Peer> peers;                    ///< by host index

    double demand = 0; ///< units/s that clients request from this host, averaged
    Micros demand_at = 0;
    Micros last_request_at = kLongAgo;
    Micros last_registration_at = kLongAgo;
    int last_requested_peer = -1; ///< host index; requests go to the peers in turn
};

} // namespace marblewood::overload
