/// \file
/// Packets with file descriptors between a process and its successor, over a Unix socket of sequenced
/// packets.
#pragma once

#include "net/descriptor.hpp"
#include "net/sockets.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marblewood::hot_restart {

namespace asio = boost::asio;

inline constexpr std::size_t kMaxPacketBytes = 60UL * 1024;
inline constexpr std::size_t kMaxDescriptors = 4;

/// One message; never empty once received.
struct Packet {
    std::string bytes;
    std::vector<net::Descriptor> descriptors;
};

/// Listens at `path`, for this user only; a stale socket there is removed. No descriptor on failure.
net::Descriptor listen_at(const std::string &path);
/// Connects to whoever listens at `path`. No descriptor on failure.
net::Descriptor connect_to(const std::string &path);
/// Whether the other side of a connected socket runs as the same user.
bool is_same_user(int socket);

/// Receives one packet. Empty on failure, with the cause in errno; 0: the other side has closed.
std::optional<Packet> receive_packet(int socket);
/// Sends one packet. False on failure, with the cause in errno.
bool send_packet(int socket, const Packet &packet);

/// One end of a connection, used on the event loop's thread. Held by shared_ptr, as a write under way refers
/// to it.
class PacketChannel : public std::enable_shared_from_this<PacketChannel> {
public:
    PacketChannel(const asio::any_io_executor &executor, net::Descriptor socket);

    /// Queues a packet, which goes out as the other side takes it.
    void send(Packet packet);
    /// Waits for a packet; empty once the other side has closed.
    asio::awaitable<std::optional<Packet>> receive();
    void close();

    /// What is queued; after the other side has closed: what it did not get.
    std::deque<Packet> &unsent() { return queue_; }

private:
    asio::awaitable<void> write_queue(std::shared_ptr<PacketChannel> self);
    asio::awaitable<boost::system::error_code> wait_until_writable(int cause);

    asio::posix::stream_descriptor socket_;
    std::deque<Packet> queue_;
};

} // namespace marblewood::hot_restart
