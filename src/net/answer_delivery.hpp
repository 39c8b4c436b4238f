/// \file
/// What a connection owes its client: the answers that are queued, those being written, and what the system
/// holds of them until the client's side has acknowledged it. Does no I/O and reads no clock.
#pragma once

#include "marblewood/scheduler.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace marblewood::net {

/// How far the answers of a connection have come.
enum class DeliveryState {
    Delivered, ///< the client's side has acknowledged all of them, as far as is known
    Reading,   ///< some are on their way, and the client has shown within kReaderGrace that it reads
    Unread,    ///< some are on their way, and it has not
};

/// Bytes count as owed from queue() until the client's side has acknowledged them. All times are Unix time in
/// microseconds.
class AnswerDelivery {
public:
    /// For how long a client may take nothing of what it is owed before its connection is ended.
    static constexpr Micros kStallTimeout = 10'000'000;
    /// A client that has read counts as Reading for this time after it last took something.
    static constexpr Micros kReaderGrace = 3'000'000;

    /// What is written at one time.
    struct Batch {
        std::string bytes;
        std::size_t answers = 0; ///< answers that are written completely with it
    };

    /// Queues bytes, the last ones of `answers` answers.
    void queue(std::string_view bytes, std::size_t answers, Micros now);
    bool has_queued() const { return !queued_.bytes.empty(); }
    /// Gives all queued bytes to the caller, who writes them and then calls end_batch().
    Batch begin_batch();
    /// The system has accepted `bytes` of the current batch.
    void on_accepted(std::size_t bytes) { held_by_system_ += bytes; }
    void end_batch() { batch_bytes_ = 0; }
    /// The system holds `bytes` that the client's side has not acknowledged. Returns whether the client has
    /// taken anything since the last call.
    bool on_held_by_system(std::size_t bytes, Micros now);

    /// Bytes that the process holds: queued ones and the whole batch that is being written.
    std::size_t unsent_bytes() const { return queued_.bytes.size() + batch_bytes_; }
    /// As of the last on_held_by_system().
    bool is_delivered() const { return unsent_bytes() == 0 && held_by_system_ == 0; }
    /// When the client last took something, or came to be owed something after it had taken all.
    Micros last_progress() const { return last_progress_; }
    /// Whether the client is owed something and has taken nothing for `time`.
    bool is_stalled(Micros now, Micros time) const { return !is_delivered() && now - last_progress_ >= time; }
    DeliveryState state(Micros now) const;

private:
    Batch queued_;
    std::size_t batch_bytes_ = 0;
    std::size_t held_by_system_ = 0;
    Micros last_progress_ = 0;
    // The client has taken something since the system first reported that it holds bytes. Until then it may
    // be just its system that takes them, into its receive buffer.
    bool has_read_ = false;
    bool reported_ = false;
};

} // namespace marblewood::net
