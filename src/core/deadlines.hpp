// All deadlines of the program in one sorted structure, swept at each turn of its single timer.
#pragma once

#include "core/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace marblewood::core {

class Deadlines {
public:
    using Action = std::function<void()>;
    // Takes its entry out when it goes.
    class Entry {
    public:
        Entry() = default;
        Entry(Deadlines &owner, std::pair<Micros, std::uint64_t> key) : owner_(&owner), key_(key) {}
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
        Deadlines *owner_ = nullptr;
        std::pair<Micros, std::uint64_t> key_;
    };

    Deadlines(boost::asio::io_context &io, const Clock &time) : clock(time), timer_(io) {}

    [[nodiscard]] Entry at(Micros when, Action action) {
        const std::pair key{when, ++last_};
        entries_.emplace(key, std::move(action));
        arm();
        return {*this, key};
    }
    [[nodiscard]] Entry in(Micros delay, Action action) { return at(clock.now() + delay, std::move(action)); }

    const Clock &clock;

private:
    void arm() {
        if (sweeping_ || entries_.empty() || entries_.begin()->first.first >= armed_)
            return;
        armed_ = entries_.begin()->first.first;
        timer_.expires_after(std::chrono::microseconds(std::max<Micros>(armed_ - clock.now(), 0)));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                sweep();
        });
    }
    void sweep() {
        armed_ = INT64_MAX;
        sweeping_ = true;
        const std::pair until{clock.now(), last_}; // what an action adds waits for the next turn
        while (!entries_.empty() && entries_.begin()->first <= until) {
            const Action action = std::move(entries_.begin()->second);
            entries_.erase(entries_.begin());
            action();
        }
        sweeping_ = false;
        arm();
    }

    boost::asio::steady_timer timer_;
    std::map<std::pair<Micros, std::uint64_t>, Action> entries_;
    std::uint64_t last_ = 0;
    Micros armed_ = INT64_MAX;
    bool sweeping_ = false;
};

} // namespace marblewood::core
