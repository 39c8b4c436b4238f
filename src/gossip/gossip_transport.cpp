#include "gossip/gossip_transport.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::gossip {
namespace {

/// Larger than kMaxMessageBytes, so that a datagram that is too long is detected.
constexpr std::size_t kReceiveBufferBytes = 512;

} // namespace

GossipTransport::GossipTransport(udp::socket socket, std::vector<udp::endpoint> peers,
                                 std::optional<udp::endpoint> broadcast, MessageHandler on_message)
    : socket_(std::move(socket)), peers_(std::move(peers)), broadcast_(std::move(broadcast)),
      on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
    start_receiving();
}

void GossipTransport::start_receiving() {
    asio::co_spawn(socket_.get_executor(), receive(), asio::detached);
}

void GossipTransport::stop_receiving() {
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

void GossipTransport::send(std::optional<int> peer, const std::string &data) {
    if (data.size() > kMaxMessageBytes) {
        core::log("gossip_message_dropped reason=too_large bytes={}", data.size());
        return;
    }
    if (!peer)
        send_to_all(data);
    else if (static_cast<std::size_t>(*peer) < peers_.size())
        send_datagram(peers_[static_cast<std::size_t>(*peer)], data);
}

void GossipTransport::send_to_all(const std::string &data) {
    if (broadcast_) {
        send_datagram(*broadcast_, data);
        return;
    }
    boost::system::error_code ignored;
    const udp::endpoint own = socket_.local_endpoint(ignored);
    for (const udp::endpoint &peer : peers_)
        if (peer != own)
            send_datagram(peer, data);
}

void GossipTransport::send_datagram(const udp::endpoint &to, const std::string &data) {
    boost::system::error_code ignored; // a failed send is treated like a datagram lost in the network
    socket_.send_to(asio::buffer(data), to, 0, ignored);
    ++datagrams_sent_;
    bytes_sent_ += data.size();
}

asio::awaitable<void> GossipTransport::receive() {
    char buffer[kReceiveBufferBytes];
    for (;;) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await socket_.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        // Other errors report the rejection of an earlier datagram, and receiving goes on.
        if (!error && size <= kMaxMessageBytes)
            deliver(sender, std::string(buffer, size));
    }
}

void GossipTransport::deliver(const udp::endpoint &sender, const std::string &data) {
    for (std::size_t peer = 0; peer < peers_.size(); ++peer)
        if (peers_[peer] == sender)
            on_message_({static_cast<int>(peer), data});
}

} // namespace marblewood::gossip
