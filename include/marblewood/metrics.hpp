/// \file
/// Counters that a Scheduler keeps from its construction on.
#pragma once

#include <cstdint>

namespace marblewood {

/// Slow-start grants: permissions to send to a warming node, which hosts exchange as datagrams.
struct SlowStartGrantMetrics {
    std::uint64_t requested = 0; ///< grant requests sent to the allocator of a node
    std::uint64_t granted = 0;   ///< grants given by this host as an allocator
    std::uint64_t accepted = 0;  ///< grants received before they expired
    std::uint64_t used = 0;      ///< sends paid for from an accepted grant
    std::uint64_t wasted = 0;    ///< grants that arrived too late or expired unspent
    std::uint64_t malformed = 0; ///< datagrams that could not be parsed
};

/// Loans of rate-limit units between hosts.
struct QuotaLoanMetrics {
    std::uint64_t requested = 0;     ///< loan requests sent
    std::uint64_t registrations = 0; ///< registration messages sent to volumes' rendezvous hosts
    double units_lent = 0;
    double units_borrowed = 0;   ///< units that other hosts granted and that arrived before the loan expired
    double units_used = 0;       ///< borrowed units that were spent
    double units_wasted = 0;     ///< borrowed units that expired unspent
    std::uint64_t malformed = 0; ///< messages that could not be parsed
};

/// Requests refused before any attempt, counted by the reason that held when they were refused.
struct ShedMetrics {
    std::uint64_t rate_limit = 0;        ///< this host's part of the plan's rate limit was spent
    std::uint64_t no_node = 0;           ///< the endpoint list had no ready node for the shard
    std::uint64_t ejected = 0;           ///< outlier detection had ejected the shard's nodes
    std::uint64_t slow_start = 0;        ///< the slow-start budget of the node was spent
    std::uint64_t concurrency_limit = 0; ///< the node was at its concurrency limit
    std::uint64_t lower_priority = 0;    ///< held back in favour of requests of higher priority
    std::uint64_t queue_full = 0;        ///< the queue was full, and this request had the lowest priority
};

struct OverloadMetrics {
    SlowStartGrantMetrics grants;
    QuotaLoanMetrics loans;
    ShedMetrics shed;
};

} // namespace marblewood
