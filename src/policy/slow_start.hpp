/// \file
/// The decision module's interface to slow start (src/overload/), which limits the load on a node that has
/// just started.
#pragma once

#include "overload/slow_start_budget.hpp"
#include "policy/time.hpp"

namespace marblewood::policy {

/// The slow-start state of a node, which includes the node's entry in the endpoint list.
using SlowStartState = overload::SlowStartNode;

/// Begins slow starts, and accounts for the units that are sent during them.
///
/// The parameter `deciding_since` is the time since when this process makes decisions. For a node that is
/// warming up, slow start allows no sends to a process that started so recently that sends of a predecessor
/// may still count.
class SlowStart {
public:
    explicit SlowStart(const Settings &settings)
        : duration_(settings.slow_start_duration), budget_(settings) {}

    /// Records that the node started at `started_at`, according to the endpoint list (`listed`) or as
    /// inferred. Returns whether this begins a slow start that was not known. A listed start that is not
    /// later than the last failed connect is out of date or comes from a skewed clock; the node then counts
    /// as started now.
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

    /// Whether a node that started at `started_at` is still in its slow start.
    bool is_recent(Micros started_at, Micros now) const { return now - started_at < duration_; }

    /// Whether a request of `units` may be sent to the node now.
    bool allows(const SlowStartState &node, double units, Micros now, Micros deciding_since) const {
        return budget_.admits(node, units, now, deciding_since);
    }

    /// Records that a request of `units`, which allows() permitted, has been sent.
    void record_send(SlowStartState &node, double units, Micros now, Micros deciding_since) {
        budget_.spend(node, units, now, deciding_since);
    }

    /// A message that requests a grant of `units` from a peer; empty if a request would not help now.
    std::optional<SendPeerMessage> request_grant(SlowStartState &node, double units, Micros now) {
        return budget_.request_grant(node, units, now);
    }

    /// Parses a grant or a grant request of a peer. Returns nothing for a malformed message, and counts it.
    using Message = overload::SlowStartMessage;
    std::optional<Message> parse(const std::string &data) { return budget_.allocator().decode(data); }

    /// The answer to a grant request of a peer; empty if it gets no answer.
    std::optional<SendPeerMessage> answer(SlowStartState &node, const Message &request, int peer, Micros now,
                                          Micros deciding_since) {
        return budget_.allocator().answer_request(node, request, peer, now, deciding_since);
    }

    /// Accepts the grant of a peer. Returns whether units of it can be spent now.
    bool accept(SlowStartState &node, const Message &grant, Micros now) {
        return budget_.allocator().accept_grant(node, grant, now);
    }

    /// Whether earlier sends to the node still count, so that its state must be kept.
    static bool has_recorded_sends(const SlowStartState &node) { return !node.sends.empty(); }

    /// The slow-start part of a node's history, to hand over to a successor process.
    static HandoverState::NodeHistory capture(const SlowStartState &node) {
        HandoverState::NodeHistory history;
        history.slow_start_began = node.slow_start_began;
        history.start_listed = node.start_listed;
        history.slow_start_sends.assign(node.sends.begin(), node.sends.end());
        return history;
    }

    /// Takes over a predecessor's history of a node. Returns whether this begins a slow start that was not
    /// known.
    bool restore(SlowStartState &node, const HandoverState::NodeHistory &history, Micros last_failed_connect,
                 Micros now) const {
        node.sends.assign(history.slow_start_sends.begin(), history.slow_start_sends.end());
        return history.slow_start_began > node.slow_start_began &&
               begin(node, history.slow_start_began, history.start_listed, last_failed_connect, now);
    }

    /// Whether the last known start of the node was before `time`.
    static bool started_before(const SlowStartState &node, Micros time) {
        return node.slow_start_began < time;
    }

    /// Drops records of sends that no longer count.
    void forget_old(SlowStartState &node, Micros now) { budget_.expire(node, now); }

    const SlowStartGrantMetrics &metrics() const { return budget_.metrics(); }

private:
    Micros duration_;
    overload::SlowStartBudget budget_;
};

} // namespace marblewood::policy
