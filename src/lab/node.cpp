#include "lab/node.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <charconv>
#include <fmt/format.h>

namespace marblewood::lab {
namespace {

// Returns the value of a field in a list such as "c=read,units=2", or an empty view if it is absent.
std::string_view find_field(std::string_view fields, std::string_view name) {
    while (!fields.empty()) {
        const std::string_view item = fields.substr(0, fields.find(','));
        fields.remove_prefix(std::min(fields.size(), item.size() + 1));
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=')
            return item.substr(name.size() + 1);
    }
    return {};
}

} // namespace

EmulatedNode::EmulatedNode(asio::io_context &io, core::Deadlines &deadlines, std::string name,
                           const NodeModel &model, Micros slow_start_window, std::uint64_t seed,
                           NodeCallbacks callbacks)
    : io_(io), deadlines_(deadlines), name_(std::move(name)), model_(model),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), random_(seed),
      callbacks_(std::move(callbacks)), slow_start_(model, slow_start_window),
      cores_(static_cast<std::size_t>(model.cores)) {
    port_ = acceptor_.local_endpoint().port();
}

void EmulatedNode::start() {
    asio::co_spawn(io_, accept(), asio::detached);
}

void EmulatedNode::pause(Micros length) {
    paused_until_ = deadlines_.clock.now() + length;
    for (Micros &core : cores_)
        core = std::max(core, deadlines_.clock.now()) + length;
}

void EmulatedNode::restart(Micros down) {
    down_until_ = deadlines_.clock.now() + down;
    ++generation_;
    for (tcp::socket &client : clients_) {
        boost::system::error_code ignored;
        client.close(ignored);
    }
    std::fill(cores_.begin(), cores_.end(), down_until_);
    up_since_ = cold_since_ = down_until_;
    slow_start_.started(down_until_);
}

asio::awaitable<void> EmulatedNode::sleep_until(Micros when) {
    asio::steady_timer timer(io_,
                             std::chrono::microseconds(std::max<Micros>(when - deadlines_.clock.now(), 0)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> EmulatedNode::accept() {
    for (;;) {
        tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
        if (deadlines_.clock.now() < down_until_)
            continue; // The node is down: closes the new connection immediately.
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(io_, serve(clients_.emplace(clients_.end(), std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> EmulatedNode::serve(std::list<tcp::socket>::iterator client) {
    net::resp::Reader reader;
    std::string in;
    boost::system::error_code error;
    while (!error) {
        std::string_view bytes = in;
        std::optional<net::resp::Value> command;
        try {
            command = reader.take(bytes);
        } catch (const net::resp::Malformed &) {
            break;
        }
        in.erase(0, in.size() - bytes.size());
        if (!command) {
            error = co_await net::read_more(*client, in);
            continue;
        }
        const std::uint64_t generation = generation_;
        const std::string out = co_await answer(*command);
        if (generation != generation_)
            break;
        co_await asio::async_write(*client, asio::buffer(out),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    client->close(error);
    clients_.erase(client);
}

asio::awaitable<std::string> EmulatedNode::answer(const net::resp::Value &command) {
    const auto &words = command.elements;
    if (words.size() < 4)
        co_return "+OK\r\n";
    const bool write = words[0].text == "OBJ.PUT";
    const std::string &fields = words[3].text;
    const Micros now = deadlines_.clock.now();
    double units = 1;
    const std::string_view size = find_field(fields, "units"), volume = find_field(fields, "volume"),
                           key = find_field(fields, "k");
    std::from_chars(size.data(), size.data() + size.size(), units);
    std::uint64_t number = 0;
    std::from_chars(volume.data(), volume.data() + volume.size(), number, 16);
    slow_start_.units_received(now, units);
    if (slow_start_.speed_fraction(now) < 1)
        slow_start_units_ += units;
    if (draining_ && drain_effective_at_ > 0 && now > drain_effective_at_)
        ++requests_after_drain_;
    callbacks_.on_request(words[2].text, number, units);
    const std::string done = write ? "OK" : "v:" + words[1].text;
    const std::string success = fmt::format("*3\r\n${}\r\n{}\r\n$-1\r\n$-1\r\n", done.size(), done);
    if (draining_ || in_flight_ >= model_.cores + model_.queue)
        co_return "-BUSY\r\n";
    if (!key.empty()) {
        const std::string scoped_key = words[1].text + ' ' + std::string(key);
        const auto [at, fresh] = callbacks_.keys.try_emplace(scoped_key, now);
        if (!fresh && now - at->second < callbacks_.deduplication_window)
            co_return success; // Duplicate within the deduplication window: acknowledged but not executed
                               // again.
        at->second = now;
        callbacks_.on_keyed_write(scoped_key);
    }
    boost::random::lognormal_distribution<double> noise(-model_.sigma * model_.sigma / 2, model_.sigma);
    const double work =
        units * model_.unit_ms * 1000 * noise(random_) * slowdown_ / slow_start_.speed_fraction(now);
    const auto core = std::min_element(cores_.begin(), cores_.end());
    const Micros started_at = std::max(*core, now);
    *core = started_at + static_cast<Micros>(work);
    boost::random::bernoulli_distribution<double> answered_early(model_.early_answer_fraction);
    Micros end = *core;
    if (write && answered_early(random_))
        end = started_at + static_cast<Micros>(work / 10); // The response precedes most of the work.
    ++in_flight_;
    co_await sleep_until(std::max(end, paused_until_));
    --in_flight_;
    co_return success;
}

} // namespace marblewood::lab
