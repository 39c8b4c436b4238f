/// \file
/// Divides the event loop's time among the client connections that send much.
#pragma once

#include "core/clock.hpp"
#include "core/mailbox.hpp"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace marblewood::net {

namespace asio = boost::asio;

/// A connection takes a turn before its input is handled, unless it sends little. Turns are given in rounds,
/// of one turn or of several short ones, and the loop serves everything else that is ready between two
/// rounds, so that the wait of a client that sends little does not depend on how many others flood the
/// broker. Connections come in the order of their arrival, each put back by up to kMaxSetback for what its
/// input has taken of late and is likely to take now. Used only on the event loop's thread.
class InputTurns {
public:
    static constexpr Micros kMaxSetback = 400'000;

    InputTurns(asio::any_io_executor executor, const core::Clock &clock)
        : executor_(std::move(executor)), clock_(clock) {}

    /// One connection's use of the loop. Its destructor ends a turn.
    class Account {
    public:
        explicit Account(InputTurns &turns) : turns_(turns), granted_(turns.executor_) {}
        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;
        ~Account() { end_turn(); }

        /// Whether the connection has to take a turn before `input_bytes` of its input are handled.
        bool needs_turn(std::size_t input_bytes);
        /// Waits for a turn to handle `input_bytes`, which ends with end_turn(). Returns early, with no turn,
        /// after skip().
        asio::awaitable<void> take_turn(std::size_t input_bytes);
        void end_turn();
        /// Ends a wait for a turn, as the connection is being closed and its input may not wait.
        void skip();
        /// Charges the connection for the time that its input has taken since `started_at`.
        void charge(Micros started_at);

    private:
        friend class InputTurns;
        // Recent use, which fades with time.
        Micros use_at(Micros now) const;

        InputTurns &turns_;
        core::Mailbox<bool> granted_; // true: it is the connection's turn
        Micros use_ = 0;
        Micros used_at_ = 0;
        std::uint64_t place_ = 0; // among the waiting; 0: it does not wait
        Micros rank_ = 0;         // while it waits: arrival and setback
        bool has_turn_ = false;
    };

    std::size_t waiting() const { return waiting_.size(); }

private:
    using Key = std::pair<Micros, std::uint64_t>; // rank, then the order of arrival

    // Begins the next round, which is larger if the last one took little time, and smaller if it took much.
    void begin_round();

    asio::any_io_executor executor_;
    const core::Clock &clock_;
    std::map<Key, Account *> waiting_;
    std::uint64_t last_place_ = 0;
    std::size_t open_turns_ = 0; // of the present round
    std::size_t round_size_ = 1;
    Micros round_time_ = 0; // that the input of the present round has taken
};

} // namespace marblewood::net
