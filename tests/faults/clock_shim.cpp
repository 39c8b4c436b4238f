/// \file
/// A library for LD_PRELOAD that shifts the program's wall clock by the number of seconds in the file named
/// by CLOCK_SHIM_OFFSET (a 64-bit integer in the machine's byte order). The file is read again at each call.
/// All other clocks are unchanged.
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

std::int64_t offset_seconds() {
    const char *const path = std::getenv("CLOCK_SHIM_OFFSET");
    if (!path)
        return 0;
    const int saved_errno = errno;
    const int fd = ::open(path, O_RDONLY | O_CLOEXEC);
    std::int64_t seconds = 0;
    if (fd >= 0) {
        if (::read(fd, &seconds, sizeof seconds) != sizeof seconds)
            seconds = 0;
        ::close(fd);
    }
    errno = saved_errno;
    return seconds;
}

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, struct timespec *out) noexcept {
    const long result = ::syscall(SYS_clock_gettime, clock, out);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        out->tv_sec += offset_seconds();
    return static_cast<int>(result);
}

int gettimeofday(struct timeval *out, void *) noexcept {
    struct timespec now {};
    if (clock_gettime(CLOCK_REALTIME, &now) != 0)
        return -1;
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) noexcept {
    struct timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    if (out)
        *out = now.tv_sec;
    return now.tv_sec;
}
}
