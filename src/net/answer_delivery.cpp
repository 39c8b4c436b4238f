#include "net/answer_delivery.hpp"

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
    reported_ = true;
    return taken;
}

DeliveryState AnswerDelivery::state(Micros now) const {
    if (is_delivered())
        return DeliveryState::Delivered;
    const bool has_read = read_bytes_ >= kReadBytes;
    const Micros grace = has_read || !held_back_ ? kReaderGrace : kFirstReadGrace;
    return is_stalled(now, grace) ? DeliveryState::Unread : DeliveryState::Pending;
}

} // namespace marblewood::net
