/// \file
/// A proxy for TCP connections that can stop reading, as a node that stands still does. Its receive buffer
/// and its segments are those of a small machine on an Ethernet, not of the loopback device.
#pragma once

#include "harness.hpp"

#include <random>

namespace review {

class Relay {
public:
    explicit Relay(int target_port) : target_port_(target_port) {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int receive_bytes = 2048;
        const int segment_bytes = 1400;
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
        setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
        sockaddr_in address = test::local(0);
        std::random_device random;
        const std::uint32_t host = 0x7f010000 + random() % 0xf00000; // 127.1.0.0 to 127.15.255.255
        address.sin_addr.s_addr = htonl(host);
        socklen_t size = sizeof address;
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
            ::listen(listener_, 64) != 0)
            cannot_run("no port for the proxy");
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        host_port = fmt::format("127.{}.{}.{}:{}", host >> 16 & 0xff, host >> 8 & 0xff, host & 0xff,
                                ntohs(address.sin_port));
        std::thread([this] { accept_all(); }).detach();
    }

    /// While `on`, nothing is read from the clients.
    void hold_upstream(bool on) { upstream_held_ = on; }
    std::string host_port; ///< where it listens

private:
    void accept_all() {
        for (int client; (client = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            const int target = dial(target_port_);
            if (target < 0) {
                ::close(client);
                continue;
            }
            const int on = 1;
            setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([=, this] { pump(client, target, &upstream_held_); }).detach();
            std::thread([=, this] { pump(target, client, nullptr); }).detach();
        }
    }

    static void pump(int from, int to, const std::atomic<bool> *held) {
        char chunk[4096];
        for (;;) {
            pollfd readable{from, POLLIN, 0};
            const bool ready = ::poll(&readable, 1, 1) > 0;
            if (held && *held)
                std::this_thread::sleep_for(1ms);
            if (!ready || (held && *held))
                continue;
            const auto received = ::recv(from, chunk, sizeof chunk, 0);
            if (received <= 0)
                break;
            for (ssize_t sent = 0; sent < received;) {
                const auto part =
                    ::send(to, chunk + sent, static_cast<std::size_t>(received - sent), MSG_NOSIGNAL);
                if (part <= 0)
                    break;
                sent += part;
            }
        }
        ::shutdown(from, SHUT_RDWR);
        ::shutdown(to, SHUT_RDWR);
    }

    const int target_port_;
    int listener_ = -1;
    std::atomic<bool> upstream_held_ = false;
};

} // namespace review
