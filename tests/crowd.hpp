/// \file
/// Many client connections at once, driven by one thread, whose clients misbehave: they send without end,
/// stop in the middle of a message, or do not read what they are sent.
#pragma once

#include "helper.hpp"

#include <algorithm>
#include <fcntl.h>
#include <vector>

namespace test {

/// What each connection of a crowd does.
struct CrowdBehavior {
    int connections = 0;
    /// Returns what is sent once, at the begin of a connection; an id of a request in it has to be new. Null:
    /// nothing.
    std::function<std::string()> opening = nullptr;
    /// Returns what is sent next, again and again; an empty text: nothing more. Null: only the opening is
    /// sent.
    std::function<std::string()> next = nullptr;
    /// Bytes that are read in each turn of 10 ms at the most; 0: what the broker sends is not read.
    std::size_t read_bytes_per_turn = 0;
    bool reconnects = false;      ///< a connection that has ended is replaced by a new one
    int receive_buffer_bytes = 0; ///< of the sockets; 0: the system's
    /// From one group of connections to the next while the crowd comes; 0: all come at once.
    std::chrono::milliseconds interval{};
    int group = 1; ///< connections that come at one time
};

class Crowd {
public:
    Crowd(int port, CrowdBehavior behavior) : port_(port), behavior_(std::move(behavior)) {
        if (behavior_.interval == 0ms)
            while (!complete())
                members_.push_back(connect());
    }
    ~Crowd() {
        for (const Member &member : members_)
            if (member.descriptor >= 0)
                ::close(member.descriptor);
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Has the clients send and read for `duration`.
    void run(std::chrono::milliseconds duration) {
        constexpr auto kTurn = 10ms;
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            const auto turn_ends = std::chrono::steady_clock::now() + kTurn;
            for (; !complete() && next_group_ <= turn_ends; next_group_ += behavior_.interval)
                for (int n = 0; n < behavior_.group && !complete(); ++n)
                    members_.push_back(connect());
            bool sent = false;
            for (Member &member : members_)
                sent |= advance(member);
            if (!sent)
                std::this_thread::sleep_until(turn_ends);
        }
    }
    /// The number of connections that are open.
    std::size_t open() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(members_, [](const Member &member) { return member.descriptor >= 0; }));
    }
    std::size_t bytes_read = 0;

private:
    struct Member {
        int descriptor = -1;
        std::string unsent;
    };

    bool complete() const { return static_cast<int>(members_.size()) >= behavior_.connections; }
    Member connect() const {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        // What all of them have sent must not use up the memory that the system has for TCP: it drops other
        // connections' packets then.
        constexpr int kSendBufferBytes = 64 * 1024;
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
        if (behavior_.receive_buffer_bytes > 0)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &behavior_.receive_buffer_bytes, sizeof(int));
        const sockaddr_in address = local(port_);
        if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(descriptor); // the program has ended
            return {};
        }
        ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
        return {descriptor, behavior_.opening ? behavior_.opening() : std::string()};
    }
    // Sends and reads what is possible now; returns whether anything was sent.
    bool advance(Member &member) {
        if (member.descriptor < 0)
            return false;
        if (member.unsent.empty() && behavior_.next)
            member.unsent = behavior_.next();
        bool ended = false;
        bool sent_any = false;
        if (!member.unsent.empty()) {
            const auto sent =
                ::send(member.descriptor, member.unsent.data(), member.unsent.size(), MSG_NOSIGNAL);
            ended = sent < 0 && errno != EAGAIN;
            sent_any = sent > 0;
            if (sent > 0)
                member.unsent.erase(0, static_cast<std::size_t>(sent));
        }
        if (behavior_.read_bytes_per_turn > 0) {
            std::string bytes(behavior_.read_bytes_per_turn, '\0');
            const auto got = ::recv(member.descriptor, bytes.data(), bytes.size(), 0);
            ended |= got == 0 || (got < 0 && errno != EAGAIN);
            bytes_read += got > 0 ? static_cast<std::size_t>(got) : 0;
        }
        if (ended) {
            ::close(std::exchange(member.descriptor, -1));
            if (behavior_.reconnects)
                member = connect();
        }
        return sent_any;
    }

    const int port_;
    const CrowdBehavior behavior_;
    std::vector<Member> members_;
    std::chrono::steady_clock::time_point next_group_ = std::chrono::steady_clock::now();
};

} // namespace test
