#include "hot_restart/packet_channel.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstring>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

namespace marblewood::hot_restart {
namespace {

constexpr int kListenBacklog = 4;
constexpr mode_t kOwnerOnlyMode = 0600;
/// Delay before the next attempt to send while the system has too many descriptors in flight (ETOOMANYREFS).
constexpr auto kDescriptorsInFlightRetryDelay = std::chrono::milliseconds(1);

std::optional<sockaddr_un> unix_address(const std::string &path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path)
        return std::nullopt;
    std::memcpy(address.sun_path, path.data(), path.size());
    return address;
}

/// Opens a socket and calls `setup`, which binds or connects it and returns false on failure.
template <typename Setup> net::Descriptor open_socket(const std::string &path, Setup setup) {
    const auto address = unix_address(path);
    if (!address)
        return net::Descriptor();
    net::Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    const auto *const generic_address = reinterpret_cast<const sockaddr *>(&*address);
    if (socket.get() < 0 || !setup(socket.get(), generic_address, socklen_t{sizeof *address}))
        return net::Descriptor();
    return socket;
}

/// Control message buffer for descriptors, with the alignment that the system requires.
union ControlBuffer {
    char bytes[CMSG_SPACE(sizeof(int) * kMaxDescriptors)];
    cmsghdr align;
};

std::vector<net::Descriptor> take_descriptors(msghdr &header) {
    std::vector<net::Descriptor> descriptors;
    for (cmsghdr *control = CMSG_FIRSTHDR(&header); control; control = CMSG_NXTHDR(&header, control)) {
        if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS)
            continue;
        const std::size_t count = (control->cmsg_len - CMSG_LEN(0)) / sizeof(int);
        for (std::size_t n = 0; n < count; ++n) {
            int descriptor = -1;
            std::memcpy(&descriptor, CMSG_DATA(control) + n * sizeof descriptor, sizeof descriptor);
            descriptors.emplace_back(descriptor);
        }
    }
    return descriptors;
}

void attach_descriptors(msghdr &header, ControlBuffer &buffer,
                        const std::vector<net::Descriptor> &descriptors) {
    const std::size_t count = std::min(descriptors.size(), kMaxDescriptors);
    if (count == 0)
        return;
    header.msg_control = buffer.bytes;
    header.msg_controllen = CMSG_SPACE(sizeof(int) * count);
    cmsghdr *const control = CMSG_FIRSTHDR(&header);
    control->cmsg_level = SOL_SOCKET;
    control->cmsg_type = SCM_RIGHTS;
    control->cmsg_len = CMSG_LEN(sizeof(int) * count);
    int numbers[kMaxDescriptors] = {};
    for (std::size_t n = 0; n < count; ++n)
        numbers[n] = descriptors[n].get();
    std::memcpy(CMSG_DATA(control), numbers, sizeof(int) * count);
}

} // namespace

net::Descriptor listen_at(const std::string &path) {
    ::unlink(path.c_str());
    return open_socket(path, [&](int socket, const sockaddr *address, socklen_t size) {
        return ::bind(socket, address, size) == 0 && ::chmod(path.c_str(), kOwnerOnlyMode) == 0 &&
               ::listen(socket, kListenBacklog) == 0;
    });
}

net::Descriptor connect_to(const std::string &path) {
    return open_socket(path, [](int socket, const sockaddr *address, socklen_t size) {
        return ::connect(socket, address, size) == 0;
    });
}

bool is_same_user(int socket) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

std::optional<Packet> receive_packet(int socket) {
    Packet packet;
    packet.bytes.resize(kMaxPacketBytes + 1);
    iovec part{packet.bytes.data(), packet.bytes.size()};
    ControlBuffer buffer{};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = buffer.bytes;
    header.msg_controllen = sizeof buffer.bytes;
    errno = 0;
    const auto received = ::recvmsg(socket, &header, MSG_CMSG_CLOEXEC);
    if (received <= 0)
        return std::nullopt;
    packet.bytes.resize(static_cast<std::size_t>(received));
    packet.descriptors = take_descriptors(header);
    return packet;
}

bool send_packet(int socket, const Packet &packet) {
    iovec part{const_cast<char *>(packet.bytes.data()), packet.bytes.size()};
    ControlBuffer buffer{};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    attach_descriptors(header, buffer, packet.descriptors);
    errno = 0;
    return ::sendmsg(socket, &header, MSG_NOSIGNAL) >= 0;
}

PacketChannel::PacketChannel(const asio::any_io_executor &executor, net::Descriptor socket)
    : socket_(executor, socket.release()) {
    socket_.non_blocking(true);
}

void PacketChannel::send(Packet packet) {
    const bool is_control = packet.priority == Priority::Control;
    const auto position =
        is_control ? std::ranges::find(queue_, Priority::Bulk, &Packet::priority) : queue_.end();
    queue_.insert(position, std::move(packet));
    if (queue_.size() == 1)
        asio::co_spawn(socket_.get_executor(), write_queue(shared_from_this()), asio::detached);
}

void PacketChannel::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<void> PacketChannel::write_queue([[maybe_unused]] std::shared_ptr<PacketChannel> self) {
    while (!queue_.empty() && socket_.is_open()) {
        if (send_packet(socket_.native_handle(), queue_.front())) {
            queue_.pop_front();
            continue;
        }
        const int cause = errno;
        if (cause != ETOOMANYREFS && cause != EAGAIN)
            break;
        if (co_await wait_until_writable(cause))
            break;
    }
}

// Waits until sending can be tried again. With ETOOMANYREFS, more descriptors are in flight than the system
// allows, and the peer has to receive some first; this cannot be awaited, so the function only waits a
// moment. Otherwise the socket's buffer is full.
asio::awaitable<boost::system::error_code> PacketChannel::wait_until_writable(int cause) {
    boost::system::error_code error;
    if (cause == ETOOMANYREFS) {
        asio::steady_timer timer(socket_.get_executor(), kDescriptorsInFlightRetryDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await socket_.async_wait(asio::posix::descriptor_base::wait_write,
                                    asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

asio::awaitable<std::optional<Packet>> PacketChannel::receive() {
    for (;;) {
        boost::system::error_code error;
        co_await socket_.async_wait(asio::posix::descriptor_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return std::nullopt;
        auto packet = receive_packet(socket_.native_handle());
        if (packet || errno != EAGAIN)
            co_return packet;
    }
}

} // namespace marblewood::hot_restart
