// Runs the program under the same restrictions as the fleet benchmark: a system call filter that denies exec,
// fork, io_uring, splice and sendfile, and all sockets other than TCP and UDP over IPv4. The filter is
// installed before the program starts and applies to all its threads. Otherwise the program behaves like
// `marblewood`.
#include "app/app.hpp"

#include <cerrno>
#include <cstdio>
#include <linux/sched.h>
#include <seccomp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

// Installs the filter; returns whether that succeeded. If not, the process exits with code 99.
bool install_filter() {
    scmp_filter_ctx filter = seccomp_init(SCMP_ACT_ALLOW);
    if (!filter)
        return false;
    const auto deny = [&](int call, int error, auto... conditions) {
        return seccomp_rule_add(filter, SCMP_ACT_ERRNO(static_cast<std::uint16_t>(error)), call,
                                sizeof...(conditions), conditions...) == 0;
    };
    bool installed = true;
    for (const int call : {SCMP_SYS(execve), SCMP_SYS(execveat), SCMP_SYS(fork), SCMP_SYS(vfork),
                           SCMP_SYS(io_uring_setup), SCMP_SYS(io_uring_enter), SCMP_SYS(io_uring_register),
                           SCMP_SYS(sendfile), SCMP_SYS(clone3), SCMP_SYS(socketpair)})
        installed = installed && deny(call, ENOSYS);
    installed = installed && deny(SCMP_SYS(splice), EINVAL);
    // Only a clone() that creates a thread is allowed, not one that creates a process. The filter cannot
    // inspect the flags of clone3(), which are in memory, so it denies clone3() altogether; the C library
    // then uses clone().
    installed = installed && deny(SCMP_SYS(clone), ENOSYS, SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0));
    installed = installed && deny(SCMP_SYS(socket), EAFNOSUPPORT, SCMP_A0(SCMP_CMP_NE, AF_INET));
    constexpr scmp_datum_t kSocketTypeMask = 0xf; // excludes SOCK_NONBLOCK and SOCK_CLOEXEC
    for (const int type : {SOCK_RAW, SOCK_RDM, SOCK_SEQPACKET, SOCK_DCCP, SOCK_PACKET})
        installed =
            installed && deny(SCMP_SYS(socket), EPROTONOSUPPORT,
                              SCMP_A1(SCMP_CMP_MASKED_EQ, kSocketTypeMask, static_cast<scmp_datum_t>(type)));
    installed = installed && deny(SCMP_SYS(socket), EPROTONOSUPPORT, SCMP_A2(SCMP_CMP_GT, IPPROTO_UDP));
    installed = installed && seccomp_load(filter) == 0;
    seccomp_release(filter);
    return installed;
}

// Checks that the filter denies some of the calls that it should deny, and allows TCP over IPv4. Without an
// effective filter, the tests would prove nothing.
bool filter_is_effective() {
    errno = 0;
    const bool unix_refused = ::socket(AF_UNIX, SOCK_STREAM, 0) < 0 && errno == EAFNOSUPPORT;
    errno = 0;
    const bool v6_refused = ::socket(AF_INET6, SOCK_STREAM, 0) < 0 && errno == EAFNOSUPPORT;
    errno = 0;
    const bool fork_refused = ::fork() < 0 && errno == ENOSYS;
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (tcp >= 0)
        ::close(tcp);
    return unix_refused && v6_refused && fork_refused && tcp >= 0;
}

} // namespace

int main(int argc, char **argv) {
    if (!install_filter() || !filter_is_effective()) {
        std::fputs("marblewood_confined: the system call filter is not in effect\n", stderr);
        return 99;
    }
    return marblewood::app::command(argc, argv);
}
