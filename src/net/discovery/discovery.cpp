#include "net/discovery/discovery.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

#include <boost/asio/co_spawn.hpp>

namespace marblewood::net::discovery {
namespace {

// us. A watch waits for news between kWatch - kSpread and kWatch, so that brokers don't renew in step. The
// sum of kWatch, kAnswer, the first pauses, a dial and an answer stays under 6 s.
constexpr Micros kWatch = 3'200'000, kSpread = 1'000'000;
constexpr Micros kAnswer = 1'100'000; // for a connection to come up, and for an answer that need not wait
// us until a watch that failed is opened anew, at first and at most. An agent on this machine that is back
// counts as heard at once; discovery serves all brokers, and its return must not be met by all together.
constexpr Micros kPause = 200'000, kLongestPause = 2'000'000;
// us of pause, at least and drawn beyond that, where it answers that it has too many callers: who asks again
// soon keeps it so.
constexpr Micros kCrowded = 1'000'000, kCrowdedSpread = 1'600'000;
constexpr Micros kAgentPause = 10'000, kLongestAgentPause = 100'000;
// us until the whole list of a discovery that moved is asked for again where it had too many callers: a list
// of all nodes is many times the work of a call for changes, and all brokers are moved at once.
constexpr Micros kWholeAgain = 10'000'000;

Micros longest_pause(const Settings &settings) { // the list may be no older than the settings say
    return settings.list_poll_interval > 0 ? std::clamp(settings.list_poll_interval, kPause, kLongestPause)
                                           : kLongestPause;
}

} // namespace

Reading read_envelope(const Json::Value &answer) {
    Reading reading;
    reading.revision = config::need_integer(answer, "revision");
    reading.update.kind =
        config::flag_or(answer, "complete", false) ? ListUpdate::Kind::Full : ListUpdate::Kind::Changes;
    if (!config::need(answer, "members").isArray())
        throw config::Error("field 'members' is not a list");
    return reading;
}

Reading read(Json::Value answer, config::Names &nodes, config::Names &zones) {
    Reading reading = read_envelope(answer);
    for (const Json::Value &row : answer["members"]) {
        const NodeEntry entry = config::read_entry(row, config::kDiscoveryEntry, nodes, zones);
        reading.addresses.emplace_back(entry.node, config::text_or(row, "host_port", ""));
        reading.update.entries.push_back(entry);
    }
    reading.members = std::move(answer["members"]);
    return reading;
}

Feed list_feed(config::Names &nodes, config::Names &zones) {
    return {"/v1/servers",
            [&nodes, &zones](Json::Value answer) { return read(std::move(answer), nodes, zones); }};
}

Discovery::Discovery(asio::io_context &io, core::Deadlines &deadlines, const Settings &settings,
                     const tcp::endpoint &at, std::string host, std::int64_t revision, Feed feed, Told told)
    : io_(io), deadlines_(deadlines), settings_(settings), feed_(std::move(feed)), told_(std::move(told)),
      revision_(revision), heard_(open(at, std::move(host), false)) {}

void Discovery::move(const tcp::endpoint &at, std::string host) {
    if (next_)
        end(*next_);
    next_ = open(at, std::move(host), true);
}

std::shared_ptr<Discovery::Watch> Discovery::open(const tcp::endpoint &at, std::string host, bool foreign) {
    const std::uint64_t seed = settings_.seed + opened_++;
    const core::Backoff wait = settings_.poll_endpoint_list
                                   ? core::Backoff(kPause, longest_pause(settings_), seed)
                                   : core::Backoff(kAgentPause, kLongestAgentPause, seed);
    auto watch = std::make_shared<Watch>(io_, at, std::move(host), wait);
    watch->foreign = foreign;
    if (foreign || revision_ < 0)
        watch->whole_from = 0;
    asio::co_spawn(io_, run(watch), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error); // a broker that no longer watches must not go on unseen
    });
    return watch;
}

void Discovery::end(Watch &watch) {
    watch.over = true;
    close(watch);
    watch.woken.put(true);
}

void Discovery::close(Watch &watch) {
    boost::system::error_code ignored;
    watch.socket.close(ignored);
}

void Discovery::select_distributor(Watch &watch) {
    selector_->reconsider(deadlines_.clock.now());
    const std::string &address = selector_->current().address;
    if (address == watch.host)
        return;
    close(watch);
    watch.host = address;
    watch.at = endpoint<tcp::endpoint>(address).value_or(watch.at); // was read at the start
    watch.unproven = true;
}

// Renewed at once after each answer, on the same connection: a gap of over 200 ms would begin a new watch.
asio::awaitable<void> Discovery::run(std::shared_ptr<Watch> watch) {
    while (!watch->over) {
        if (selector_)
            select_distributor(*watch);
        const bool whole = deadlines_.clock.now() >= watch->whole_from;
        const Micros wait = whole || watch->unproven ? 0 : kWatch - watch->backoff.jitter(kSpread);
        std::string path = target(whole ? std::nullopt : std::optional(revision_), wait);
        const auto reading = co_await call(*watch, std::move(path), wait);
        if (watch->over)
            break;
        if (reading && takes(*watch, *reading, whole)) {
            revision_ = reading->revision;
            if (whole)
                watch->foreign = false, watch->whole_from = INT64_MAX;
            watch->lower.reset();
            watch->backoff.reset();
            watch->unproven = false;
            if (selector_)
                selector_->answered();
            if (watch == next_) {
                end(*heard_);
                heard_ = std::exchange(next_, nullptr);
            }
            told_(*reading);
            continue;
        }
        if (whole && watch->foreign && watch->crowded)
            watch->whole_from = deadlines_.clock.now() + kWholeAgain / 2 + watch->backoff.jitter(kWholeAgain);
        close(*watch);
        if (selector_)
            selector_->failed(deadlines_.clock.now());
        co_await pause(*watch);
    }
}

// An older answer was overtaken on its way, or discovery counts anew: then its whole list, asked for on a new
// connection, says so again.
bool Discovery::takes(Watch &watch, const Reading &reading, bool whole) {
    if (whole && reading.update.kind != ListUpdate::Kind::Full) {
        ++traffic_.partial;
        core::log("discovery: changes where the whole list was asked for");
        return false;
    }
    if (reading.revision >= revision_ || (whole && watch.foreign))
        return true;
    ++traffic_.older;
    if (selector_)
        return false; // that distributor is behind: another one is asked
    const bool again = whole && watch.lower && reading.revision >= *watch.lower;
    core::log("discovery: revision {} after {}", reading.revision, revision_);
    watch.lower = reading.revision;
    watch.whole_from = 0;
    return again;
}

asio::awaitable<void> Discovery::pause(Watch &watch) {
    bool over = false;
    Micros length = watch.backoff.next();
    if (watch.crowded && settings_.poll_endpoint_list && !selector_)
        length = std::max(length, kCrowded + watch.backoff.jitter(kCrowdedSpread));
    const auto entry = deadlines_.in(length, [&] {
        over = true;
        watch.woken.put(true);
    });
    while (!over && !watch.over)
        co_await watch.woken.take();
}

std::string Discovery::target(std::optional<std::int64_t> since, Micros wait) const {
    std::string query;
    if (since)
        query = fmt::format("since={}&timeout_ms={}", *since, wait / 1000);
    if (feed_.report)
        query += (query.empty() ? "" : "&") + feed_.report();
    return query.empty() ? feed_.path : feed_.path + "?" + query;
}

asio::awaitable<std::optional<Reading>> Discovery::call(Watch &watch, std::string path, Micros wait) {
    const auto failed = [&](std::string_view why) {
        if (!watch.over)
            core::log("discovery: {}", why);
    };
    watch.crowded = false;
    ++traffic_.calls; // one a call, whether it comes through or not
    const std::string request =
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path, watch.host);
    boost::system::error_code error;
    tcp::socket &socket = watch.socket;
    if (socket.is_open() && !quiet(socket))
        socket.close(error); // ended, or more than an answer has come
    if (!socket.is_open()) {
        error = co_await dial(socket, watch.at, deadlines_.clock.now() + kAnswer, deadlines_);
        if (error) {
            failed(error.message());
            co_return std::nullopt;
        }
    }
    traffic_.sent_bytes += request.size();
    const auto response =
        co_await http::exchange(socket, request, deadlines_.clock.now() + wait + kAnswer, deadlines_);
    watch.crowded = response && response->status == 503;
    if (response)
        traffic_.received_bytes += response->wire_bytes;
    if (!response || response->status != 200) {
        ++traffic_.failed;
        failed(response ? fmt::format("status {}", response->status) : "no answer");
        co_return std::nullopt;
    }
    try {
        co_return feed_.read(config::parse(response->body));
    } catch (const std::exception &wrong) { // whatever a list may hold, the watch goes on
        ++traffic_.malformed;
        failed(wrong.what());
        co_return std::nullopt;
    }
}

} // namespace marblewood::net::discovery
