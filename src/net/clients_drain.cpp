// The end of all client connections at the shutdown of the process.
#include "net/clients.hpp"

#include <limits>

namespace marblewood::net {
namespace {

constexpr Micros kDrainCheckInterval = 10'000;
// After this time without connections a drain stops listening: new connections keep arriving for 0.4 s.
constexpr Micros kMinTimeWithoutArrivals = 450'000;
// At the end of a drain the backlog is accepted until it is empty. Where clients fill it again and again,
// only what is in it after kBacklogTimeout is, for at most kLastBacklogTimeout more.
constexpr Micros kBacklogTimeout = 100'000;
constexpr Micros kLastBacklogTimeout = 60'000;
constexpr Micros kBacklogCheckInterval = 1'000;
constexpr int kMaxAcceptsBeyondRoom = 16; // within the descriptors that are reserved for other purposes

} // namespace

void Clients::drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> on_drained) {
    on_drained_ = std::move(on_drained);
    close_connections_at_ = close_connections_at;
    answer_all_at_ = answer_all_at;
    last_change_at_ = deadlines_.clock.now();
    for (Client &client : clients_) {
        client.exempt_from_idle_timeout = true;
        if (client.notify)
            client.notify();
    }
    advance_drain();
}

// Performs the next step of a drain. Clients use their open connections for as long as these stay open, and
// cannot know that a broker is about to exit, so the broker has to close the connections itself.
void Clients::advance_drain() {
    const Micros now = deadlines_.clock.now();
    if (now >= close_connections_at_ && !closing_all_)
        begin_closing_all();
    const bool no_arrivals = clients_.empty() && now - last_change_at_ >= kMinTimeWithoutArrivals;
    if (now < answer_all_at_ && !no_arrivals) {
        drain_timer_ = deadlines_.in(kDrainCheckInterval, [this] { advance_drain(); });
        return;
    }
    closing_all_ = true;
    if (!paused_ && !finish_backlog(now)) { // if paused, a successor process accepts them
        drain_timer_ = deadlines_.in(kBacklogCheckInterval, [this] { advance_drain(); });
        return;
    }
    stop_listening();
    if (clients_.empty() && on_drained_)
        std::exchange(on_drained_, nullptr)();
}

void Clients::begin_closing_all() {
    closing_all_ = true;
    report_closing("shutdown");
    const Micros now = deadlines_.clock.now();
    for (Client &client : clients_)
        client.close_for_shutdown(now, answer_all_at_);
}

// Accepts connections from the backlog. Returns whether all are accepted that have to be.
bool Clients::finish_backlog(Micros now) {
    const Micros last_begins_at = answer_all_at_ + kBacklogTimeout;
    if (now >= last_begins_at && !accept_at_end_until_)
        accept_at_end_until_ = accepted_at_end_ + backlog_length(acceptor_.native_handle());
    const bool last_turn = now >= last_begins_at + kLastBacklogTimeout;
    const bool emptied = accept_backlog(last_turn);
    return emptied || last_turn || (accept_at_end_until_ && accepted_at_end_ >= *accept_at_end_until_);
}

// Accepts connections from the backlog, if possible all in one turn of the event loop, as a client may
// already have written a request to one of them, and as others may arrive in the meantime. Returns whether
// the backlog is empty.
bool Clients::accept_backlog(bool last) {
    const std::uint64_t before = figures_.accepted;
    const bool emptied = accept_waiting(std::numeric_limits<int>::max(), last ? kMaxAcceptsBeyondRoom : 0);
    accepted_at_end_ += figures_.accepted - before;
    return emptied;
}

void Clients::stop_listening() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    core::log("shutdown: stopped listening; {} connections were accepted from the backlog at the end",
              accepted_at_end_);
}

} // namespace marblewood::net
