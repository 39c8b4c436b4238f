/// \file
/// The timers of the program, kept in one sorted map and driven by a single asio timer.
#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace marblewood::core {

/// Calls actions at the times they are scheduled for. Used only on the event loop's thread, which also calls
/// the actions. An action may add and remove entries. Entries must not outlive their Deadlines object.
class Deadlines {
    /// Entries with the same due time run in the order in which they were added.
    struct Key {
        Micros due = 0; // Unix time
        std::uint64_t sequence = 0;
        bool operator<(const Key &other) const {
            return due != other.due ? due < other.due : sequence < other.sequence;
        }
    };

public:
    using Action = std::function<void()>;

    /// Owns one scheduled action; its destruction or reset() cancels the action.
    class Entry {
    public:
        Entry() = default;
        Entry(Entry &&other) noexcept : owner_(std::exchange(other.owner_, nullptr)), key_(other.key_) {}
        Entry &operator=(Entry &&other) noexcept {
            reset();
            owner_ = std::exchange(other.owner_, nullptr);
            key_ = other.key_;
            return *this;
        }
        ~Entry() { reset(); }

        void reset() {
            if (owner_)
                owner_->entries_.erase(key_);
            owner_ = nullptr;
        }

    private:
        friend class Deadlines;
        Entry(Deadlines &owner, Key key) : owner_(&owner), key_(key) {}

        Deadlines *owner_ = nullptr;
        Key key_;
    };

    Deadlines(boost::asio::io_context &io, const Clock &time) : clock(time), timer_(io) {}

    /// Schedules `action` for the Unix time `due`. If that time has passed, the action runs soon, but never
    /// within this call.
    [[nodiscard]] Entry at(Micros due, Action action) {
        const Key key{due, ++last_sequence_};
        entries_.emplace(key, std::move(action));
        arm();
        return {*this, key};
    }
    /// Schedules `action` to run after `delay`.
    [[nodiscard]] Entry in(Micros delay, Action action) { return at(clock.now() + delay, std::move(action)); }

    const Clock &clock;

private:
    static constexpr Micros kNever = INT64_MAX;

    void arm() {
        if (running_actions_ || entries_.empty() || entries_.begin()->first.due >= armed_for_)
            return;
        armed_for_ = entries_.begin()->first.due;
        timer_.expires_after(std::chrono::microseconds(std::max<Micros>(armed_for_ - clock.now(), 0)));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                run_due_actions();
        });
    }
    void run_due_actions() {
        armed_for_ = kNever;
        running_actions_ = true;
        const Key last_due{clock.now(), last_sequence_}; // entries added by an action wait for the next run
        while (!entries_.empty() && !(last_due < entries_.begin()->first)) {
            const Action action = std::move(entries_.begin()->second);
            entries_.erase(entries_.begin());
            action();
        }
        running_actions_ = false;
        arm();
    }

    boost::asio::steady_timer timer_;
    std::map<Key, Action> entries_;
    std::uint64_t last_sequence_ = 0;
    Micros armed_for_ = kNever;
    bool running_actions_ = false;
};

} // namespace marblewood::core
