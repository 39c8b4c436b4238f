// The order in which clients' connections are closed to make room for new ones, kept up to date as the
// connections are used, so that a new connection costs the same however many there are. Free of I/O and
// clock.
//
// Bounds. An update costs O(log n) for n connections. Finding the next connection to close looks at one
// connection, and at one more for each that has received bytes since it was last filed.
#pragma once

#include "marblewood/scheduler.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace marblewood::net {

/// How a connection is used, as far as it decides whether it may be closed. Times are Unix time in us.
struct ConnectionUse {
    Micros accepted = 0;
    Micros used = 0;      ///< when something last came or went on it
    bool asked = false;   ///< it has sent a request, or made itself known
    bool lasting = false; ///< its protocol keeps it open for good, idle or not
    bool partial = false; ///< part of a request has come
    bool closing = false; ///< takes no more requests
    bool ending = false;  ///< has all its answers and was told of the end, which it has still to see
    std::size_t owed = 0; ///< requests taken on it and not yet answered whole

    bool idle() const { return owed == 0 && !partial; }
};

class EvictionOrder {
public:
    /// For how long the first request of a new connection is awaited, in us: it may be on its way or unread.
    static constexpr Micros kNewcomerGrace = 250'000;

    /// One connection's place in the order, which it holds for as long as it lives.
    class Entry {
    public:
        Entry(EvictionOrder &order, Micros accepted);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        const ConnectionUse &use() const { return use_; }
        void received(Micros now);
        void set_partial(bool partial);
        void mark_asked();
        void mark_lasting();
        void mark_closing();
        void mark_ending();
        void owe_answer();
        void settle_answers(std::size_t count);

    private:
        friend class EvictionOrder;
        template <typename Change> void update(Change change) {
            change(use_);
            order_.file(*this);
        }

        EvictionOrder &order_;
        ConnectionUse use_;
        const std::uint64_t sequence_;
        bool newcomer_ = true;             // within kNewcomerGrace, as far as the order has noticed
        std::optional<std::size_t> queue_; // where it is filed, by `filed_used_`
        bool filed_idle_ = false, counted_asker_ = false;
        Micros filed_used_ = 0;
    };

    /// The connection to close first at time `now`; nothing where all are in use. A connection on which
    /// `has_unread` finds bytes is in use.
    Entry *next(Micros now, const std::function<bool(Entry &)> &has_unread);

    /// Connections that have asked and are not closing, without those that last.
    std::size_t askers() const { return askers_; }
    /// Of those, the idle one that was unused for the longest.
    Entry *longest_idle_asker() const;

    /// Connections that next() has looked at since the start: what it costs.
    std::uint64_t examined() const { return examined_; }

private:
    // Closed in this order. One that holds a connection and says nothing goes before one that comes back to
    // it, and a newcomer last, however much it looks like one that says nothing.
    enum Queue : std::size_t { kSilent, kEnding, kAsked, kPartial, kNewcomer, kQueues };
    struct Key {
        Micros used = 0;
        std::uint64_t sequence = 0;
        Entry *entry = nullptr;
        auto operator<=>(const Key &other) const {
            return std::pair(used, sequence) <=> std::pair(other.used, other.sequence);
        }
    };
    using Line = std::set<Key>;

    static std::optional<std::size_t> queue_of(const Entry &entry);
    static Key key(Entry &entry) { return {entry.filed_used_, entry.sequence_, &entry}; }
    static Key age(Entry &entry) { return {entry.use_.accepted, entry.sequence_, &entry}; }
    void file(Entry &entry);
    void withdraw(Entry &entry);
    void graduate(Micros now);

    std::array<Line, kQueues> queues_;
    Line newcomers_; // all entries whose newcomer_ is set, by when they were accepted
    Line idle_askers_;
    std::size_t askers_ = 0;
    std::uint64_t last_ = 0, examined_ = 0;
};

} // namespace marblewood::net
