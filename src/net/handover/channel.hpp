// Packets with descriptors between a process and its successor, over a Unix socket of sequenced packets.
#pragma once

#include "net/descriptor.hpp"
#include "net/sockets.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace marblewood::net::handover {

inline constexpr std::size_t kMostPacket = 60 * 1024, kMostDescriptors = 4;
struct Packet {
    std::string bytes;
    std::vector<Descriptor> descriptors;
};

int listen_at(const std::string &path);  // -1 where it can't; a stale socket there is removed
int connect_to(const std::string &path); // -1 where nobody listens
bool ours(int fd);                       // whether the other side runs as the same user
// errno 0 and no packet: the other side has gone.
std::optional<Packet> receive_now(int fd);
bool send_now(int fd, const Packet &packet); // false: errno says why

class Channel : public std::enable_shared_from_this<Channel> {
public:
    Channel(asio::any_io_executor executor, Descriptor fd) : socket_(std::move(executor), fd.release()) {
        socket_.non_blocking(true);
    }
    void send(Packet packet); // queued; goes out as the other side takes it
    std::deque<Packet> &unsent() { return queue_; }
    asio::awaitable<std::optional<Packet>> receive(); // nothing: the other side has gone
    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

private:
    asio::awaitable<void> write(std::shared_ptr<Channel> self);
    asio::posix::stream_descriptor socket_;
    std::deque<Packet> queue_;
};

} // namespace marblewood::net::handover
