/// \file
/// Decides when a distributor answers each caller and with what: changes revision by revision, within a byte
/// budget for each caller and one for the whole machine. No I/O and no clock: the user of this class provides
/// both.
///
/// Guarantees, for a caller that calls again immediately after each answer:
/// - An urgent change (a member is draining, was removed or moved to another shard) is answered by the next
///   answer_due_calls(), regardless of the budgets.
/// - Any other change is answered once the budgets of the caller and of the machine are ready. In any time
///   span T, the bytes of non-urgent changes are at most burst + rate * T plus one answer, for the caller and
///   for the machine.
/// - A complete list is sent only to a caller whose revision the log does not cover, one at a time, when the
///   machine's budget is ready, and first to the caller that is furthest behind.
/// - No answer has a lower revision than the caller's own. A caller whose revision is higher than the log's
///   gets the answer Behind when its call expires, and not before.
/// - Each call is answered exactly once, at the latest by the first answer_due_calls() at or after its
///   `expires_at`.
#pragma once

#include "distribution/change_log.hpp"
#include "distribution/token_bucket.hpp"

#include <optional>
#include <unordered_map>

namespace marblewood::distribution {

struct DeliveryLimits {
    ByteBudget caller;
    ByteBudget machine;
};

using CallerId = std::uint64_t;

struct Answer {
    enum class Kind {
        NoChange, ///< the call expired before changes could be sent; the caller keeps its list
        Changes,
        CompleteList,
        /// The log is empty or older than the caller's list, or no complete list could be sent in time: the
        /// caller should call another distributor.
        Behind
    };
    CallerId caller = 0;
    Kind kind = Kind::NoChange;
    Delta delta; ///< refers to the log, which must not change while the answer is in use
};

/// Counts since the start.
struct DeliveryMetrics {
    std::uint64_t calls = 0, no_change = 0, changes = 0, complete_lists = 0, behind = 0;
    std::uint64_t entry_bytes = 0; ///< of the members' entries in all answers
    std::uint64_t deferred = 0;    ///< calls that waited for a budget, or for another caller's complete list
};

class Delivery {
public:
    Delivery(const ChangeLog &log, DeliveryLimits limits, Micros now);

    CallerId connect(Micros now);
    void disconnect(CallerId id);
    /// Starts a call. The caller holds revision `since`, or has no list and requests the complete one, and
    /// waits for an answer until `expires_at`.
    void start_call(CallerId id, std::optional<Revision> since, Micros expires_at);
    /// Has to be called after each change of the log.
    void on_log_changed();
    /// Has to be called when a complete list has been written, or its write has failed; the next complete
    /// list may then be sent. No effect for other callers.
    void complete_list_written(CallerId id);

    /// Ends the calls that can be answered now, and returns the answers in the order in which they should be
    /// written.
    std::vector<Answer> answer_due_calls(Micros now);
    /// When answer_due_calls() has to be called next if nothing else happens before.
    std::optional<Micros> next_due_at(Micros now) const;

    const DeliveryMetrics &metrics() const { return metrics_; }
    std::size_t callers() const { return callers_.size(); }
    /// The number of callers by the revision that each reported in its last call.
    std::map<Revision, std::size_t> revisions_held() const;

private:
    struct Caller {
        TokenBucket budget;
        bool call_open = false;
        bool call_deferred = false;
        Micros expires_at = 0;
        std::optional<Revision> since = {};
        std::optional<Revision> reported_revision = {}; ///< the `since` of its last call that had one
        Revision urgent_sent_revision = 0;              ///< urgent changes up to this revision were sent
    };
    /// What the log has for an open call.
    enum class Need { None, Changes, CompleteList, Behind };

    Need need(const Caller &caller) const;
    std::vector<CallerId> callers_by_priority() const;
    bool answer_changes(CallerId id, Caller &caller, Micros now, std::vector<Answer> &answers);
    bool answer_complete_list(CallerId id, Caller &caller, Micros now, std::vector<Answer> &answers);
    void answer_expired(CallerId id, Caller &caller, std::vector<Answer> &answers);
    void end_call(CallerId id, Caller &caller);
    void mark_deferred(Caller &caller);

    const ChangeLog &log_;
    DeliveryLimits limits_;
    TokenBucket machine_budget_;
    std::unordered_map<CallerId, Caller> callers_;
    std::set<CallerId> answerable_; ///< callers with an open call that the log has an answer for
    std::set<std::pair<Micros, CallerId>> expiries_; ///< all open calls, by the time at which they expire
    std::optional<CallerId> complete_list_receiver_; ///< a complete list is being written to this caller
    CallerId last_caller_id_ = 0;
    DeliveryMetrics metrics_;
};

} // namespace marblewood::distribution
