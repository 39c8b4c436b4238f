#include "discovery/discovery_client.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

#include <boost/asio/co_spawn.hpp>

namespace marblewood::discovery {
namespace {

// A poll waits for a change between kMaxPollTime - kPollTimeJitter and kMaxPollTime, so that brokers do not
// start new polls in lockstep. The sum of kMaxPollTime, kResponseTimeout, the first pauses, a connect and a
// response stays under 6 s.
constexpr Micros kMaxPollTime = 3'200'000;
constexpr Micros kPollTimeJitter = 1'000'000;
/// Limits the time of a connect, and of a response in addition to the time that its poll may wait.
constexpr Micros kResponseTimeout = 1'100'000;

// The first and the longest pause after failed calls. When a shared service becomes available again, the
// brokers must not all call it at once.
constexpr Micros kInitialBackoff = 200'000;
constexpr Micros kMaxBackoff = 2'000'000;
constexpr Micros kLocalAgentInitialBackoff = 10'000;
constexpr Micros kLocalAgentMaxBackoff = 100'000;
/// The minimum pause while a shared service is overloaded, and the maximum random time added to it.
constexpr Micros kMinOverloadBackoff = 1'000'000;
constexpr Micros kOverloadBackoffJitter = 1'600'000;

/// The mean time until the complete list is requested again from an overloaded discovery service. After a
/// move, all brokers need that list at once, and it takes the service many times the work of a call for
/// changes. The time is random, from half to one and a half of this.
constexpr Micros kCompleteListRetry = 10'000'000;

constexpr Micros kMicrosPerMilli = 1000;
/// The source of all distributors' lists: they serve the same sequence of revisions.
constexpr const char *kDistributorsSource = "distributors";
constexpr int kStatusOk = 200;
constexpr int kStatusServiceUnavailable = 503;

Micros max_backoff(const WatchOptions &options) {
    if (options.max_list_age <= 0)
        return kMaxBackoff;
    return std::clamp(options.max_list_age, kInitialBackoff, kMaxBackoff);
}

} // namespace

WatchedResource node_list(config::Names &nodes, config::Names &zones) {
    return {"/v1/servers", [&nodes, &zones](Json::Value response) {
                return decode_node_list(std::move(response), nodes, zones);
            }};
}

WatchOptions watch_options(const Settings &settings) {
    WatchOptions options;
    options.source = settings.poll_endpoint_list ? SourceKind::SharedService : SourceKind::LocalAgent;
    options.max_list_age = settings.list_poll_interval;
    options.seed = settings.seed;
    return options;
}

DiscoveryClient::DiscoveryClient(asio::io_context &io, core::Deadlines &deadlines,
                                 const WatchOptions &options, SourceAddress address, std::int64_t revision,
                                 WatchedResource resource, UpdateHandler on_update)
    : io_(io), deadlines_(deadlines), options_(options), resource_(std::move(resource)),
      on_update_(std::move(on_update)), revision_(revision), list_source_(address.host),
      current_(start_watch(std::move(address), false)) {}

void DiscoveryClient::move_to(SourceAddress address) {
    if (next_)
        stop(*next_);
    next_ = start_watch(std::move(address), true);
}

void DiscoveryClient::use_distributors(distribution::DistributorSelector selector) {
    selector_ = std::move(selector);
    list_source_ = kDistributorsSource;
}

std::string DiscoveryClient::source_of(const Watch &watch) const {
    return selector_ ? kDistributorsSource : watch.address.host;
}

std::shared_ptr<DiscoveryClient::Watch> DiscoveryClient::start_watch(SourceAddress address,
                                                                     bool revisions_incomparable) {
    auto watch = std::make_shared<Watch>(io_, std::move(address), next_backoff());
    watch->revisions_incomparable = revisions_incomparable;
    if (revisions_incomparable || revision_ < 0)
        watch->request_complete_list_at = 0;
    asio::co_spawn(io_, run(watch), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error); // the process must not continue without watching the list
    });
    return watch;
}

core::Backoff DiscoveryClient::next_backoff() {
    const std::uint64_t seed = options_.seed + watches_started_;
    ++watches_started_;
    if (options_.source == SourceKind::SharedService)
        return {kInitialBackoff, max_backoff(options_), seed};
    return {kLocalAgentInitialBackoff, kLocalAgentMaxBackoff, seed};
}

void DiscoveryClient::close(Watch &watch) {
    boost::system::error_code ignored;
    watch.socket.close(ignored);
}

void DiscoveryClient::stop(Watch &watch) {
    watch.state = WatchState::Stopped;
    close(watch);
    watch.wake_up.put(true);
}

void DiscoveryClient::select_distributor(Watch &watch) {
    selector_->reconsider(deadlines_.clock.now());
    const std::string &host = selector_->current().address;
    if (host == watch.address.host)
        return;
    close(watch);
    watch.address.host = host;
    // The address was parsed when the configuration was loaded, so the fallback is not needed.
    watch.address.endpoint = net::endpoint<tcp::endpoint>(host).value_or(watch.address.endpoint);
    watch.state = WatchState::Unverified;
}

// The next poll is sent immediately after each response, on the same connection: after a gap of over 200 ms,
// discovery treats the poll as a new watch.
asio::awaitable<void> DiscoveryClient::run(std::shared_ptr<Watch> watch) {
    while (!watch->stopped()) {
        if (selector_)
            select_distributor(*watch);
        const Micros now = deadlines_.clock.now();
        if (watch->answered || watch->calling_since == 0)
            watch->calling_since = now;
        const Poll poll{revision_, now >= watch->request_complete_list_at};
        const CallResult result = co_await call_for(*watch, poll);
        if (watch->stopped())
            break;
        const bool answered = result.status == CallStatus::Answered;
        if (answered && is_overtaken(result.response, poll))
            record_answer(*watch, result.response.revision);
        else if (answered && accepts(*watch, result.response, poll))
            apply(watch, result.response, poll);
        else
            co_await recover(*watch, result.status, poll.complete);
    }
}

asio::awaitable<DiscoveryClient::CallResult> DiscoveryClient::call_for(Watch &watch, Poll poll) {
    const bool answered_at_once = poll.complete || watch.state == WatchState::Unverified;
    const Micros timeout = answered_at_once ? 0 : kMaxPollTime - watch.backoff.jitter(kPollTimeJitter);
    const std::string target =
        request_target(poll.complete ? std::nullopt : std::optional(poll.known_revision), timeout);
    const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                                            target, watch.address.host);
    ++metrics_.calls;
    if (const auto error = co_await ensure_connected(watch)) {
        log_failed_call(watch, error.message());
        co_return CallResult{};
    }
    const Micros deadline = deadlines_.clock.now() + timeout + kResponseTimeout;
    const SentCall sent{poll, deadline, {}};
    const bool is_sent = co_await send(watch, request, sent);
    if (is_sent)
        co_return co_await receive(watch);
    ++metrics_.failed;
    log_failed_call(watch, "request not sent");
    co_return CallResult{};
}

// While the call was under way, another process of this broker was told of a newer list.
bool DiscoveryClient::is_overtaken(const ListResponse &response, Poll poll) const {
    return revision_ != poll.known_revision && response.revision < revision_;
}

// A stale response was overtaken by a newer one, or discovery has restarted its revisions. In the latter
// case, its complete list, requested on a new connection, has the lower revision as well.
bool DiscoveryClient::accepts(Watch &watch, const ListResponse &response, Poll poll) {
    if (poll.complete && response.update.kind != ListUpdate::Kind::Full) {
        ++metrics_.incomplete;
        core::log("discovery_response_rejected reason=incomplete_list revision={}", response.revision);
        return false;
    }
    if (response.revision >= revision_ || (poll.complete && watch.revisions_incomparable))
        return true;
    ++metrics_.stale;
    if (selector_)
        return false; // this distributor is behind; another one will be called
    const bool confirmed =
        poll.complete && watch.stale_revision && response.revision >= *watch.stale_revision;
    core::log("discovery_revision_decreased revision={} known_revision={}", response.revision, revision_);
    watch.stale_revision = response.revision;
    watch.request_complete_list_at = 0;
    return confirmed;
}

void DiscoveryClient::apply(const std::shared_ptr<Watch> &watch, const ListResponse &response, Poll poll) {
    const std::string source = source_of(*watch);
    const bool is_news = response.revision != revision_ || source != list_source_;
    revision_ = response.revision;
    list_source_ = source;
    if (poll.complete) {
        watch->revisions_incomparable = false;
        watch->request_complete_list_at = kNever;
    }
    watch->stale_revision.reset();
    record_answer(*watch, response.revision);
    if (watch == next_)
        replace_current_watch();
    on_update_(response);
    if (is_news && relay_)
        relay_({source, poll.known_revision, response});
}

void DiscoveryClient::replace_current_watch() {
    stop(*current_);
    current_ = std::exchange(next_, nullptr);
}

/// Notes a usable response. Logs the first one of a watch, also after failed calls.
void DiscoveryClient::record_answer(Watch &watch, std::int64_t revision) {
    watch.backoff.reset();
    watch.state = WatchState::Watching;
    if (selector_)
        selector_->record_success();
    if (!watch.answered)
        core::log("discovery_answered address={} revision={} after_ms={}", watch.address.host, revision,
                  (deadlines_.clock.now() - watch.calling_since) / kMicrosPerMilli);
    watch.answered = true;
}

void DiscoveryClient::log_failed_call(const Watch &watch, const std::string &reason) const {
    if (!watch.stopped())
        core::log("discovery_call_failed reason=\"{}\" address={} known_revision={} unanswered_ms={}", reason,
                  watch.address.host, revision_,
                  (deadlines_.clock.now() - watch.calling_since) / kMicrosPerMilli);
}

asio::awaitable<void> DiscoveryClient::recover(Watch &watch, CallStatus status, bool complete) {
    if (complete && watch.revisions_incomparable && status == CallStatus::Overloaded)
        watch.request_complete_list_at =
            deadlines_.clock.now() + kCompleteListRetry / 2 + watch.backoff.jitter(kCompleteListRetry);
    close(watch);
    watch.answered = false;
    if (selector_)
        selector_->record_failure(deadlines_.clock.now());
    co_await pause(watch, status);
}

asio::awaitable<void> DiscoveryClient::pause(Watch &watch, CallStatus status) {
    Micros length = watch.backoff.next();
    const bool shared = options_.source == SourceKind::SharedService;
    if (status == CallStatus::Overloaded && shared && !selector_)
        length = std::max(length, kMinOverloadBackoff + watch.backoff.jitter(kOverloadBackoffJitter));
    core::log("discovery_call_scheduled address={} in_ms={}", watch.address.host, length / kMicrosPerMilli);
    bool elapsed = false;
    const auto timer = deadlines_.in(length, [&] {
        elapsed = true;
        watch.wake_up.put(true);
    });
    while (!elapsed && !watch.stopped())
        co_await watch.wake_up.take();
}

std::string DiscoveryClient::request_target(std::optional<std::int64_t> since, Micros timeout) const {
    std::string query;
    if (since)
        query = fmt::format("since={}&timeout_ms={}", *since, timeout / kMicrosPerMilli);
    if (resource_.report)
        query += (query.empty() ? "" : "&") + resource_.report();
    return query.empty() ? resource_.path : resource_.path + "?" + query;
}

/// Writes a request. Does not yield after its last byte, so that no written call goes unrecorded.
asio::awaitable<bool> DiscoveryClient::send(Watch &watch, const std::string &request, const SentCall &call) {
    boost::system::error_code error;
    const auto timer = deadlines_.at(call.deadline, [&watch] { close(watch); });
    metrics_.sent_bytes += co_await net::write_without_yield(watch.socket, request, error);
    if (error) {
        close(watch);
        co_return false;
    }
    watch.sent_call = call;
    co_return true;
}

/// Waits for the response to the watch's call.
asio::awaitable<DiscoveryClient::CallResult> DiscoveryClient::receive(Watch &watch) {
    SentCall &call = *watch.sent_call;
    const auto response =
        co_await net::http::receive_response(watch.socket, call.received, call.deadline, deadlines_);
    watch.sent_call.reset();
    if (response) {
        metrics_.received_bytes += response->wire_bytes;
        if (response->status == kStatusOk)
            co_return decode(watch, *response);
    }
    ++metrics_.failed;
    log_failed_call(watch, response ? fmt::format("status {}", response->status) : "no response");
    const bool overloaded = response && response->status == kStatusServiceUnavailable;
    co_return CallResult{overloaded ? CallStatus::Overloaded : CallStatus::Failed, {}};
}

asio::awaitable<boost::system::error_code> DiscoveryClient::ensure_connected(Watch &watch) {
    if (watch.socket.is_open() && !net::is_open_and_silent(watch.socket))
        close(watch); // the peer closed it, or sent data after its response
    if (watch.socket.is_open())
        co_return boost::system::error_code();
    const Micros deadline = deadlines_.clock.now() + kResponseTimeout;
    co_return co_await net::dial(watch.socket, watch.address.endpoint, deadline, deadlines_);
}

DiscoveryClient::CallResult DiscoveryClient::decode(const Watch &watch, const net::http::Response &response) {
    try {
        return {CallStatus::Answered, resource_.decode(config::parse(response.body))};
    } catch (const std::exception &error) { // no content of a list may end the watch
        ++metrics_.malformed;
        log_failed_call(watch, fmt::format("malformed response: {}", error.what()));
        return {};
    }
}

} // namespace marblewood::discovery
