#include "net/link/outbox.hpp"

namespace marblewood::net::link {

Outbox::Outbox(PeerTransport &transport, StateFile &file) : transport_(transport), file_(file) {
    file_.on_durable = [this] { send_ready(); };
}

void Outbox::save(std::string state) {
    newest_state_ = file_.save(std::move(state));
}

void Outbox::post(std::string peer, FrameBody body) {
    held_.push_back({newest_state_, std::move(peer), std::move(body)});
    if (held_.size() > kMaxHeldMessages)
        held_.pop_front(); // equivalent to a loss in the network, which receivers tolerate
    send_ready();
}

void Outbox::send_ready() {
    while (!held_.empty() && held_.front().required_state <= file_.durable_state()) {
        transport_.send(held_.front().peer, std::move(held_.front().body));
        held_.pop_front();
    }
}

} // namespace marblewood::net::link
