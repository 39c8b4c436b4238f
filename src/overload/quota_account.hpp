/// \file
/// What a host keeps about a volume's rate limit.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace marblewood::overload {

/// Plain state of one volume at one host; QuotaLending holds the rules that read and change it. Quantities
/// are in units unless their comment says otherwise.
struct QuotaAccount {
    /// Earlier than any event; differences to it don't overflow.
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
    /// Another host through which the volume's requests come.
    struct Peer {
        Micros last_heard_at = 0;
        Micros next_request_at = 0; ///< not asked before then, since it lent nothing
        Micros request_backoff = 0;
    };

    int hosts = 1;    ///< through which the volume's requests come
    double rate = 0;  ///< units/s; this host's part of the plan's rate limit
    double burst = 0; ///< this host's part of the plan's burst
    double balance = 0;
    Micros refilled_at = 0; ///< the balance is as of then; 0: never refilled
    bool frozen = false;    ///< a successor has the balance: it is not refilled here, and nothing is lent

    std::deque<Loan> lent;                       ///< in the order in which they expire
    std::deque<Loan> borrowed;                   ///< in the order in which they expire
    std::deque<PendingRequest> pending_requests; ///< oldest first
    std::map<int, Peer> peers;                   ///< by index of the host

    double demand = 0; ///< units/s requested of this host, averaged
    Micros demand_at = 0;
    Micros last_request_at = kLongAgo;
    Micros last_registration_at = kLongAgo;
    int last_requested_peer = -1; ///< peers are asked in turn
};

} // namespace marblewood::overload
