#include "net/answer_delivery.hpp"

#include <utility>

namespace marblewood::net {

void AnswerDelivery::queue(std::string_view bytes, std::size_t answers, Micros now) {
    if (is_delivered()) {
        last_acknowledged_at_ = now;
        has_read_ = reported_ = false;
    }
    queued_.bytes += bytes;
    queued_.answers += answers;
}

AnswerDelivery::Batch AnswerDelivery::begin_batch() {
    Batch batch = std::exchange(queued_, {});
    batch_bytes_ = batch.bytes.size();
    return batch;
}

bool AnswerDelivery::on_unacknowledged(std::size_t bytes, Micros now) {
    const bool taken = bytes < unacknowledged_bytes_;
    // A connection that another process has handed over may hold bytes that were written there.
    const bool inherited = bytes > 0 && is_delivered();
    unacknowledged_bytes_ = bytes;
    if (taken || inherited)
        last_acknowledged_at_ = now;
    has_read_ = has_read_ || (taken && reported_);
    reported_ = true;
    return taken;
}

DeliveryState AnswerDelivery::state(Micros now) const {
    if (is_delivered())
        return DeliveryState::Delivered;
    return has_read_ && !is_stalled(now, kReaderGrace) ? DeliveryState::Reading : DeliveryState::Unread;
}

} // namespace marblewood::net
