/// \file
/// The decisions' one access to slow start (src/overload/): what a node that has just started may be sent.
#pragma once

#include "overload/slow_start_budget.hpp"
#include "policy/time.hpp"

namespace marblewood::policy {

/// What this host knows of a node's starts, its endpoint-list entry included.
using SlowStartState = overload::SlowStartNode;

/// Begins slow starts, and accounts for what is sent during them.
///
/// `since` below is the time since when this process decides: slow start allows nothing to a process that may
/// have a predecessor whose sends still count.
class SlowStart {
public:
    explicit SlowStart(const Settings &settings)
        : duration_(settings.slow_start_duration), budget_(settings) {}

    /// The node started at `started_at`, as the endpoint list says or as was inferred. Returns whether a slow
    /// start began that was not known. A listed start older than the last failed connect is out of date, or
    /// comes from a skewed clock: the node is taken to have started now.
    bool begin(SlowStartState &node, Micros started_at, bool listed, Micros last_failed_connect,
               Micros now) const {
        if (listed && started_at <= last_failed_connect) {
            listed = false;
            started_at = now;
        }
        if (duration_ <= 0 || (started_at <= node.slow_start_began && listed <= node.start_listed))
            return false;
        node.slow_start_began = started_at;
        node.start_listed = listed;
        return true;
    }

    /// Whether a start at this time is recent enough for a slow start.
    bool is_recent(Micros started_at, Micros now) const { return now - started_at < duration_; }

    /// Whether a request of so many units may be sent to the node now.
    bool allows(const SlowStartState &node, double units, Micros now, Micros since) const {
        return budget_.admits(node, units, now, since);
    }

    /// A request of so many units, which was allowed, has been sent.
    void record_send(SlowStartState &node, double units, Micros now, Micros since) {
        budget_.spend(node, units, now, since);
    }

    /// A message that asks a peer for a grant of so many units; empty where it would not help now.
    std::optional<SendPeerMessage> request_grant(SlowStartState &node, double units, Micros now) {
        return budget_.request_grant(node, units, now);
    }

    /// A peer's request or grant; empty, and counted, for one that is malformed.
    using Message = overload::SlowStartMessage;
    std::optional<Message> parse(const std::string &data) { return budget_.allocator().decode(data); }

    /// The answer to a peer's request for a grant, if any.
    std::optional<SendPeerMessage> answer(SlowStartState &node, const Message &request, int peer, Micros now,
                                          Micros since) {
        return budget_.allocator().answer_request(node, request, peer, now, since);
    }

    /// Takes a peer's grant; returns whether there is something to spend now.
    bool accept(SlowStartState &node, const Message &grant, Micros now) {
        return budget_.allocator().accept_grant(node, grant, now);
    }

    /// Whether sends to the node still count, so that it must not be forgotten.
    static bool has_recorded_sends(const SlowStartState &node) { return !node.sends.empty(); }

    /// The slow-start part of a node's history, for a successor.
    static HandoverState::NodeHistory capture(const SlowStartState &node) {
        HandoverState::NodeHistory history;
        history.slow_start_began = node.slow_start_began;
        history.start_listed = node.start_listed;
        history.slow_start_sends.assign(node.sends.begin(), node.sends.end());
        return history;
    }

    /// Continues a predecessor's history of a node. Returns whether a slow start began that was not known.
    bool restore(SlowStartState &node, const HandoverState::NodeHistory &history, Micros last_failed_connect,
                 Micros now) const {
        node.sends.assign(history.slow_start_sends.begin(), history.slow_start_sends.end());
        return history.slow_start_began > node.slow_start_began &&
               begin(node, history.slow_start_began, history.start_listed, last_failed_connect, now);
    }

    /// Whether the last start known lies before `time`.
    static bool started_before(const SlowStartState &node, Micros time) {
        return node.slow_start_began < time;
    }

    /// Drops sends that no longer count.
    void forget_old(SlowStartState &node, Micros now) { budget_.expire(node, now); }

    const SlowStartGrantMetrics &metrics() const { return budget_.metrics(); }

private:
    Micros duration_; // us
    overload::SlowStartBudget budget_;
};

} // namespace marblewood::policy
