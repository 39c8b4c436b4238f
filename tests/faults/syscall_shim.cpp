// Loaded into a program (LD_PRELOAD): its calls on TCP sockets over IPv4 fail as Linux documents that they
// may.
//
// SYSCALL_FAULTS lists the faults: "CALL=FAULT:PERCENT;...", with CALL one of accept, connect, socket, send
// and recv, and FAULT the name of an error (the call then fails with it and does nothing) or, for send and
// recv, "short" (the call then moves a part of the bytes). SYSCALL_SEED seeds the chances. A shortened or
// refused call says nothing of when the next one will do more: no readiness event follows it.
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <map>
#include <random>
#include <string>
#include <sys/socket.h>
#include <sys/uio.h>
#include <vector>

namespace {

struct Fault {
    int error = 0; // 0: a short call
    int percent = 0;
};

const std::map<std::string, int> kErrors{
    {"ECONNABORTED", ECONNABORTED},
    {"EPROTO", EPROTO},
    {"EINTR", EINTR},
    {"ENFILE", ENFILE},
    {"EMFILE", EMFILE},
    {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},
    {"EAGAIN", EAGAIN},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},
    {"ENETDOWN", ENETDOWN},
    {"short", 0},
};

using Plan = std::map<std::string, std::vector<Fault>>;

Plan read_plan() {
    Plan plan;
    const char *const text = std::getenv("SYSCALL_FAULTS");
    std::string rest = text ? text : "";
    while (!rest.empty()) {
        const std::string item = rest.substr(0, rest.find(';'));
        rest.erase(0, std::min(rest.size(), item.size() + 1));
        const std::size_t equals = item.find('='), colon = item.find(':');
        if (equals == std::string::npos || colon == std::string::npos)
            std::abort();
        const auto error = kErrors.find(item.substr(equals + 1, colon - equals - 1));
        if (error == kErrors.end())
            std::abort();
        plan[item.substr(0, equals)].push_back({error->second, std::atoi(item.c_str() + colon + 1)});
    }
    return plan;
}

std::uint64_t seed() {
    const char *const text = std::getenv("SYSCALL_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

// The fault of this call, if it has one now.
const Fault *drawn(const char *call) {
    static const Plan plan = read_plan();
    static std::mt19937_64 random(seed());
    const auto faults = plan.find(call);
    if (faults == plan.end())
        return nullptr;
    for (const Fault &fault : faults->second)
        if (std::uniform_int_distribution<int>(0, 99)(random) < fault.percent)
            return &fault;
    return nullptr;
}

template <typename Function> Function real(const char *name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool is_tcp(int fd) {
    int domain = 0, type = 0;
    socklen_t size = sizeof domain;
    if (::getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) != 0)
        return false;
    size = sizeof type;
    return ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && domain == AF_INET &&
           type == SOCK_STREAM;
}

constexpr std::size_t kShort = 7; // bytes that a short call moves

// What is left of a message for a short call.
msghdr shortened(const msghdr &message, iovec &part) {
    msghdr out = message;
    part = {nullptr, 0};
    for (std::size_t n = 0; n < message.msg_iovlen && part.iov_len == 0; ++n)
        part = message.msg_iov[n];
    part.iov_len = std::min(part.iov_len, kShort);
    out.msg_iov = &part;
    out.msg_iovlen = 1;
    return out;
}

// Whether the call fails, with errno set.
bool fails(const Fault *fault) {
    if (!fault || fault->error == 0)
        return false;
    errno = fault->error;
    return true;
}

} // namespace

extern "C" {

int accept(int fd, sockaddr *address, socklen_t *size) {
    static const auto next = real<int (*)(int, sockaddr *, socklen_t *)>("accept");
    if (is_tcp(fd) && fails(drawn("accept")))
        return -1;
    return next(fd, address, size);
}

int accept4(int fd, sockaddr *address, socklen_t *size, int flags) {
    static const auto next = real<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
    if (is_tcp(fd) && fails(drawn("accept")))
        return -1;
    return next(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    static const auto next = real<int (*)(int, int, int)>("socket");
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM && fails(drawn("socket")))
        return -1;
    return next(domain, type, protocol);
}

int connect(int fd, const sockaddr *address, socklen_t size) {
    static const auto next = real<int (*)(int, const sockaddr *, socklen_t)>("connect");
    if (is_tcp(fd) && fails(drawn("connect")))
        return -1;
    return next(fd, address, size);
}

ssize_t sendmsg(int fd, const msghdr *message, int flags) {
    static const auto next = real<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    const Fault *const fault = is_tcp(fd) ? drawn("send") : nullptr;
    if (fails(fault))
        return -1;
    iovec part{};
    if (!fault)
        return next(fd, message, flags);
    const msghdr less = shortened(*message, part);
    return next(fd, &less, flags);
}

ssize_t send(int fd, const void *bytes, size_t size, int flags) {
    static const auto next = real<ssize_t (*)(int, const void *, size_t, int)>("send");
    const Fault *const fault = is_tcp(fd) ? drawn("send") : nullptr;
    if (fails(fault))
        return -1;
    return next(fd, bytes, fault ? std::min(size, kShort) : size, flags);
}

ssize_t recvmsg(int fd, msghdr *message, int flags) {
    static const auto next = real<ssize_t (*)(int, msghdr *, int)>("recvmsg");
    const Fault *const fault = is_tcp(fd) ? drawn("recv") : nullptr;
    if (fails(fault))
        return -1;
    if (!fault)
        return next(fd, message, flags);
    iovec part{};
    msghdr less = shortened(*message, part);
    const ssize_t got = next(fd, &less, flags);
    message->msg_flags = less.msg_flags;
    return got;
}

ssize_t recv(int fd, void *bytes, size_t size, int flags) {
    static const auto next = real<ssize_t (*)(int, void *, size_t, int)>("recv");
    const Fault *const fault = is_tcp(fd) ? drawn("recv") : nullptr;
    if (fails(fault))
        return -1;
    return next(fd, bytes, fault ? std::min(size, kShort) : size, flags);
}
}
