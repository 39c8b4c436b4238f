#include "net/handover/channel.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstring>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

namespace marblewood::net::handover {
namespace {

std::optional<sockaddr_un> address(const std::string &path) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path)
        return std::nullopt;
    std::memcpy(at.sun_path, path.data(), path.size());
    return at;
}

template <typename Call> int open(const std::string &path, Call call) {
    const auto at = address(path);
    if (!at)
        return -1;
    Descriptor fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    if (fd.get() < 0 || !call(fd.get(), reinterpret_cast<const sockaddr *>(&*at), socklen_t{sizeof *at}))
        return -1;
    return fd.release();
}

union Room { // for descriptors, aligned as the system wants it
    char bytes[CMSG_SPACE(sizeof(int) * kMostDescriptors)];
    cmsghdr align;
};

} // namespace

int listen_at(const std::string &path) {
    ::unlink(path.c_str());
    return open(path, [&](int fd, const sockaddr *at, socklen_t size) {
        return ::bind(fd, at, size) == 0 && ::chmod(path.c_str(), 0600) == 0 && ::listen(fd, 4) == 0;
    });
}
int connect_to(const std::string &path) {
    return open(path,
                [](int fd, const sockaddr *at, socklen_t size) { return ::connect(fd, at, size) == 0; });
}

bool ours(int fd) {
    ucred other{};
    socklen_t size = sizeof other;
    return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &other, &size) == 0 && other.uid == ::geteuid();
}

std::optional<Packet> receive_now(int fd) {
    Packet packet;
    packet.bytes.resize(kMostPacket + 1);
    iovec part{packet.bytes.data(), packet.bytes.size()};
    Room room{};
    msghdr head{};
    head.msg_iov = &part;
    head.msg_iovlen = 1;
    head.msg_control = room.bytes;
    head.msg_controllen = sizeof room.bytes;
    errno = 0;
    const auto got = ::recvmsg(fd, &head, MSG_CMSG_CLOEXEC);
    if (got <= 0)
        return std::nullopt;
    packet.bytes.resize(static_cast<std::size_t>(got));
    for (cmsghdr *c = CMSG_FIRSTHDR(&head); c; c = CMSG_NXTHDR(&head, c)) {
        if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS)
            continue;
        for (std::size_t n = 0; n < (c->cmsg_len - CMSG_LEN(0)) / sizeof(int); ++n) {
            int passed = -1;
            std::memcpy(&passed, CMSG_DATA(c) + n * sizeof passed, sizeof passed);
            packet.descriptors.emplace_back(passed);
        }
    }
    return packet;
}

bool send_now(int fd, const Packet &packet) {
    iovec part{const_cast<char *>(packet.bytes.data()), packet.bytes.size()};
    Room room{};
    msghdr head{};
    head.msg_iov = &part;
    head.msg_iovlen = 1;
    const std::size_t count = std::min(packet.descriptors.size(), kMostDescriptors);
    if (count > 0) {
        head.msg_control = room.bytes;
        head.msg_controllen = CMSG_SPACE(sizeof(int) * count);
        cmsghdr *const c = CMSG_FIRSTHDR(&head);
        c->cmsg_level = SOL_SOCKET;
        c->cmsg_type = SCM_RIGHTS;
        c->cmsg_len = CMSG_LEN(sizeof(int) * count);
        int passed[kMostDescriptors] = {};
        for (std::size_t n = 0; n < count; ++n)
            passed[n] = packet.descriptors[n].get();
        std::memcpy(CMSG_DATA(c), passed, sizeof(int) * count);
    }
    errno = 0;
    return ::sendmsg(fd, &head, MSG_NOSIGNAL) >= 0;
}

void Channel::send(Packet packet) {
    queue_.push_back(std::move(packet));
    if (queue_.size() == 1)
        asio::co_spawn(socket_.get_executor(), write(shared_from_this()), asio::detached);
}

asio::awaitable<void> Channel::write([[maybe_unused]] std::shared_ptr<Channel> self) {
    while (!queue_.empty() && socket_.is_open()) {
        if (!send_now(socket_.native_handle(), queue_.front())) {
            // Full, or more descriptors are under way than the system allows: the other side is taking them.
            const bool passes = errno == ETOOMANYREFS;
            if (!passes && errno != EAGAIN)
                break;
            boost::system::error_code error;
            if (passes) {
                asio::steady_timer rest(socket_.get_executor(), std::chrono::milliseconds(1));
                co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            } else {
                co_await socket_.async_wait(asio::posix::descriptor_base::wait_write,
                                            asio::redirect_error(asio::use_awaitable, error));
            }
            if (error)
                break;
            continue;
        }
        queue_.pop_front();
    }
}

asio::awaitable<std::optional<Packet>> Channel::receive() {
    for (;;) {
        boost::system::error_code error;
        co_await socket_.async_wait(asio::posix::descriptor_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return std::nullopt;
        auto packet = receive_now(socket_.native_handle());
        if (packet || errno != EAGAIN)
            co_return packet;
    }
}

} // namespace marblewood::net::handover
