#include "net/answer_delivery.hpp"

#include <algorithm>
#include <utility>

namespace marblewood::net {

void AnswerDelivery::queue(std::string_view bytes, std::size_t answers, Micros now) {
    if (is_delivered()) {
        last_acknowledged_at_ = now;
        read_bytes_ = 0;
        reported_ = held_back_ = false;
    }
    queued_.bytes += bytes;
    queued_.answers += answers;
}

AnswerDelivery::Batch AnswerDelivery::begin_batch() {
    Batch batch = std::exchange(queued_, {});
    batch_bytes_ = batch.bytes.size();
    return batch;
}

bool AnswerDelivery::on_unacknowledged(std::size_t bytes, bool held_back, Micros now) {
    const bool taken = bytes < unacknowledged_bytes_;
    // A connection that another process has handed over may hold bytes that were written there.
    const bool inherited = bytes > 0 && is_delivered();
    if (taken && reported_)
        read_bytes_ += unacknowledged_bytes_ - bytes;
    unacknowledged_bytes_ = bytes;
    held_back_ = held_back;
    if (taken || inherited)
        last_acknowledged_at_ = now;
    if (!std::exchange(reported_, true))
        first_report_at_ = now;
    return taken;
}

DeliveryState AnswerDelivery::state(Micros now) const {
    if (is_delivered())
        return DeliveryState::Delivered;
    const Micros grace = has_read() || !held_back_ ? kReaderGrace : kFirstReadGrace;
    if (is_stalled(now, grace))
        return DeliveryState::Unread;
    if (!held_back_)
        return DeliveryState::Pending;
    return has_read() ? DeliveryState::Reading : DeliveryState::HeldBack;
}

std::int64_t AnswerDelivery::read_rate(Micros now) const {
    if (!has_read())
        return 0;
    constexpr Micros kSecond = 1'000'000;
    const Micros elapsed = std::max<Micros>(1, now - first_report_at_);
    return static_cast<std::int64_t>(read_bytes_) * kSecond / elapsed;
}

} // namespace marblewood::net
