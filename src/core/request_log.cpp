#include "core/request_log.hpp"

#include "core/log.hpp"

#include <string>

namespace marblewood::core {

namespace {

std::string join_names(std::span<const Status> statuses) {
    std::string names;
    for (const Status status : statuses) {
        if (!names.empty())
            names += ',';
        names += name(status);
    }
    return names.empty() ? "none" : names;
}

} // namespace

void RequestLog::request_ended(const Request &request, const Outcome &outcome,
                               std::span<const Status> ended_statuses, std::size_t attempts_started) {
    if (outcome.kind == Outcome::Kind::Served)
        return;
    const bool refused = outcome.kind == Outcome::Kind::Refused;
    if (refused && attempts_started == 0)
        return;
    if (!allow_line())
        return;
    constexpr Micros kMillisecond = 1000;
    log("{} request_id={} connection={} elapsed_ms={} timeout_ms={} attempts={} in_flight={}",
        refused ? "request_refused" : "request_failed", request.id, request.connection_id,
        (clock_.now() - request.received_at) / kMillisecond, request.timeout / kMillisecond,
        join_names(ended_statuses), attempts_started - ended_statuses.size());
}

bool RequestLog::allow_line() {
    if (!rate_limiter_.allow(clock_.now()))
        return false;
    if (const auto suppressed = rate_limiter_.take_suppressed(); suppressed > 0)
        log("request_log_lines_suppressed count={}", suppressed);
    return true;
}

} // namespace marblewood::core
