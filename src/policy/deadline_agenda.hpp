/// \file
/// The one sorted structure of everything that becomes due at a known time.
#pragma once

#include "marblewood/types.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace marblewood::policy {

/// What is due when, and the timer that has been asked for. Work follows what became due, not the number of
/// requests or nodes. Entries are never removed early: whoever is woken checks whether it still matters.
class DeadlineAgenda {
public:
    /// Entries due at the same time come in the order of these kinds, then of their subjects' ids.
    enum class Kind {
        RequestEnd,    ///< a request may have to get its final answer
        ShardRecheck,  ///< what waits for a shard may have become sendable
        InFlightCheck, ///< attempts in flight at a node may be overdue
        Sweep          ///< state that is no longer used is dropped
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

    /// Removes and returns the first entry that is due; empty if none is.
    std::optional<Entry> pop_due(Micros now) {
        if (entries_.empty() || entries_.begin()->at > now)
            return std::nullopt;
        const Entry first = *entries_.begin();
        entries_.erase(entries_.begin());
        return first;
    }

    /// A timer has fired.
    void timer_fired(Micros now) {
        if (now >= armed_for_)
            armed_for_ = kUnarmed;
    }

    /// The delay in us of a timer that has to be set now; empty where the one that is set fires early enough.
    std::optional<Micros> arm(Micros now) {
        if (entries_.empty() || entries_.begin()->at >= armed_for_)
            return std::nullopt;
        armed_for_ = entries_.begin()->at;
        return armed_for_ > now ? armed_for_ - now : 0;
    }

private:
    static constexpr Micros kUnarmed = INT64_MAX;

    std::set<Entry> entries_;
    Micros armed_for_ = kUnarmed;
};

} // namespace marblewood::policy
