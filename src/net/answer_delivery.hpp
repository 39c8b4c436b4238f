/// \file
/// The answers of a connection that are pending: queued, being written, or written and not yet acknowledged
/// by the client's system. Does no I/O and reads no clock.
#pragma once

#include "marblewood/scheduler.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace marblewood::net {

/// How far the answers of a connection have come.
enum class DeliveryState {
    Delivered, ///< none is pending, as far as is known
    Reading,   ///< some are pending, and the client has shown within kReaderGrace that it reads
    Unread,    ///< some are pending, and it has not
};

constexpr std::string_view name(DeliveryState state) {
    constexpr std::array<std::string_view, 3> kNames{"delivered", "reading", "unread"};
    return kNames[static_cast<std::size_t>(state)];
}

/// Bytes are pending from queue() until the client's system has acknowledged them. All times are Unix time in
/// microseconds.
class AnswerDelivery {
public:
    /// For how long nothing that is pending may be acknowledged before the connection is ended.
    static constexpr Micros kStallTimeout = 10'000'000;
    /// For how long after the last acknowledgement a client that has read counts as Reading.
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
    void on_accepted(std::size_t bytes) { unacknowledged_bytes_ += bytes; }
    void end_batch() { batch_bytes_ = 0; }
    /// The system reports that `bytes` of those accepted are not acknowledged. Returns whether some have been
    /// acknowledged since the last report.
    bool on_unacknowledged(std::size_t bytes, Micros now);

    /// Bytes that the process holds: queued ones and the whole batch that is being written.
    std::size_t unsent_bytes() const { return queued_.bytes.size() + batch_bytes_; }
    /// Whether nothing is pending, as of the last on_unacknowledged().
    bool is_delivered() const { return unsent_bytes() == 0 && unacknowledged_bytes_ == 0; }
    /// When something was last acknowledged, or became pending after all was delivered.
    Micros last_acknowledged_at() const { return last_acknowledged_at_; }
    /// Whether something is pending and nothing of it has been acknowledged for `time`.
    bool is_stalled(Micros now, Micros time) const {
        return !is_delivered() && now - last_acknowledged_at_ >= time;
    }
    DeliveryState state(Micros now) const;

private:
    Batch queued_;
    std::size_t batch_bytes_ = 0;
    std::size_t unacknowledged_bytes_ = 0;
    Micros last_acknowledged_at_ = 0;
    // Something has been acknowledged after the first report. What is acknowledged before may just fill the
    // receive buffer of a client that does not read.
    bool has_read_ = false;
    bool reported_ = false;
};

} // namespace marblewood::net
