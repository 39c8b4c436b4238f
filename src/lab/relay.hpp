/// \file
/// Relays that inject network faults into an experiment: datagrams between brokers and TCP streams from
/// brokers to nodes pass through them. Each pair of processes has its own relay address, so that a receiver
/// can still identify the sender by its address.
#pragma once

#include "core/deadlines.hpp"
#include "lab/network_faults.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace marblewood::lab {

/// Forwards datagrams between brokers and drops, duplicates or delays them as NetworkFaults decides.
class DatagramRelay {
public:
    using udp = boost::asio::ip::udp;
    /// `listen_ports` holds each broker's own port; datagrams are relayed only between brokers of one group.
    DatagramRelay(boost::asio::io_context &io, core::Deadlines &deadlines, NetworkFaults &network_faults,
                  std::vector<int> listen_ports, std::vector<int> groups);
    /// Relay port to which `broker` sends its datagrams for `peer` and from which it receives those of
    /// `peer`; the broker's own port if both are the same.
    int port(int broker, int peer) const;
    /// Relay port at which a datagram of `broker` is forwarded to all other brokers of its group.
    int port_to_all(int broker) const;
    void start();
    /// Sets the start of the load, from which the times of faults are counted.
    void set_load_start(Micros now) { start_ = now; }

    /// Number of datagrams; one that is sent to all peers counts once per receiver.
    std::uint64_t sent() const { return sent_; }
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t lost() const { return lost_; }

private:
    boost::asio::awaitable<void> relay(udp::socket &socket, int from, int to); // `to` is -1 for all peers
    boost::asio::awaitable<void> deliver(int from, int to, std::string data, Micros delay);

    boost::asio::io_context &io_;
    core::Deadlines &deadlines_;
    NetworkFaults &network_faults_;
    std::vector<int> listen_ports_, groups_;
    std::map<std::pair<int, int>, udp::socket> sockets_; // by broker and peer; (broker, broker) sends to all
    Micros start_ = 0;
    std::uint64_t sent_ = 0, bytes_ = 0, lost_ = 0;
};

/// Forwards the TCP connections from one broker to one node. While `silent` returns true, open connections
/// stay open but carry no data, and new connections are accepted without being forwarded.
class StreamRelay {
public:
    using tcp = boost::asio::ip::tcp;
    StreamRelay(boost::asio::io_context &io, core::Deadlines &deadlines, int target,
                std::function<bool()> silent);
    int port() const { return port_; }
    void start();
    /// Resets all open connections.
    void break_all();

private:
    struct Pair {
        explicit Pair(boost::asio::io_context &io) : broker(io), node(io) {}
        tcp::socket broker, node;
        void close();
    };
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Pair> pair);
    boost::asio::awaitable<void> pump(std::shared_ptr<Pair> pair, tcp::socket &from, tcp::socket &to);

    boost::asio::io_context &io_;
    core::Deadlines &deadlines_;
    int target_, port_;
    std::function<bool()> silent_;
    tcp::acceptor acceptor_;
    std::list<std::weak_ptr<Pair>> pairs_;
};

} // namespace marblewood::lab
