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

// The value behind a name in "c=read,units=2".
std::string_view among(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=')
            return item.substr(name.size() + 1);
    }
    return {};
}

} // namespace

EmulatedNode::EmulatedNode(asio::io_context &io, core::Deadlines &deadlines, std::string name,
                           const NodeModel &model, Micros slow_start_window, std::uint64_t seed,
                           DispatcherCallbacks around)
    : io_(io), deadlines_(deadlines), name_(std::move(name)), model_(model),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), random_(seed),
      around_(std::move(around)), cold_(model, slow_start_window),
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
    up_since_ = cold_from_ = down_until_;
    cold_.started(down_until_);
}

asio::awaitable<void> EmulatedNode::until(Micros when) {
    asio::steady_timer timer(io_,
                             std::chrono::microseconds(std::max<Micros>(when - deadlines_.clock.now(), 0)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> EmulatedNode::accept() {
    for (;;) {
        tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
        if (deadlines_.clock.now() < down_until_)
            continue; // closed at once
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
    const std::string &list = words[3].text;
    const Micros now = deadlines_.clock.now();
    double units = 1;
    const std::string_view size = among(list, "units"), volume = among(list, "volume"),
                           key = among(list, "k");
    std::from_chars(size.data(), size.data() + size.size(), units);
    std::uint64_t number = 0;
    std::from_chars(volume.data(), volume.data() + volume.size(), number, 16);
    cold_.sent(now, units);
    if (cold_.speed(now) < 1)
        cold_units_ += units;
    if (draining_ && drain_told_ > 0 && now > drain_told_)
        ++after_drain_;
    around_.taken(words[2].text, number, units);
    const std::string done = write ? "OK" : "v:" + words[1].text;
    const std::string good = fmt::format("*3\r\n${}\r\n{}\r\n$-1\r\n$-1\r\n", done.size(), done);
    if (draining_ || held_ >= model_.cores + model_.queue)
        co_return "-BUSY\r\n";
    if (!key.empty()) {
        const std::string both = words[1].text + ' ' + std::string(key);
        const auto [at, fresh] = around_.keys.try_emplace(both, now);
        if (!fresh && now - at->second < around_.window)
            co_return good; // a repeat
        at->second = now;
        around_.ran(both);
    }
    boost::random::lognormal_distribution<double> noise(-model_.sigma * model_.sigma / 2, model_.sigma);
    const double work = units * model_.unit_ms * 1000 * noise(random_) * slow_ / cold_.speed(now);
    const auto core = std::min_element(cores_.begin(), cores_.end());
    const Micros begun = std::max(*core, now);
    *core = begun + static_cast<Micros>(work);
    boost::random::bernoulli_distribution<double> later(model_.put_off);
    Micros end = *core;
    if (write && later(random_))
        end = begun + static_cast<Micros>(work / 10); // answered before its work is done
    ++held_;
    co_await until(std::max(end, paused_until_));
    --held_;
    co_return good;
}

} // namespace marblewood::lab
