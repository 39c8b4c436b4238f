#include "net/discovery/discovery.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::net::discovery {
namespace {

constexpr Micros kWatch = 20'000'000; // us for which a watch may wait for news
constexpr Micros kAnswer = 1'500'000; // us in which discovery answers beyond that; silent after
// us until a watch on a pushed list begins anew after a failure: at first, and at most. A watch that is
// renewed within 200 ms goes on, and an agent that is back counts as heard at once.
constexpr Micros kPause = 10'000, kLongestPause = 100'000;

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

Discovery::Discovery(asio::io_context &io, core::Deadlines &deadlines, Delivery delivery, tcp::endpoint at,
                     std::string host, std::int64_t revision, config::Names &nodes, config::Names &zones,
                     Told told)
    : io_(io), deadlines_(deadlines), delivery_(delivery), at_(at), host_(std::move(host)),
      revision_(revision), nodes_(nodes), zones_(zones), told_(std::move(told)) {
    if (delivery_ == Delivery::Pushed) begin();
}

void Discovery::watch(bool on) {
    if (delivery_ == Delivery::Pushed) return;
    wanted_ = on;
    if (on) begin();
}
void Discovery::begin() {
    wanted_ = true;
    again_.reset();
    if (!watching_) asio::co_spawn(io_, watching(), asio::detached);
}
void Discovery::fetch() { asio::co_spawn(io_, fetching(), asio::detached); }

void Discovery::move(tcp::endpoint at, std::string host) {
    at_ = at;
    host_ = std::move(host);
    whole_ = true;
    ++moves_;
    boost::system::error_code ignored;
    if (called_) called_->close(ignored);
    begin();
}

void Discovery::failed() {
    if (delivery_ == Delivery::Pushed) {
        pause_ = std::clamp(2 * pause_, kPause, kLongestPause);
        again_ = deadlines_.in(pause_, [this] { begin(); });
        return;
    }
    Reading none;
    none.update.kind = ListUpdate::Kind::Failed;
    told_(none);
}

// Renewed at once after each answer, on the same connection: a gap of over 200 ms would begin a new watch. A
// failure ends it, until failed() or the module has it begun again. What the discovery of before a move still
// says is not heard.
asio::awaitable<void> Discovery::watching() {
    watching_ = true;
    tcp::socket socket(io_);
    called_ = &socket;
    while (wanted_) {
        const int moves = moves_;
        std::string path = "/v1/servers";
        if (!whole_) path += fmt::format("?since={}&timeout_ms={}", revision_, kWatch / 1000);
        const Micros wait = whole_ ? kAnswer : kWatch + kAnswer;
        const auto reading = co_await call(socket, path, deadlines_.clock.now() + wait);
        boost::system::error_code ignored;
        if (moves != moves_) {
            socket.close(ignored);
            continue;
        }
        if (!reading) {
            watching_ = wanted_ = false;
            called_ = nullptr;
            failed();
            co_return;
        }
        revision_ = reading->revision;
        whole_ = false;
        pause_ = 0;
        told_(*reading);
    }
    watching_ = false;
    called_ = nullptr;
}

asio::awaitable<void> Discovery::fetching() {
    tcp::socket socket(io_);
    const int moves = moves_;
    const auto reading = co_await call(socket, "/v1/servers", deadlines_.clock.now() + 2 * kAnswer);
    if (moves != moves_) co_return; // the watch asks for the whole list where discovery is now
    if (reading) {
        revision_ = std::max(revision_, reading->revision);
        told_(*reading);
    } else {
        failed();
    }
}

asio::awaitable<std::optional<Reading>> Discovery::call(tcp::socket &socket, std::string path, Micros until) {
    const int moves = moves_;
    ++calls_; // one a call, whether it comes through or not
    const std::string request =
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path, host_);
    if (!socket.is_open()) {
        boost::system::error_code error =
            co_await dial(socket, at_, deadlines_.clock.now() + kAnswer, deadlines_);
        if (error) {
            core::log("discovery: {}", error.message());
            socket.close(error);
            co_return std::nullopt;
        }
    }
    const auto response = co_await http::exchange(socket, request, until, deadlines_);
    if (!response || response->status != 200) {
        if (moves == moves_)
            core::log("discovery: {}", response ? fmt::format("status {}", response->status) : "no answer");
        co_return std::nullopt;
    }
    try {
        co_return read(config::parse(response->body), nodes_, zones_);
    } catch (const config::Error &error) {
        core::log("discovery: {}", error.what());
        co_return std::nullopt;
    }
}

} // namespace marblewood::net::discovery
