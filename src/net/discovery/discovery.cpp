#include "net/discovery/discovery.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>

namespace marblewood::net::discovery {
namespace {

// us. A watch waits for news between kWatch - kSpread and kWatch, so that brokers don't renew in step. The
// sum of kWatch, kAnswer, the first pauses, a dial and an answer stays under 6 s.
constexpr Micros kWatch = 2'500'000, kSpread = 500'000;
constexpr Micros kAnswer = 1'300'000; // for a connection to come up, and for an answer that need not wait
// us until a watch that failed is opened anew, at first and at most. An agent on this machine that is back
// counts as heard at once; discovery serves all brokers, and its return must not be met by all together.
constexpr Micros kPause = 50'000, kLongestPause = 2'000'000;
constexpr Micros kAgentPause = 10'000, kLongestAgentPause = 100'000;

Micros longest_pause(const Settings &settings) { // the list may be no older than the settings say
    return settings.ask_within > 0 ? std::clamp(settings.ask_within, kPause, kLongestPause) : kLongestPause;
}

} // namespace

Reading read(const Json::Value &answer, config::Names &nodes, config::Names &zones) {
    Reading reading;
    reading.revision = config::need_integer(answer, "revision");
    reading.update.kind =
        config::flag_or(answer, "complete", false) ? ListUpdate::Kind::Full : ListUpdate::Kind::Changes;
    const Json::Value &members = config::need(answer, "members");
    if (!members.isArray()) throw config::Error("field 'members' is not a list");
    for (const Json::Value &row : members) {
        const NodeEntry entry = config::read_entry(row, config::kDiscoveryEntry, nodes, zones);
        reading.addresses.emplace_back(entry.node, config::text_or(row, "host_port", ""));
        reading.update.entries.push_back(entry);
    }
    return reading;
}

Discovery::Discovery(asio::io_context &io, core::Deadlines &deadlines, const Settings &settings,
                     tcp::endpoint at, std::string host, std::int64_t revision, config::Names &nodes,
                     config::Names &zones, Told told)
    : deadlines_(deadlines), at_(at), host_(std::move(host)), nodes_(nodes), zones_(zones),
      told_(std::move(told)), socket_(io), woken_(io.get_executor()), revision_(revision),
      backoff_(settings.ask_for_list ? core::Backoff(kPause, longest_pause(settings), settings.seed)
                                     : core::Backoff(kAgentPause, kLongestAgentPause, settings.seed)) {
    asio::co_spawn(io, watch(), [](const std::exception_ptr &error) {
        if (error) std::rethrow_exception(error); // a broker that no longer watches must not go on unseen
    });
}

void Discovery::move(tcp::endpoint at, std::string host) {
    at_ = at;
    host_ = std::move(host);
    whole_ = true;
    revision_ = INT64_MIN;
    lower_.reset();
    backoff_.reset();
    ++moves_;
    boost::system::error_code ignored;
    socket_.close(ignored);
    woken_.put(true);
}

// Renewed at once after each answer, on the same connection: a gap of over 200 ms would begin a new watch.
asio::awaitable<void> Discovery::watch() {
    for (;;) {
        const int moves = moves_;
        const Micros wait = whole_ ? 0 : kWatch - backoff_.part(kSpread);
        std::string path = "/v1/servers";
        if (!whole_) path += fmt::format("?since={}&timeout_ms={}", revision_, wait / 1000);
        auto reading = co_await call(std::move(path), wait);
        if (moves != moves_) {
            boost::system::error_code ignored;
            socket_.close(ignored);
            continue;
        }
        if (reading && takes(*reading)) {
            revision_ = reading->revision;
            whole_ = false;
            lower_.reset();
            backoff_.reset();
            told_(*reading);
            continue;
        }
        boost::system::error_code ignored;
        socket_.close(ignored);
        co_await pause();
    }
}

// An older answer was overtaken on its way, or discovery counts anew: then its whole list, asked for on a new
// connection, says so again.
bool Discovery::takes(const Reading &reading) {
    if (whole_ && reading.update.kind != ListUpdate::Kind::Full) {
        core::log("discovery: changes where the whole list was asked for");
        return false;
    }
    if (reading.revision >= revision_) return true;
    const bool again = whole_ && lower_ && reading.revision >= *lower_;
    core::log("discovery: revision {} after {}", reading.revision, revision_);
    lower_ = reading.revision;
    whole_ = true;
    return again;
}

asio::awaitable<void> Discovery::pause() {
    const int moves = moves_;
    bool over = false;
    const auto entry = deadlines_.in(backoff_.next(), [&] {
        over = true;
        woken_.put(true);
    });
    while (!over && moves == moves_) co_await woken_.take();
}

asio::awaitable<std::optional<Reading>> Discovery::call(std::string path, Micros wait) {
    const int moves = moves_;
    const auto failed = [&](std::string_view why) {
        if (moves == moves_) core::log("discovery: {}", why);
    };
    ++calls_; // one a call, whether it comes through or not
    const std::string request =
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path, host_);
    boost::system::error_code error;
    if (socket_.is_open() && !quiet(socket_)) socket_.close(error); // ended, or more than an answer has come
    if (!socket_.is_open()) {
        error = co_await dial(socket_, at_, deadlines_.clock.now() + kAnswer, deadlines_);
        if (error) {
            failed(error.message());
            co_return std::nullopt;
        }
    }
    const auto response =
        co_await http::exchange(socket_, request, deadlines_.clock.now() + wait + kAnswer, deadlines_);
    if (!response || response->status != 200) {
        failed(response ? fmt::format("status {}", response->status) : "no answer");
        co_return std::nullopt;
    }
    try {
        co_return read(config::parse(response->body), nodes_, zones_);
    } catch (const std::exception &wrong) { // whatever a list may hold, the watch goes on
        failed(wrong.what());
        co_return std::nullopt;
    }
}

} // namespace marblewood::net::discovery
