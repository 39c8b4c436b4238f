/// \file
/// Gossip between the brokers of a tier: UDP datagrams, which may be lost, late or repeated. A datagram is
/// the message's bytes, without a header; the sender is known by its address.
///
/// Threads: all of it runs on the thread of the socket's executor.
#pragma once

#include "marblewood/events.hpp"
#include "net/sockets.hpp"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marblewood::gossip {

namespace asio = boost::asio;
using asio::ip::udp;

/// Longest message in bytes; the protocol forbids longer datagrams.
constexpr std::size_t kMaxMessageBytes = 256;

class GossipTransport {
public:
    using MessageHandler = std::function<void(PeerMessage)>;

    /// Receives from now on. `socket` is bound to this broker's own address, which is one of `peers`.
    /// `broadcast`, where there is one, reaches all peers.
    GossipTransport(udp::socket socket, std::vector<udp::endpoint> peers,
                    std::optional<udp::endpoint> broadcast, MessageHandler on_message);

    /// Sends to the peer with this index, or to all others. A message that is too long is logged and dropped.
    void send(std::optional<int> peer, const std::string &data);

    void start_receiving();
    /// While another process that holds the same socket receives.
    void stop_receiving();

    std::uint64_t datagrams_sent() const { return datagrams_sent_; }
    std::uint64_t bytes_sent() const { return bytes_sent_; } ///< in the datagrams
    int descriptor() { return socket_.native_handle(); }

private:
    asio::awaitable<void> receive();
    void deliver(const udp::endpoint &sender, const std::string &data);
    void send_to_all(const std::string &data);
    void send_datagram(const udp::endpoint &to, const std::string &data);

    udp::socket socket_;
    const std::vector<udp::endpoint> peers_;
    const std::optional<udp::endpoint> broadcast_;
    const MessageHandler on_message_;
    std::uint64_t datagrams_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace marblewood::gossip
