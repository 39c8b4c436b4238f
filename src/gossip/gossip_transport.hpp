/// \file
/// Gossip between the brokers of a tier over UDP. Datagrams may be lost, delayed or duplicated. A datagram
/// contains the bytes of one message without a header; the sender is identified by its address.
///
/// Threads: everything runs on the thread of the socket's executor.
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

/// The protocol forbids longer datagrams.
constexpr std::size_t kMaxMessageBytes = 256;

/// Sends and receives gossip messages.
class GossipTransport {
public:
    using MessageHandler = std::function<void(PeerMessage)>;

    /// Starts to receive. `socket` must be bound to this broker's own address, which is one of `peers`.
    /// `broadcast`, if not empty, is an address that reaches all peers.
    GossipTransport(udp::socket socket, std::vector<udp::endpoint> peers,
                    std::optional<udp::endpoint> broadcast, MessageHandler on_message);

    /// Sends a message to the peer with this index or, if `peer` is empty, to all others. A message that is
    /// too long is logged and dropped.
    void send(std::optional<int> peer, const std::string &data);

    void start_receiving();
    /// To be called when another process that shares the socket takes over receiving (hot restart).
    void stop_receiving();

    std::uint64_t datagrams_sent() const { return datagrams_sent_; }
    std::uint64_t bytes_sent() const { return bytes_sent_; } ///< payload of the datagrams
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
