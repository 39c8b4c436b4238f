/// \file
/// What a host keeps about a node's starts and its slow-start budget.
#pragma once

#include "marblewood/scheduler.hpp"

#include <cstdint>
#include <deque>

namespace marblewood::overload {

/// Plain state. SlowStartTimeSlices and SlowStartAllocator hold the rules that read and change it.
struct SlowStartNode {
    /// Earlier than any event; differences to it don't overflow.
    static constexpr Micros kLongAgo = INT64_MIN / 4;

    /// A request to an allocator that has not been answered yet.
    struct PendingRequest {
        std::uint64_t number = 0;
        Micros sent_at = 0;
    };
    /// Units that an allocator granted to this host.
    struct Grant {
        Micros expires_at = 0;
        double units = 0;
    };

    NodeEntry entry;                    ///< as listed
    Micros slow_start_began = kLongAgo; ///< its last start
    bool start_listed = false;          ///< the endpoint list has that start; else it was inferred
    /// What this host took from the budget, oldest first: its own sends, and as an allocator its grants.
    std::deque<HandoverState::SlowStartSend> sends;

    std::deque<PendingRequest> pending_requests; ///< oldest first
    std::deque<Grant> grants;                    ///< in the order in which they were accepted
    int next_allocator = 0;                      ///< counts requests, so that each goes to another allocator
    Micros last_request_at = kLongAgo;
    Micros request_backoff = 0; ///< pause between requests; 0 after a grant
};

} // namespace marblewood::overload
