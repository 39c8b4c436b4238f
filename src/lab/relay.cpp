#include "lab/relay.hpp"

#include "lab/lists.hpp"
#include "net/sockets.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::lab {

namespace asio = boost::asio;
namespace {
constexpr Micros kSilenceCheckInterval = 5'000;

template <typename Protocol> typename Protocol::endpoint loopback_endpoint(int port) {
    return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}
} // namespace

DatagramRelay::DatagramRelay(asio::io_context &io, core::Deadlines &deadlines, NetworkFaults &network_faults,
                             std::vector<int> listen_ports, std::vector<int> groups)
    : io_(io), deadlines_(deadlines), network_faults_(network_faults), listen_ports_(std::move(listen_ports)),
      groups_(std::move(groups)) {
    for (int from = 0; from < static_cast<int>(listen_ports_.size()); ++from)
        for (int to = 0; to < static_cast<int>(listen_ports_.size()); ++to)
            if (groups_[static_cast<std::size_t>(from)] == groups_[static_cast<std::size_t>(to)])
                sockets_.emplace(std::pair(from, to), udp::socket(io, loopback_endpoint<udp>(0)));
}
int DatagramRelay::port(int broker, int peer) const {
    return broker == peer ? listen_ports_[static_cast<std::size_t>(broker)]
                          : sockets_.at({broker, peer}).local_endpoint().port();
}
int DatagramRelay::port_to_all(int broker) const {
    return sockets_.at({broker, broker}).local_endpoint().port();
}
void DatagramRelay::start() {
    for (auto &[pair, socket] : sockets_)
        asio::co_spawn(io_, relay(socket, pair.first, pair.first == pair.second ? -1 : pair.second),
                       asio::detached);
}

asio::awaitable<void> DatagramRelay::relay(udp::socket &socket, int from, int to) {
    std::array<char, 2048> data;
    for (;;) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await socket.async_receive_from(
            asio::buffer(data), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error || sender.port() != listen_ports_[static_cast<std::size_t>(from)])
            continue; // The datagram is not from the broker that this socket belongs to.
        for (const auto &[pair, other] : sockets_) {
            if (pair.first != from || pair.second == from || (to >= 0 && pair.second != to))
                continue;
            ++sent_, bytes_ += size;
            const auto copies = network_faults_.arrivals(from, pair.second, deadlines_.clock.now() - start_);
            if (copies.empty())
                ++lost_;
            for (const Micros delay : copies)
                asio::co_spawn(io_, deliver(from, pair.second, std::string(data.data(), size), delay),
                               asio::detached);
        }
    }
}
asio::awaitable<void> DatagramRelay::deliver(int from, int to, std::string data, Micros delay) {
    if (delay > 0)
        co_await sleep_for(io_, delay);
    boost::system::error_code ignored;
    sockets_.at({to, from})
        .send_to(asio::buffer(data), loopback_endpoint<udp>(listen_ports_[static_cast<std::size_t>(to)]), 0,
                 ignored);
}

StreamRelay::StreamRelay(asio::io_context &io, core::Deadlines &deadlines, int target,
                         std::function<bool()> silent)
    : io_(io), deadlines_(deadlines), target_(target), silent_(std::move(silent)),
      acceptor_(io, loopback_endpoint<tcp>(0)) {
    port_ = acceptor_.local_endpoint().port();
}
void StreamRelay::start() {
    asio::co_spawn(io_, accept(), asio::detached);
}
void StreamRelay::Pair::close() {
    boost::system::error_code ignored;
    for (tcp::socket *socket : {&broker, &node}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored); // Makes close() send a reset.
        socket->close(ignored);
    }
}
void StreamRelay::break_all() {
    for (const auto &weak : pairs_)
        if (const auto pair = weak.lock())
            pair->close();
    pairs_.clear();
}

asio::awaitable<void> StreamRelay::accept() {
    for (;;) {
        auto pair = std::make_shared<Pair>(io_);
        pair->broker = co_await acceptor_.async_accept(asio::use_awaitable);
        std::erase_if(pairs_, [](const auto &weak) { return weak.expired(); });
        pairs_.push_back(pair);
        asio::co_spawn(io_, serve(std::move(pair)), asio::detached);
    }
}
asio::awaitable<void> StreamRelay::serve(std::shared_ptr<Pair> pair) {
    while (silent_())
        co_await sleep_for(io_, kSilenceCheckInterval);
    const auto error = co_await net::dial(pair->node, loopback_endpoint<tcp>(target_),
                                          deadlines_.clock.now() + 1'000'000, deadlines_);
    if (error)
        co_return pair->close();
    boost::system::error_code ignored;
    pair->broker.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(io_, pump(pair, pair->broker, pair->node), asio::detached);
    asio::co_spawn(io_, pump(pair, pair->node, pair->broker), asio::detached);
}
asio::awaitable<void> StreamRelay::pump(std::shared_ptr<Pair> pair, tcp::socket &from, tcp::socket &to) {
    std::string data;
    for (;;) {
        boost::system::error_code error = co_await net::read_more(from, data);
        while (silent_() && from.is_open())
            co_await sleep_for(io_, kSilenceCheckInterval);
        if (!error)
            co_await asio::async_write(to, asio::buffer(data),
                                       asio::redirect_error(asio::use_awaitable, error));
        data.clear();
        if (error == asio::error::eof) { // Passes the half-close on; the other direction stays open.
            to.shutdown(tcp::socket::shutdown_send, error);
            co_return;
        }
        if (error)
            co_return pair->close();
    }
}

} // namespace marblewood::lab
