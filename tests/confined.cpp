// The program as the fleet bench runs it: under a system-call filter that refuses other programs, fork,
// io_uring, splice and sendfile, and every socket but TCP and UDP over IPv4. The filter is set before the
// program's first line and holds for all its threads; then the program runs as `marblewood` would.
#include "app/app.hpp"

#include <cerrno>
#include <cstdio>
#include <linux/sched.h>
#include <seccomp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

// True once the filter is in place. Exit code 99 of the process says it could not be set.
bool confine() {
    scmp_filter_ctx filter = seccomp_init(SCMP_ACT_ALLOW);
    if (!filter)
        return false;
    const auto no = [&](int call, int error, auto... conditions) {
        return seccomp_rule_add(filter, SCMP_ACT_ERRNO(static_cast<std::uint16_t>(error)), call,
                                sizeof...(conditions), conditions...) == 0;
    };
    bool set = true;
    for (const int call : {SCMP_SYS(execve), SCMP_SYS(execveat), SCMP_SYS(fork), SCMP_SYS(vfork),
                           SCMP_SYS(io_uring_setup), SCMP_SYS(io_uring_enter), SCMP_SYS(io_uring_register),
                           SCMP_SYS(sendfile), SCMP_SYS(clone3), SCMP_SYS(socketpair)})
        set = set && no(call, ENOSYS);
    set = set && no(SCMP_SYS(splice), EINVAL);
    // A thread shares the process; any other clone is a new process. (clone3 hides its flags in memory, so
    // it is refused whole: the C library then takes clone.)
    set = set && no(SCMP_SYS(clone), ENOSYS, SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0));
    set = set && no(SCMP_SYS(socket), EAFNOSUPPORT, SCMP_A0(SCMP_CMP_NE, AF_INET));
    constexpr scmp_datum_t kType = 0xf; // the kind, without SOCK_NONBLOCK and SOCK_CLOEXEC
    for (const int kind : {SOCK_RAW, SOCK_RDM, SOCK_SEQPACKET, SOCK_DCCP, SOCK_PACKET})
        set = set && no(SCMP_SYS(socket), EPROTONOSUPPORT,
                        SCMP_A1(SCMP_CMP_MASKED_EQ, kType, static_cast<scmp_datum_t>(kind)));
    set = set && no(SCMP_SYS(socket), EPROTONOSUPPORT, SCMP_A2(SCMP_CMP_GT, IPPROTO_UDP));
    set = set && seccomp_load(filter) == 0;
    seccomp_release(filter);
    return set;
}

// The filter refuses what it should: else the test would prove nothing.
bool refuses() {
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
    if (!confine() || !refuses()) {
        std::fputs("marblewood_confined: the filter is not in place\n", stderr);
        return 99;
    }
    return marblewood::app::command(argc, argv);
}
