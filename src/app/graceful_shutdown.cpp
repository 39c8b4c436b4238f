#include "app/graceful_shutdown.hpp"

#include "core/log.hpp"

namespace marblewood::app {

namespace {

constexpr Micros kHandoverRecheckInterval = 1'000;
constexpr Micros kMillisecond = 1'000;

} // namespace

void GracefulShutdown::await_signal() {
    signals_.async_wait([this](const boost::system::error_code &error, int signal_number) {
        if (!error)
            begin(signal_number);
    });
}

void GracefulShutdown::begin(int signal_number) {
    log_further_signals();
    const Micros now = parts_.deadlines.clock.now();
    const auto schedule = ShutdownSchedule::starting_at(now, parts_.settings.classes);
    core::log("shutdown_started signal={} close_connections_in_ms={} answer_all_in_ms={} exit_in_ms={}",
              signal_number, (schedule.close_connections_at - now) / kMillisecond,
              (schedule.answer_all_at - now) / kMillisecond, (schedule.exit_at - now) / kMillisecond);
    for (const auto &dispatcher : parts_.dispatchers)
        dispatcher->cap_deadlines(schedule.exit_at);
    parts_.clients.drain(schedule.close_connections_at, schedule.answer_all_at, [this] {
        parts_.process_handover.hand_over_discovery_calls();
        stop_once_handed_over();
    });
}

void GracefulShutdown::log_further_signals() {
    signals_.async_wait([this](const boost::system::error_code &error, int signal_number) {
        if (error)
            return;
        core::log("shutdown_already_started signal={}", signal_number);
        log_further_signals();
    });
}

/// Stops the event loop once nothing is left to send. By now this process has closed or handed over all
/// client connections, but some may still be queued for sending to a successor.
void GracefulShutdown::stop_once_handed_over() {
    if (parts_.process_handover.is_flushed()) {
        parts_.io.stop();
        return;
    }
    recheck_ = parts_.deadlines.in(kHandoverRecheckInterval, [this] { stop_once_handed_over(); });
}

} // namespace marblewood::app
