/// \file
/// Shared by the review's cases: a record of what happens, and the program as child processes that are
/// started with the command of the deploy file. Sockets, discovery and nodes come from tests/helper.hpp.
#pragma once

#include "../../tests/helper.hpp"

#include <cstdarg>
#include <cstdio>
#include <string>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

/// The exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

inline const Steady::time_point kStart = Steady::now();
/// Milliseconds since the start of the case.
inline double now_ms() {
    return std::chrono::duration<double, std::milli>(Steady::now() - kStart).count();
}

/// Writes lines with their time to record.txt, and to standard output if asked.
class Record {
public:
    explicit Record(const char *path) : file_(std::fopen(path, "w")) {
        if (!file_)
            std::exit(kCannotRun);
    }
    template <typename... T> void line(fmt::format_string<T...> format, T &&...values) {
        write(fmt::format(format, std::forward<T>(values)...), false);
    }
    /// A line that is also printed.
    template <typename... T> void say(fmt::format_string<T...> format, T &&...values) {
        write(fmt::format(format, std::forward<T>(values)...), true);
    }

private:
    void write(const std::string &text, bool print) {
        const std::lock_guard lock(mutex_);
        fmt::print(file_, "{:9.1f} ms  {}\n", now_ms(), text);
        std::fflush(file_);
        if (print) {
            fmt::print("{}\n", text);
            std::fflush(stdout);
        }
    }
    std::mutex mutex_;
    std::FILE *file_;
};

/// A variable of the environment; empty if it is not set.
inline std::string environment(const char *name) {
    const char *const value = std::getenv(name);
    return value ? value : "";
}
/// Whether the case runs with its disruption.
inline bool trouble() {
    return environment("TROUBLE") != "0";
}

/// A process of the program. It is killed with the case.
class Process {
public:
    using Variables = std::vector<std::pair<std::string, std::string>>;
    Process() = default;
    Process(const Process &) = delete;
    ~Process() { kill(); }
    /// Runs `command` with /bin/sh -c from the repository's root, as the platform does. Its output is added
    /// to the file `log`.
    void start(const std::string &command, const Variables &variables, const std::string &log) {
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        for (const auto &[name, value] : variables)
            ::setenv(name.c_str(), value.c_str(), 1);
        if (!std::freopen(log.c_str(), "a", stdout) || !std::freopen(log.c_str(), "a", stderr))
            ::_exit(127);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            ::close(descriptor);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    void signal(int number) const {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    void kill() {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(std::exchange(pid_, -1), nullptr, 0);
    }
    /// Whether it has ended by itself.
    bool ended() {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ < 0;
    }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

/// One node of the list, in a zone and of a kind that the site has.
inline std::string member(const std::string &id, int port, int shard, const std::string &zone,
                          const std::string &kind) {
    return fmt::format(R"({{"id":"{}","host_port":"127.0.0.1:{}","locality":"{}","flavor":"{}","cell":{},)"
                       R"("phase":"up","size":1.0,"up_since_ms":0}})",
                       id, port, zone, kind, shard);
}

/// Connects to a port on the loopback address; -1 if that fails.
inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = test::local(port);
    if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return fd;
    }
    ::close(fd);
    return -1;
}

/// A client's connection that never fails the case by itself.
class Connection {
public:
    explicit Connection(int port) : fd_(connect_to(port)) {}
    Connection(const Connection &) = delete;
    ~Connection() { close(); }
    void close() {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    bool open() const { return fd_ >= 0; }
    /// Ends the connection for both sides as a reset by the network does.
    void reset() {
        const linger zero_linger{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
        close();
    }
    bool send(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// The bytes that come until `until` or the end of the connection, whichever is first.
    std::string bytes(double until) {
        std::string all;
        for (double left; (left = until - now_ms()) > 0;) {
            pollfd waiting{fd_, POLLIN, 0};
            char chunk[4096];
            if (::poll(&waiting, 1, static_cast<int>(left) + 1) <= 0)
                break;
            const auto got = ::recv(fd_, chunk, sizeof chunk, 0);
            if (got <= 0)
                break;
            all.append(chunk, static_cast<std::size_t>(got));
        }
        return all;
    }
    /// How taking an answer ended.
    enum class End { Answer, Closed, Nothing };
    /// Waits for the next answer until `until` (in ms of now_ms()).
    End answer(test::resp::Value &value, double until) {
        for (;;) {
            std::string_view bytes = in_;
            auto taken = reader_.take(bytes);
            in_.erase(0, in_.size() - bytes.size());
            if (taken) {
                value = std::move(*taken);
                return End::Answer;
            }
            const double left = until - now_ms();
            pollfd waiting{fd_, POLLIN, 0};
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left) + 1) <= 0)
                return End::Nothing;
            char chunk[65536];
            const auto got = ::recv(fd_, chunk, sizeof chunk, 0);
            if (got <= 0)
                return End::Closed;
            in_.append(chunk, static_cast<std::size_t>(got));
        }
    }

private:
    int fd_;
    std::string in_;
    test::resp::Reader reader_{test::resp::kMaxNodeBulkBytes};
};

/// Waits until the broker at `port` answers PING with +PONG.
inline bool await_pong(int port, double for_ms = 20'000) {
    for (const double until = now_ms() + for_ms; now_ms() < until; std::this_thread::sleep_for(10ms)) {
        Connection connection(port);
        test::resp::Value value;
        if (connection.open() && connection.send("*1\r\n$4\r\nPING\r\n") &&
            connection.answer(value, now_ms() + 500) == Connection::End::Answer && value.text == "PONG")
            return true;
    }
    return false;
}

/// How an answer reads in the record.
inline std::string text_of(const test::resp::Value &value) {
    using Kind = test::resp::Value::Kind;
    switch (value.kind) {
    case Kind::Error:
        return "-" + value.text;
    case Kind::Simple:
        return "+" + value.text;
    case Kind::Bulk:
        return value.null ? "(null)" : "served '" + value.text.substr(0, 40) + "'";
    default:
        return "(other)";
    }
}

} // namespace review
