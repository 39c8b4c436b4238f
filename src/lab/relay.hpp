// What stands between processes in an experiment: datagrams between brokers and streams from brokers to nodes
// pass through here, and fare as its faults have it. Each pair has addresses of its own, so that a receiver
// still knows the sender.
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

class DatagramRelay {
public:
    using udp = boost::asio::ip::udp;
    // `listens`: each broker's own port. Only those of one group hear each other.
    DatagramRelay(boost::asio::io_context &io, core::Deadlines &deadlines, NetworkFaults &network_faults,
                  std::vector<int> listens, std::vector<int> groups);
    int port(int broker, int peer) const; // where the one sends for the other, and hears it from
    int port_to_all(int broker) const;
    void start();
    void begin(Micros now) { start_ = now; } // of the load: its faults count from here

    std::uint64_t sent() const { return sent_; } // datagrams; one to all counts for each
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t lost() const { return lost_; }

private:
    boost::asio::awaitable<void> relay(udp::socket &socket, int from, int to); // to: -1 for all
    boost::asio::awaitable<void> deliver(int from, int to, std::string data, Micros late);

    boost::asio::io_context &io_;
    core::Deadlines &deadlines_;
    NetworkFaults &network_faults_;
    std::vector<int> listens_, groups_;
    std::map<std::pair<int, int>, udp::socket> sockets_; // of a broker and its peer; the broker itself: all
    Micros start_ = 0;
    std::uint64_t sent_ = 0, bytes_ = 0, lost_ = 0;
};

// The way from one broker to one node. While it is silent connections stay open and nothing passes; new ones
// come up and say nothing.
class StreamRelay {
public:
    using tcp = boost::asio::ip::tcp;
    StreamRelay(boost::asio::io_context &io, core::Deadlines &deadlines, int target,
                std::function<bool()> silent);
    int port() const { return port_; }
    void start();
    void break_all(); // the connections that stand are reset

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
