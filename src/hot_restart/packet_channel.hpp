/// \file
/// Exchange of packets with file descriptors between a process and its successor, over a Unix socket of type
/// SOCK_SEQPACKET.
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

/// Which of the queued packets are sent first.
enum class Priority {
    Control, ///< before all bulk packets
    Bulk     ///< sent in numbers, such as client connections
};

/// One message with the descriptors it carries. A received packet is never empty.
struct Packet {
    std::string bytes;
    std::vector<net::Descriptor> descriptors;
    Priority priority = Priority::Control; ///< for the sender
};

/// Listens at `path`, accessible only to this user. Removes a stale socket file there. Returns an empty
/// Descriptor on failure.
net::Descriptor listen_at(const std::string &path);
/// Connects to the process that listens at `path`. Returns an empty Descriptor on failure.
net::Descriptor connect_to(const std::string &path);
/// Whether the peer of a connected socket runs as the same user.
bool is_same_user(int socket);

/// Receives one packet. Returns nothing on failure, with the cause in errno, or at the end of the connection,
/// with errno 0.
std::optional<Packet> receive_packet(int socket);
/// Sends one packet. Returns false on failure, with the cause in errno.
bool send_packet(int socket, const Packet &packet);

/// One end of a connection, used on the event loop's thread. Owned by shared_ptr, because the coroutine that
/// writes the queue keeps a reference to it.
class PacketChannel : public std::enable_shared_from_this<PacketChannel> {
public:
    PacketChannel(const asio::any_io_executor &executor, net::Descriptor socket);

    /// Queues a packet, which is sent as soon as the socket accepts it. Packets of the same priority are sent
    /// in the order of the calls.
    void send(Packet packet);
    /// Waits for a packet. Returns nothing once the peer has closed the connection, or after an error.
    asio::awaitable<std::optional<Packet>> receive();
    void close();

    /// The packets not sent yet; after the end of the connection, those that the peer did not receive.
    std::deque<Packet> &unsent() { return queue_; }

private:
    asio::awaitable<void> write_queue(std::shared_ptr<PacketChannel> self);
    asio::awaitable<boost::system::error_code> wait_until_writable(int cause);

    asio::posix::stream_descriptor socket_;
    std::deque<Packet> queue_;
};

} // namespace marblewood::hot_restart
