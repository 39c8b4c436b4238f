/// \file
/// Watches a list that discovery serves, by long polls over HTTP/1.1, for as long as the process runs.
///
/// Bound. While discovery can be reached and answers in time, a change that it has reaches this process
/// within 6 s, whatever became of the calls before: a poll is given up a fixed time after it was due, and the
/// pauses between failed calls are bounded and jittered. With distributors (src/distribution/), of which one
/// is lost or silent: within 7 s.
///
/// A response is applied whole or not at all. One that is malformed, cut short, endless, older than what is
/// known, or incomplete where the complete list was requested changes nothing and is requested again.
///
/// Threads: all of it runs on the io_context's one thread.
#pragma once

#include "core/backoff.hpp"
#include "core/mailbox.hpp"
#include "discovery/list_response.hpp"
#include "distribution/distributor_selector.hpp"
#include "net/http.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace marblewood::discovery {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Counts since the start. Bytes are those of HTTP messages, without TCP's.
struct DiscoveryMetrics {
    std::uint64_t calls = 0; ///< begun, whether they came through or not
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t failed = 0;     ///< no response, or a status other than 200
    std::uint64_t malformed = 0;  ///< responses that could not be read
    std::uint64_t stale = 0;      ///< responses of a lower revision than what is known
    std::uint64_t incomplete = 0; ///< changes where the complete list was requested
};

/// The revision of a client that has no list at all, and begins by requesting the complete one.
constexpr std::int64_t kNoRevision = -1;

/// What is watched.
struct WatchedResource {
    std::string path;
    std::function<ListResponse(Json::Value response)> decode; ///< throws config::Error
    /// "name=value&...", sent with each call; may be empty.
    std::function<std::string()> report = nullptr;
};
/// The list of nodes. The names outlive the resource.
WatchedResource node_list(config::Names &nodes, config::Names &zones);

/// Who answers at the address.
enum class SourceKind {
    SharedService, ///< one service for all brokers: each call costs it, and they must not return all at once
    LocalAgent     ///< an agent on this machine, which answers at no cost
};

struct WatchOptions {
    SourceKind source = SourceKind::LocalAgent;
    Micros max_list_age = 0; ///< longest pause between failed calls; 0: the client's own bound
    std::uint64_t seed = 0;  ///< of jitter
};
WatchOptions watch_options(const Settings &settings);

struct SourceAddress {
    tcp::endpoint endpoint;
    std::string host; ///< for the Host header
};

class DiscoveryClient {
public:
    /// Called with each response that is applied, the newest last.
    using UpdateHandler = std::function<void(const ListResponse &)>;

    /// Starts to watch. `revision` is that of the list known already, or kNoRevision.
    DiscoveryClient(asio::io_context &io, core::Deadlines &deadlines, const WatchOptions &options,
                    SourceAddress address, std::int64_t revision, WatchedResource resource,
                    UpdateHandler on_update);

    /// Watches at another address, and there alone once that has answered; until then what the old address
    /// answers still counts. Its revisions may be counted otherwise, so its complete list is requested; where
    /// it is overloaded, the changes at first and the complete list a while later.
    void move_to(SourceAddress address);

    /// Calls distributors from now on, which all serve the list of one discovery: when one fails, the next is
    /// asked for what has changed since. A lower revision is never taken from them.
    void use_distributors(distribution::DistributorSelector selector) { selector_ = std::move(selector); }

    const DiscoveryMetrics &metrics() const { return metrics_; }

private:
    enum class WatchState {
        Watching,   ///< long polls
        Unverified, ///< has not answered yet: its first call is to be answered at once
        Stopped
    };
    /// The watch at one address.
    struct Watch {
        Watch(asio::io_context &io, SourceAddress source, core::Backoff pauses)
            : address(std::move(source)), socket(io), wake_up(io.get_executor()), backoff(pauses) {}
        bool stopped() const { return state == WatchState::Stopped; }

        SourceAddress address;
        tcp::socket socket;
        core::Mailbox<bool> wake_up; ///< ends a pause
        core::Backoff backoff;
        WatchState state = WatchState::Watching;
        bool other_revisions = false;               ///< revisions may be counted otherwise than those known
        Micros complete_list_from = INT64_MAX;      ///< calls request the complete list from then on
        std::optional<std::int64_t> stale_revision; ///< of the last response, if it was stale
    };
    enum class CallStatus {
        Answered,
        Failed,    ///< no usable response
        Overloaded ///< status 503: too many callers
    };
    struct CallResult {
        CallStatus status = CallStatus::Failed;
        ListResponse response; ///< where Answered
    };

    std::shared_ptr<Watch> start_watch(SourceAddress address, bool other_revisions);
    core::Backoff next_backoff();
    static void close(Watch &watch);
    static void stop(Watch &watch);
    void select_distributor(Watch &watch);

    asio::awaitable<void> run(std::shared_ptr<Watch> watch);
    asio::awaitable<CallResult> poll(Watch &watch, bool complete);
    bool accepts(Watch &watch, const ListResponse &response, bool complete);
    void apply(const std::shared_ptr<Watch> &watch, const ListResponse &response, bool complete);
    asio::awaitable<void> recover(Watch &watch, CallStatus status, bool complete);
    asio::awaitable<void> pause(Watch &watch, CallStatus status);

    std::string request_target(std::optional<std::int64_t> since, Micros timeout) const;
    asio::awaitable<CallResult> call(Watch &watch, const std::string &target, Micros timeout);
    asio::awaitable<boost::system::error_code> ensure_connected(Watch &watch);
    CallResult decode(const Watch &watch, const net::http::Response &response);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    const WatchOptions options_;
    const WatchedResource resource_;
    const UpdateHandler on_update_;
    std::int64_t revision_; ///< of what is known
    std::uint64_t watches_started_ = 0;
    DiscoveryMetrics metrics_;
    std::optional<distribution::DistributorSelector> selector_;
    std::shared_ptr<Watch> current_; ///< whose last response is what is known
    std::shared_ptr<Watch> next_;    ///< where discovery has moved, until it has answered there
};

} // namespace marblewood::discovery
