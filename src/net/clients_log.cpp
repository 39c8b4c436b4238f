// What is logged of client connections.
#include "net/clients.hpp"

#include <algorithm>

namespace marblewood::net {
namespace {

constexpr Micros kReportInterval = 1'000'000;
constexpr Micros kSlowClose = 500'000; // a connection that takes longer to close is logged

} // namespace

// Logs the end of a connection if the broker had discarded unparsed input of it before shutting it down, or
// closed it before the client's side had acknowledged all that was written. Otherwise logs it only if the
// broker was closing the connection, and either is quiesced or shutting down, or took at least kSlowClose to
// close it. In all cases the number of lines is rate limited.
void Clients::log_ended(const Client &client) {
    const Micros now = deadlines_.clock.now();
    const Micros took = now - client.closing.started_at;
    const bool reportable =
        client.closing.started_at != 0 && (took >= kSlowClose || quiesced_since_ || on_drained_);
    if (!reportable && client.dropped_before_shutdown == 0 && client.undelivered_at_close == 0)
        return;
    if (!ended_line_limiter_.allow(now))
        return;
    core::log("client {} ended after {} ms, {} ms after closing began ({}); requests received then: {}, "
              "has sent a request: {}; bytes discarded before shutdown: {}, after: {}; "
              "bytes not acknowledged by the client: {}; suppressed lines: {}",
              client.id, (now - client.use().accepted) / 1000,
              client.closing.started_at == 0 ? 0 : took / 1000, name(*client.close_reason),
              client.requests_while_closing, client.use().has_requested, client.dropped_before_shutdown,
              client.dropped_after_shutdown, client.undelivered_at_close,
              ended_line_limiter_.take_suppressed());
}

// Logs that requests of a connection got no whole answer because the broker closed it.
void Clients::log_unanswered(const Client &client) {
    if (!unanswered_line_limiter_.allow(deadlines_.clock.now()))
        return;
    core::log("client_closed_unanswered client={} reason={} open_requests={} age_ms={} "
              "unacknowledged_bytes={} suppressed_lines={}",
              client.id, name(*client.close_reason), client.unanswered_at_close,
              (deadlines_.clock.now() - client.use().accepted) / 1000, client.undelivered_at_close,
              unanswered_line_limiter_.take_suppressed());
}

// Logs which connection is ended for others, and what the choice was made by.
void Clients::log_evicted(Client &client, std::string_view cause) {
    const Micros now = deadlines_.clock.now();
    if (!evicted_line_limiter_.allow(now))
        return;
    const ConnectionUse &use = client.use();
    core::log("client_evicted client={} cause={} open_requests={} delivery={} "
              "unacknowledged_bytes={} last_used_ms={} age_ms={} clients={} idle={} "
              "suppressed_lines={}",
              client.id, cause, use.open_requests, name(use.delivery.state),
              unacknowledged_bytes(client.socket), (now - use.last_used) / 1000, (now - use.accepted) / 1000,
              clients_.size(), order_.idle_requesters(now), evicted_line_limiter_.take_suppressed());
}

// Logs that the broker no longer waits for the rest of a client's message. Bytes that are unparsed or unread
// then are input that the client has sent and the broker has not handled.
void Clients::log_abandoned_message(const Client &client, const AbandonedMessage &message) {
    if (!abandoned_line_limiter_.allow(deadlines_.clock.now()))
        return;
    core::log(
        "client_message_abandoned client={} reason=\"{}\" waited_ms={} open_requests={} unparsed_bytes={} "
        "unread_bytes={} suppressed_lines={}",
        client.id, message.reason, message.waited / 1000, message.open_requests, message.unparsed_bytes,
        message.unread_bytes, abandoned_line_limiter_.take_suppressed());
}

void Clients::report_closing(std::string_view cause) {
    const auto open_requests = [](const Client &client) { return client.use().open_requests > 0; };
    const auto partial = [](const Client &client) { return client.use().partial; };
    core::log(
        "{}: {} client connections open, {} of them closing, {} with open requests, {} with part of one",
        cause, clients_.size(), closing(), std::ranges::count_if(clients_, open_requests),
        std::ranges::count_if(clients_, partial));
    const Client *longest = nullptr;
    for (const Client &client : clients_)
        if (client.use().closing && (!longest || client.closing.started_at < longest->closing.started_at))
            longest = &client;
    if (longest)
        core::log("{}: client {} has been closing for {} ms ({}): open requests {}, received meanwhile {}, "
                  "partial request {}, unwritten answers {}",
                  cause, longest->id, (deadlines_.clock.now() - longest->closing.started_at) / 1000,
                  name(*longest->close_reason), longest->use().open_requests, longest->requests_while_closing,
                  longest->use().partial, longest->writing);
    report_timer_ = deadlines_.in(kReportInterval, [this, cause] {
        if (!clients_.empty())
            report_closing(cause);
    });
}

} // namespace marblewood::net
