/// \file
/// The timer queue of the Scheduler: one sorted set of everything that becomes due at a known time.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace marblewood::policy {

/// Holds the entries by due time, and the time for which the caller's timer is set. The cost of a timer event
/// depends on the number of entries that are due, not on the number of requests or nodes. The code that
/// handles an entry checks whether it still applies.
class DeadlineAgenda {
public:
    /// Entries due at the same time are ordered by kind, in this order, and then by the id of their subject.
    enum class Kind {
        RequestEnd,    ///< a request may have to get its final answer
        ShardRecheck,  ///< a request queued for a shard may have become sendable
        InFlightCheck, ///< an attempt in flight at a node may be overdue
        Sweep          ///< drop state that is no longer used
    };
    struct Entry {
        Micros at = 0;
        Kind kind = Kind::RequestEnd;
        std::uint64_t subject = 0; ///< id of the request, shard or node; 0 for a sweep
        bool operator<(const Entry &other) const {
            return std::tie(at, kind, subject) < std::tie(other.at, other.kind, other.subject);
        }
    };

    void add(Micros at, Kind kind, std::uint64_t subject) { entries_.insert({at, kind, subject}); }

    /// Removes an entry; has no effect if there is none.
    void remove(Micros at, Kind kind, std::uint64_t subject) { entries_.erase({at, kind, subject}); }

    /// Removes and returns the first entry that is due; empty if no entry is due.
    std::optional<Entry> pop_due(Micros now) {
        if (entries_.empty() || entries_.begin()->at > now)
            return std::nullopt;
        const Entry first = *entries_.begin();
        entries_.erase(entries_.begin());
        return first;
    }

    /// Must be called when a timer has fired.
    void timer_fired(Micros now) {
        if (now >= armed_for_)
            armed_for_ = kUnarmed;
    }

    /// The delay of the timer that has to be set now; empty if the timer that is already set fires early
    /// enough.
    std::optional<Micros> arm(Micros now) {
        if (entries_.empty() || entries_.begin()->at >= armed_for_)
            return std::nullopt;
        armed_for_ = entries_.begin()->at;
        return armed_for_ > now ? armed_for_ - now : 0;
    }

    std::size_t size() const { return entries_.size(); }

private:
    static constexpr Micros kUnarmed = INT64_MAX;

    std::set<Entry> entries_;
    Micros armed_for_ = kUnarmed;
};

} // namespace marblewood::policy
