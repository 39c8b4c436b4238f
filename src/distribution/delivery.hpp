// Decides which caller of a distributor gets which answer, and when: changes by revision, within a byte
// budget for each caller and one for the machine. Free of I/O and clock; the caller of this class does both.
//
// Bounds promised, for a caller that asks again at once after each answer:
// - An urgent change (a member drains, was removed or holds another shard) is answered in the call of due()
// that follows it,
//   whatever the budgets say.
// - Any other change is answered once the caller's budget and the machine's are ready. Bytes of changes that
//   are not urgent stay, in any time T, within burst + rate * T and one answer, for the caller and for the
//   machine.
// - A whole list is sent only where the log does not reach, one at a time, when the machine's budget is
// ready;
//   to who is furthest behind first.
// - No answer holds a lower revision than the caller's own. A caller that holds a higher one than the log is
//   told so (Behind) when its time is up, and not before.
// - Each call is answered exactly once, at its `until` at the latest and the next call of due().
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
        Nothing, ///< no change in the caller's time; it holds what it held
        Changes,
        Whole,
        Behind ///< this log is empty, or older than the caller's list: it should ask elsewhere
    };
    CallerId caller = 0;
    Kind kind = Kind::Nothing;
    Delta delta; ///< refers to the log, which must not be changed meanwhile
};

struct DeliveryFigures { // counts since the start
    std::uint64_t calls = 0, nothing = 0, changes = 0, whole = 0, behind = 0;
    std::uint64_t entry_bytes = 0; // of members' entries
    std::uint64_t put_off = 0;     // answers that waited for a budget
};

class Delivery {
public:
    Delivery(const ChangeLog &log, DeliveryLimits limits, Micros now);

    CallerId connect(Micros now);
    void disconnect(CallerId id);
    /// The caller holds `since`, or nothing and wants the whole list, and waits until `until`.
    void ask(CallerId id, std::optional<Revision> since, Micros until);
    /// The log has changed.
    void published();
    /// A whole list was written, or its caller has gone: the next may begin.
    void whole_written(CallerId id);

    /// The answers that are due, in the order in which they should be written. Each ends its call.
    std::vector<Answer> due(Micros now);
    /// When due() should be called next, if nothing else happens before.
    std::optional<Micros> next(Micros now) const;

    const DeliveryFigures &figures() const { return figures_; }
    std::size_t callers() const { return callers_.size(); }
    /// For each caller, the revision that it said it holds.
    std::map<Revision, std::size_t> revisions_held() const;

private:
    struct Caller {
        TokenBucket budget;
        bool waiting = false;
        bool put_off = false;
        Micros until = 0;
        std::optional<Revision> since = {};
        std::optional<Revision> held = {}; // as it said last
        Revision urgent_told = 0;
    };
    enum class Need { None, Changes, Whole, Behind };

    Need need(const Caller &caller) const;
    std::vector<CallerId> by_need() const;
    bool answer_changes(CallerId id, Caller &caller, Micros now, std::vector<Answer> &out);
    bool answer_whole(CallerId id, Caller &caller, Micros now, std::vector<Answer> &out);
    void answer_late(CallerId id, Caller &caller, std::vector<Answer> &out);
    void end_call(CallerId id, Caller &caller);
    void put_off(Caller &caller);

    const ChangeLog &log_;
    DeliveryLimits limits_;
    TokenBucket machine_;
    std::unordered_map<CallerId, Caller> callers_;
    std::set<CallerId> pending_;                     // calls for which the log has something
    std::set<std::pair<Micros, CallerId>> expiries_; // all calls, by when their time is up
    std::optional<CallerId> whole_to_;               // a whole list is on its way there
    CallerId last_ = 0;
    DeliveryFigures figures_;
};

} // namespace marblewood::distribution
