/// \file
/// Counters that a Scheduler keeps since its start.
#pragma once

#include <cstdint>

namespace marblewood {

/// Slow-start grants, exchanged with peers.
struct SlowStartGrantMetrics {
    std::uint64_t requested = 0; ///< requests sent to an allocator
    std::uint64_t granted = 0;   ///< grants given by this host as an allocator
    std::uint64_t accepted = 0;  ///< grants received in time
    std::uint64_t used = 0;      ///< sends that spent part of an accepted grant
    std::uint64_t wasted = 0;    ///< grants that came too late or were not spent in time
    std::uint64_t malformed = 0; ///< datagrams that could not be read
};

/// Units of rate limits, lent between hosts.
struct QuotaLoanMetrics {
    std::uint64_t requested = 0;     ///< requests for units
    std::uint64_t registrations = 0; ///< messages to the rendezvous hosts of volumes
    double units_lent = 0;
    double units_borrowed = 0; ///< that came in time
    double units_used = 0;     ///< of those: spent
    double units_wasted = 0;   ///< of those: not spent in time
    std::uint64_t malformed = 0;
};

/// Requests refused before any attempt, by the reason that held at the end.
struct ShedMetrics {
    std::uint64_t rate_limit = 0;        ///< this host's part of the plan's rate limit is spent
    std::uint64_t no_node = 0;           ///< the shard has no node that is listed as ready
    std::uint64_t ejected = 0;           ///< its nodes are ejected by outlier detection
    std::uint64_t slow_start = 0;        ///< its node is warming up
    std::uint64_t concurrency_limit = 0; ///< its node is at its concurrency limit
    std::uint64_t lower_priority = 0;    ///< it would have displaced work of higher priority
    std::uint64_t queue_full = 0;        ///< too many requests waited, and it had the lowest priority
};

struct OverloadMetrics {
    SlowStartGrantMetrics grants;
    QuotaLoanMetrics loans;
    ShedMetrics shed;
};

} // namespace marblewood
