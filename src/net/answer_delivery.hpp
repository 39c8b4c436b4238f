/// \file
/// The answers of a connection that are pending: queued, being written, or written and not yet acknowledged
/// by the client's system. Does no I/O and reads no clock.
#pragma once

#include "marblewood/scheduler.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marblewood::net {

/// How far the answers of a connection have come.
enum class DeliveryState {
    Delivered, ///< none is pending, as far as is known
    Pending,   ///< some are pending, and none are held back, as far as is known
    HeldBack,  ///< the client's system takes no more for now; the client has not shown yet that it reads
    Reading,   ///< the same, and the client has read
    Unread,    ///< nothing that is pending has been taken for some time
};

constexpr std::string_view name(DeliveryState state) {
    constexpr std::array<std::string_view, 5> kNames{"delivered", "pending", "held_back", "reading",
                                                     "unread"};
    return kNames[static_cast<std::size_t>(state)];
}

/// How the answers of a connection stand at one time.
struct DeliveryReport {
    DeliveryState state = DeliveryState::Delivered;
    Micros acknowledged_at = 0; ///< AnswerDelivery::last_acknowledged_at()
    std::int64_t read_rate = 0; ///< AnswerDelivery::read_rate()
};

/// Bytes are pending from queue() until the client's system has acknowledged them. All times are Unix time in
/// microseconds.
class AnswerDelivery {
public:
    /// For how long nothing that is pending may be acknowledged before the connection is ended.
    static constexpr Micros kStallTimeout = 10'000'000;
    /// For how long after the last acknowledgement answers do not count as Unread: of a client that has read,
    /// or that holds nothing back, as its system or the network may be late with an acknowledgement; of any
    /// other.
    static constexpr Micros kReaderGrace = 3'000'000;
    static constexpr Micros kFirstReadGrace = 250'000;
    /// A client has read once so much was acknowledged after the first report. Its system's receive buffer
    /// may take less after that without being read.
    static constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

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
    /// The system reports that `bytes` of those accepted are not acknowledged, and whether it holds some of
    /// them back, as the client's system takes no more. Returns whether some have been acknowledged since the
    /// last report.
    bool on_unacknowledged(std::size_t bytes, bool held_back, Micros now);

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
    /// Bytes per second that the client has read since the first report on what is pending; 0 if it has not
    /// read.
    std::int64_t read_rate(Micros now) const;
    DeliveryReport report(Micros now) const { return {state(now), last_acknowledged_at_, read_rate(now)}; }

private:
    bool has_read() const { return read_bytes_ >= kReadBytes; }

    Batch queued_;
    std::size_t batch_bytes_ = 0;
    std::size_t unacknowledged_bytes_ = 0;
    Micros last_acknowledged_at_ = 0;
    std::size_t read_bytes_ = 0; // acknowledged after the first report
    bool reported_ = false;
    Micros first_report_at_ = 0;
    bool held_back_ = false; // as of the last report
};

} // namespace marblewood::net
