/// \file
/// The state that a host keeps for a node's start and slow-start budget.
#pragma once

#include "marblewood/scheduler.hpp"

#include <cstdint>
#include <deque>

namespace marblewood::overload {

/// Data only; the rules that read and change it are in SlowStartTimeSlices and SlowStartAllocator.
struct SlowStartNode {
    /// Earlier than any event, yet late enough that the difference to any time does not overflow.
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

    NodeEntry entry;                    ///< its entry in the endpoint list
    Micros slow_start_began = kLongAgo; ///< when the node last started
    bool start_listed = false;          ///< the endpoint list has that start; otherwise it was inferred
    /// What this host has used of the budget, oldest first: its own sends and, as an allocator, its grants.
    std::deque<HandoverState::SlowStartSend> sends;

    std::deque<PendingRequest> pending_requests; ///< oldest first
    std::deque<Grant> grants;                    ///< in the order in which they were accepted
    int next_allocator = 0; ///< counts requests, so that successive ones go to different allocators
    Micros last_request_at = kLongAgo;
    Micros request_backoff = 0; ///< pause between requests; 0 after a grant
};

} // namespace marblewood::overload
