/// \file
/// The order in which client connections are closed to make room for new ones. It is updated as connections
/// are used, so that the cost of finding one to close does not depend on their number. Does no I/O and reads
/// no clock.
///
/// Complexity: an update costs O(log n) for n connections. Finding the next connection to close examines one
/// connection, plus one for each that has received bytes since its position was last updated.
#pragma once

#include "marblewood/scheduler.hpp"
#include "net/answer_delivery.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace marblewood::net {

/// The state of a connection that decides whether it may be closed. Times are Unix time in microseconds.
struct ConnectionUse {
    Micros accepted = 0;
    Micros last_used = 0;       ///< when bytes were last received or written
    bool has_requested = false; ///< has sent a request, or has connected to an NVMe controller
    bool has_returned = false;  ///< has sent more than one request
    bool persistent = false;    ///< the protocol keeps the connection open while idle
    bool partial = false;       ///< part of a request has been received
    bool closing = false;       ///< is being closed; see net::Closing
    bool needed = false;        ///< other connections of its client end with it
    bool closed = false;        ///< its socket is closed, so that closing it makes no more room
    bool lingering = false;     ///< all answers sent, sending side shut down; waits for the client to close
    std::size_t open_requests = 0; ///< requests received whose answers are not completely written
    DeliveryReport delivery;       ///< of the answers that are written

    bool idle() const { return open_requests == 0 && !partial && delivery.state == DeliveryState::Delivered; }
    bool unread() const { return delivery.state == DeliveryState::Unread; }
    /// Whether the client has not shown that it reads the answers that are held back.
    bool may_not_read() const { return unread() || delivery.state == DeliveryState::HeldBack; }
    /// The position within a queue of the order: the lowest comes first. A time, or the rate of a reader.
    std::int64_t rank() const {
        if (delivery.state == DeliveryState::Reading)
            return delivery.read_rate;
        return may_not_read() ? delivery.acknowledged_at : last_used;
    }
};

class EvictionOrder {
public:
    /// For how long a new connection is protected, as its first request may be in transit or unread.
    static constexpr Micros kNewcomerGrace = 250'000;
    /// A client that has returned counts as active for this time after its last use, as it may return soon.
    static constexpr Micros kActiveGrace = 100'000;

    /// One connection's position in the order, held for the lifetime of the object.
    class Entry {
    public:
        Entry(EvictionOrder &order, Micros accepted);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        const ConnectionUse &use() const { return use_; }
        void received(Micros now);
        void set_partial(bool partial);
        void mark_requested();
        void mark_persistent();
        void mark_closing();
        void mark_closed();
        void mark_lingering();
        void set_needed(bool needed);
        void set_delivery(const DeliveryReport &report);
        void add_open_request();
        void complete_requests(std::size_t count);

    private:
        friend class EvictionOrder;
        template <typename Change> void update(Change change) {
            change(use_);
            order_.reposition(*this);
        }

        EvictionOrder &order_;
        ConnectionUse use_;
        const std::uint64_t sequence_;
        bool newcomer_ = true; // accepted less than kNewcomerGrace ago, as of the last expire_newcomers()
        bool rested_ = false;  // not used for kActiveGrace, as of the last expire_active()
        std::optional<std::size_t> queue_; // the queue that holds it, ordered by `queued_rank_`
        bool queued_idle_ = false;
        std::int64_t queued_rank_ = 0;
    };

    /// The connection to close first at time `now`, or nullptr if all are in use. A connection for which
    /// `in_use` returns true is, unless it lingers or its client does not read its answers, or reads them
    /// slowly and there is no other.
    Entry *next(Micros now, const std::function<bool(Entry &)> &in_use);

    /// Number of connections that have sent a request, are idle and not active, and are neither closing nor
    /// persistent.
    std::size_t idle_requesters(Micros now);
    /// The one of these that has been idle for the longest, or nullptr.
    Entry *longest_idle_requester(Micros now);

    /// Number of connections examined by all calls of next(), as a measure of its cost.
    std::uint64_t examined() const { return examined_; }

private:
    // Connections are closed in the order of these queues. Those that never sent a request come before those
    // whose clients use them again or do not read their answers; newcomers come late, although they have not
    // sent a request either, and active ones after them. Readers are ended last, the slowest first: their
    // answers are lost, and without them newcomers would find no room.
    enum Queue : std::size_t {
        kSilent,
        kLingering,
        kRequested,
        kPartial,
        kNewcomer,
        kHeldBack,
        kActive,
        kReading,
        kQueues
    };
    struct Key {
        std::int64_t rank = 0; // ConnectionUse::rank()
        std::uint64_t sequence = 0;
        Entry *entry = nullptr;
        auto operator<=>(const Key &other) const {
            return std::pair(rank, sequence) <=> std::pair(other.rank, other.sequence);
        }
    };
    using KeySet = std::set<Key>;

    static std::optional<std::size_t> queue_of(const Entry &entry);
    static Key key(Entry &entry) { return {entry.queued_rank_, entry.sequence_, &entry}; }
    // Its rank is that of the accept.
    static Key accept_key(Entry &entry) { return {entry.use_.accepted, entry.sequence_, &entry}; }
    // Puts an entry into the queues that its use calls for.
    void reposition(Entry &entry);
    void dequeue(Entry &entry);
    void expire_newcomers(Micros now);
    void expire_active(Micros now);

    std::array<KeySet, kQueues> queues_;
    KeySet newcomers_; // all entries whose newcomer_ is set, by accept time
    KeySet idle_requesters_;
    std::uint64_t last_sequence_ = 0, examined_ = 0;
};

} // namespace marblewood::net
