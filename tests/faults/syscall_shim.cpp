/// \file
/// A library for LD_PRELOAD that makes the program's calls on IPv4 TCP sockets fail in ways that Linux
/// documents.
///
/// SYSCALL_FAULTS lists the faults as "CALL=FAULT:PERCENT;...". CALL is one of accept, connect, socket, send
/// and recv. FAULT is the name of an error (the call then fails with that error and does nothing) or, for
/// send and recv, "short" (the call then transfers only part of the bytes). SYSCALL_SEED seeds the random
/// choice of the calls that fail. The kernel knows nothing of an injected fault: no readiness event announces
/// that the next call can make progress.
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
    int error = 0; // an errno value; 0 for a short call
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

Plan plan_from_environment() {
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

std::uint64_t seed_from_environment() {
    const char *const text = std::getenv("SYSCALL_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

// Decides at random whether this call fails, and returns the fault; null if it does not.
const Fault *draw_fault(const char *call) {
    static const Plan plan = plan_from_environment();
    static std::mt19937_64 random(seed_from_environment());
    const auto faults = plan.find(call);
    if (faults == plan.end())
        return nullptr;
    for (const Fault &fault : faults->second)
        if (std::uniform_int_distribution<int>(0, 99)(random) < fault.percent)
            return &fault;
    return nullptr;
}

template <typename Function> Function real_function(const char *name) {
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

constexpr std::size_t kShortCallBytes = 7;

// A copy of `message` that covers only the first bytes of its first non-empty buffer, for a short call. The
// copy refers to `part`.
msghdr shortened(const msghdr &message, iovec &part) {
    msghdr out = message;
    part = {nullptr, 0};
    for (std::size_t n = 0; n < message.msg_iovlen && part.iov_len == 0; ++n)
        part = message.msg_iov[n];
    part.iov_len = std::min(part.iov_len, kShortCallBytes);
    out.msg_iov = &part;
    out.msg_iovlen = 1;
    return out;
}

// Whether the call fails with an error; sets errno if it does.
bool fails(const Fault *fault) {
    if (!fault || fault->error == 0)
        return false;
    errno = fault->error;
    return true;
}

} // namespace

extern "C" {

int accept(int fd, sockaddr *address, socklen_t *size) {
    static const auto real_call = real_function<int (*)(int, sockaddr *, socklen_t *)>("accept");
    if (is_tcp(fd) && fails(draw_fault("accept")))
        return -1;
    return real_call(fd, address, size);
}

int accept4(int fd, sockaddr *address, socklen_t *size, int flags) {
    static const auto real_call = real_function<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
    if (is_tcp(fd) && fails(draw_fault("accept")))
        return -1;
    return real_call(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    static const auto real_call = real_function<int (*)(int, int, int)>("socket");
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM && fails(draw_fault("socket")))
        return -1;
    return real_call(domain, type, protocol);
}

int connect(int fd, const sockaddr *address, socklen_t size) {
    static const auto real_call = real_function<int (*)(int, const sockaddr *, socklen_t)>("connect");
    if (is_tcp(fd) && fails(draw_fault("connect")))
        return -1;
    return real_call(fd, address, size);
}

ssize_t sendmsg(int fd, const msghdr *message, int flags) {
    static const auto real_call = real_function<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    const Fault *const fault = is_tcp(fd) ? draw_fault("send") : nullptr;
    if (fails(fault))
        return -1;
    iovec part{};
    if (!fault)
        return real_call(fd, message, flags);
    const msghdr shorter = shortened(*message, part);
    return real_call(fd, &shorter, flags);
}

ssize_t send(int fd, const void *bytes, size_t size, int flags) {
    static const auto real_call = real_function<ssize_t (*)(int, const void *, size_t, int)>("send");
    const Fault *const fault = is_tcp(fd) ? draw_fault("send") : nullptr;
    if (fails(fault))
        return -1;
    return real_call(fd, bytes, fault ? std::min(size, kShortCallBytes) : size, flags);
}

ssize_t recvmsg(int fd, msghdr *message, int flags) {
    static const auto real_call = real_function<ssize_t (*)(int, msghdr *, int)>("recvmsg");
    const Fault *const fault = is_tcp(fd) ? draw_fault("recv") : nullptr;
    if (fails(fault))
        return -1;
    if (!fault)
        return real_call(fd, message, flags);
    iovec part{};
    msghdr shorter = shortened(*message, part);
    const ssize_t got = real_call(fd, &shorter, flags);
    message->msg_flags = shorter.msg_flags;
    return got;
}

ssize_t recv(int fd, void *bytes, size_t size, int flags) {
    static const auto real_call = real_function<ssize_t (*)(int, void *, size_t, int)>("recv");
    const Fault *const fault = is_tcp(fd) ? draw_fault("recv") : nullptr;
    if (fails(fault))
        return -1;
    return real_call(fd, bytes, fault ? std::min(size, kShortCallBytes) : size, flags);
}
}
