/// \file
/// Watches a list that discovery serves, with long polls over HTTP/1.1, as long as the process runs.
///
/// Guarantee. While discovery is reachable and answers in time, a change in its list reaches this process
/// within 6 s, regardless of earlier failures: a poll times out a fixed time after its response was due, and
/// the pauses between failed calls are bounded and jittered. With distributors (src/distribution/), one of
/// which has failed or does not answer, the bound is 7 s.
///
/// A response is applied completely or not at all. One that is malformed, truncated, endless, older than the
/// known list, or incomplete although the complete list was requested changes nothing, and is requested
/// again.
///
/// Not thread-safe: everything runs on the io_context's only thread.
#pragma once

#include "core/backoff.hpp"
#include "core/mailbox.hpp"
#include "discovery/handed_over_call.hpp"
#include "discovery/list_relay.hpp"
#include "distribution/distributor_selector.hpp"
#include "net/http.hpp"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

namespace marblewood::discovery {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Counts since the start. Bytes are those of HTTP messages, without the overhead of TCP.
struct DiscoveryMetrics {
    std::uint64_t calls = 0; ///< started calls, whether they succeeded or not
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t failed = 0;     ///< no response, or a status other than 200
    std::uint64_t malformed = 0;  ///< responses that could not be decoded
    std::uint64_t stale = 0;      ///< responses with a lower revision than the known list
    std::uint64_t incomplete = 0; ///< responses with changes although the complete list was requested
};

/// A list that a DiscoveryClient can watch.
struct WatchedResource {
    std::string path;
    std::function<ListResponse(Json::Value response)> decode; ///< throws config::Error
    /// Returns further query parameters ("name=value&...") for each call; may be empty.
    std::function<std::string()> report = nullptr;
};
/// The list of nodes. `nodes` and `zones` must outlive the resource.
WatchedResource node_list(config::Names &nodes, config::Names &zones);

/// The kind of server at the address.
enum class SourceKind {
    SharedService, ///< serves all brokers: calls cost it work, and the brokers must not all call at once
    LocalAgent     ///< an agent on this machine, which can be called often
};

struct WatchOptions {
    SourceKind source = SourceKind::LocalAgent;
    Micros max_list_age = 0; ///< limits the pause between failed calls; 0: the client's default
    std::uint64_t seed = 0;  ///< for jitter
};
WatchOptions watch_options(const Settings &settings);

struct SourceAddress {
    tcp::endpoint endpoint;
    std::string host; ///< for the Host header
};

class DiscoveryClient {
public:
    /// Called with each accepted response, in the order of acceptance.
    using UpdateHandler = std::function<void(const ListResponse &)>;
    /// Called with each response that has changed the known list.
    using RelayHandler = std::function<void(const RelayedList &)>;

    /// Starts to watch. `revision` is that of the list that is already known, or kNoRevision.
    DiscoveryClient(asio::io_context &io, core::Deadlines &deadlines, const WatchOptions &options,
                    SourceAddress address, std::int64_t revision, WatchedResource resource,
                    UpdateHandler on_update);

    /// Moves the watch to another address. Responses from the old address are still applied until the new one
    /// has answered. The new address may have an unrelated sequence of revisions, so its complete list is
    /// requested; if it is overloaded, only the changes are requested at first, and the complete list later.
    void move_to(SourceAddress address);

    /// Calls distributors from now on. They all serve the list of the same discovery service: when one fails,
    /// the changes since the known revision are requested from the next. A lower revision is never accepted
    /// from them.
    void use_distributors(distribution::DistributorSelector selector);

    /// Continues from a list that another process was told of, of the sequence of revisions `source` (empty:
    /// the one that this client watches). If it is another sequence, the complete list is requested. To be
    /// called before the event loop runs.
    void continue_from(std::int64_t revision, const std::string &source);
    /// Whose sequence of revisions the known list belongs to.
    const std::string &list_source() const { return list_source_; }
    /// Has `relay` called with what this client is told, for another process that serves the same broker.
    void set_relay(RelayHandler relay) { relay_ = std::move(relay); }
    /// Applies what another process of this broker has been told, as encoded by discovery::encode(). Nothing
    /// changes if it is malformed, not newer than the known list, or of a sequence of revisions that this
    /// client does not watch.
    void apply_relayed(const std::string &text);
    /// Stops all watches and returns their calls that are not answered yet, for another process of this
    /// broker.
    std::vector<HandedOverCall> release_calls();
    /// Waits for the response to a call of another process. Where this client's own watch has had no response
    /// by then, further calls follow on that connection until it has.
    void adopt_call(HandedOverCall call);

    const DiscoveryMetrics &metrics() const { return metrics_; }

private:
    static constexpr Micros kNever = INT64_MAX;

    /// What a call asks for.
    struct Poll {
        std::int64_t known_revision = kNoRevision; ///< when the call began
        bool complete = false;                     ///< requests the complete list, not changes
    };
    /// A call whose request has been written.
    struct SentCall {
        Poll poll;
        Micros deadline = 0;  ///< Unix time until which the response is awaited
        std::string received; ///< of the response
    };
    enum class WatchState {
        Watching,   ///< its calls are long polls
        Unverified, ///< has not answered yet: its first call requests an immediate response
        Stopped
    };
    /// The watch at one address.
    struct Watch {
        Watch(asio::io_context &io, SourceAddress source, core::Backoff pauses)
            : address(std::move(source)), socket(io), wake_up(io.get_executor()), backoff(pauses) {}
        bool stopped() const { return state == WatchState::Stopped; }

        SourceAddress address;
        tcp::socket socket;
        core::Mailbox<bool> wake_up; ///< ends a pause early
        core::Backoff backoff;
        WatchState state = WatchState::Watching;
        bool answered = false;               ///< its last call had a usable response
        Micros calling_since = 0;            ///< when its first call after the last usable response began
        bool revisions_incomparable = false; ///< the address may have an unrelated sequence of revisions
        Micros request_complete_list_at = kNever;   ///< from this time on, calls request the complete list
        std::optional<std::int64_t> stale_revision; ///< the revision of the last response, if it was stale
        std::optional<SentCall> sent_call;          ///< whose response is not complete yet
    };
    enum class CallStatus {
        Answered,
        Failed,    ///< no usable response
        Overloaded ///< status 503: too many callers
    };
    struct CallResult {
        CallStatus status = CallStatus::Failed;
        ListResponse response; ///< if Answered
    };

    std::shared_ptr<Watch> start_watch(SourceAddress address, bool revisions_incomparable);
    core::Backoff next_backoff();
    static void close(Watch &watch);
    static void stop(Watch &watch);
    void select_distributor(Watch &watch);

    asio::awaitable<void> run(std::shared_ptr<Watch> watch);
    asio::awaitable<void> run_adopted(std::shared_ptr<Watch> watch);
    bool continues_known_list(const Watch &watch, const ListResponse &response, Poll poll) const;
    static std::optional<HandedOverCall> release_call(Watch &watch);
    asio::awaitable<CallResult> call_for(Watch &watch, Poll poll);
    bool is_overtaken(const ListResponse &response, Poll poll) const;
    bool accepts(Watch &watch, const ListResponse &response, Poll poll);
    void apply(const std::shared_ptr<Watch> &watch, const ListResponse &response, Poll poll);
    void record_answer(Watch &watch, std::int64_t revision);
    void replace_current_watch();
    std::string source_of(const Watch &watch) const;
    std::shared_ptr<Watch> watch_of_source(const std::string &source) const;
    bool is_applicable(const RelayedList &list) const;
    void log_failed_call(const Watch &watch, const std::string &reason) const;
    asio::awaitable<void> recover(Watch &watch, CallStatus status, bool complete);
    asio::awaitable<void> pause(Watch &watch, CallStatus status);

    std::string request_target(std::optional<std::int64_t> since, Micros timeout) const;
    asio::awaitable<CallResult> receive(Watch &watch);
    asio::awaitable<bool> send(Watch &watch, const std::string &request, const SentCall &call);
    asio::awaitable<boost::system::error_code> ensure_connected(Watch &watch);
    CallResult decode(const Watch &watch, const net::http::Response &response);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    const WatchOptions options_;
    const WatchedResource resource_;
    const UpdateHandler on_update_;
    RelayHandler relay_;
    std::int64_t revision_;   ///< of the known list
    std::string list_source_; ///< whose sequence of revisions that is
    std::uint64_t watches_started_ = 0;
    DiscoveryMetrics metrics_;
    std::optional<distribution::DistributorSelector> selector_;
    std::shared_ptr<Watch> current_;            ///< the watch whose responses made up the known list
    std::shared_ptr<Watch> next_;               ///< after move_to(), until the new address has answered
    std::list<std::shared_ptr<Watch>> adopted_; ///< those of another process, with a call to be answered
};

} // namespace marblewood::discovery
