// The parts of DiscoveryClient for a hot restart: what another process of the same broker is told, and its
// calls.
#include "discovery/discovery_client.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

#include <boost/asio/co_spawn.hpp>

namespace marblewood::discovery {

void DiscoveryClient::continue_from(std::int64_t revision, const std::string &source) {
    revision_ = revision;
    if (source.empty() || source == list_source_)
        return;
    list_source_ = source;
    current_->revisions_incomparable = true;
    current_->request_complete_list_at = 0;
}

void DiscoveryClient::apply_relayed(const std::string &text) {
    try {
        const RelayedList list = decode_relayed_list(text, resource_.decode);
        const bool applicable = is_applicable(list);
        core::log("relayed_list_{} revision={} source={} known_revision={}",
                  applicable ? "applied" : "ignored", list.response.revision, list.source, revision_);
        if (!applicable)
            return;
        revision_ = list.response.revision;
        if (list.source != list_source_) {
            // The other process's complete list answers what the new watch has been asking for.
            list_source_ = list.source;
            const auto watch = watch_of_source(list.source);
            watch->revisions_incomparable = false;
            watch->request_complete_list_at = kNever;
            if (watch == next_)
                replace_current_watch();
        }
        on_update_(list.response);
    } catch (const std::exception &error) { // no content of a list may end the process
        core::log("relayed_list_rejected reason=\"{}\"", error.what());
    }
}

/// Whether a relayed list continues the known one, or is the complete list of a source that is watched but
/// has not answered yet.
bool DiscoveryClient::is_applicable(const RelayedList &list) const {
    const bool complete = list.response.update.kind == ListUpdate::Kind::Full;
    if (list.source != list_source_)
        return complete && watch_of_source(list.source);
    return list.response.revision > revision_ && (complete || list.since <= revision_);
}

std::shared_ptr<DiscoveryClient::Watch> DiscoveryClient::watch_of_source(const std::string &source) const {
    for (const auto &watch : {next_, current_})
        if (watch && source_of(*watch) == source)
            return watch;
    return nullptr;
}

std::vector<HandedOverCall> DiscoveryClient::release_calls() {
    std::vector<std::shared_ptr<Watch>> watches{current_, next_};
    watches.insert(watches.end(), adopted_.begin(), adopted_.end());
    std::vector<HandedOverCall> calls;
    for (const auto &watch : watches) {
        if (!watch)
            continue;
        if (auto call = release_call(*watch))
            calls.push_back(std::move(*call));
        stop(*watch);
    }
    return calls;
}

std::optional<HandedOverCall> DiscoveryClient::release_call(Watch &watch) {
    if (!watch.sent_call || !watch.socket.is_open())
        return std::nullopt;
    const SentCall &sent = *watch.sent_call;
    HandedOverCall call{watch.address.host, sent.poll.known_revision, sent.poll.complete, sent.deadline,
                        sent.received,      net::Descriptor()};
    watch.state = WatchState::Stopped; // before the pending read is cancelled
    boost::system::error_code error;
    call.connection = net::Descriptor(watch.socket.release(error));
    return error ? std::nullopt : std::optional(std::move(call));
}

void DiscoveryClient::adopt_call(HandedOverCall call) {
    const auto endpoint = net::endpoint<tcp::endpoint>(call.host).value_or(current_->address.endpoint);
    const auto watch = std::make_shared<Watch>(io_, SourceAddress{endpoint, call.host}, next_backoff());
    boost::system::error_code error;
    watch->socket.assign(endpoint.protocol(), call.connection.release(), error);
    core::log("discovery_call_adopted address={} since={} complete={} known_revision={}", call.host,
              call.known_revision, call.complete, revision_);
    if (error)
        return;
    watch->calling_since = deadlines_.clock.now();
    watch->sent_call = {{call.known_revision, call.complete}, call.deadline, std::move(call.received)};
    adopted_.push_back(watch);
    asio::co_spawn(io_, run_adopted(watch), [this, watch](const std::exception_ptr &) {
        stop(*watch);
        adopted_.remove(watch);
    });
}

asio::awaitable<void> DiscoveryClient::run_adopted(std::shared_ptr<Watch> watch) {
    Poll poll = watch->sent_call->poll;
    CallResult result = co_await receive(*watch);
    while (!watch->stopped() && result.status == CallStatus::Answered &&
           continues_known_list(*watch, result.response, poll)) {
        apply(watch, result.response, poll);
        if (current_->answered || !watch->socket.is_open())
            break;
        poll = {revision_, false};
        result = co_await call_for(*watch, poll);
    }
}

/// Whether the response to an adopted call can be applied to the known list.
bool DiscoveryClient::continues_known_list(const Watch &watch, const ListResponse &response,
                                           Poll poll) const {
    const bool complete = response.update.kind == ListUpdate::Kind::Full;
    return source_of(watch) == list_source_ && response.revision >= revision_ &&
           (complete || (!poll.complete && poll.known_revision <= revision_));
}

} // namespace marblewood::discovery
