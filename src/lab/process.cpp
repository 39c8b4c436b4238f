#include "lab/process.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace marblewood::lab {

int free_port() {
    static int last = 20'000 + ::getpid() * 53 % 11'000;
    for (;;) {
        last = last < 32'000 ? last + 1 : 20'000;
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(last));
        const bool good = ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
        ::close(fd);
        if (good)
            return last;
    }
}
std::string program_path() {
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / "marblewood";
}

void Process::start() {
    std::vector<char *> argv;
    for (std::string &word : command)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid = ::fork();
    if (pid != 0)
        return;
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (out < 0 || ::dup2(out, 2) < 0 || ::dup2(out, 1) < 0)
        ::_exit(127);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(127);
    for (int fd = 3; fd < 1024; ++fd)
        ::close(fd);
    ::execv(argv[0], argv.data());
    ::_exit(127);
}
void Process::signal(int number) const {
    if (pid > 0)
        ::kill(pid, number);
}
void Process::kill() {
    if (pid <= 0)
        return;
    ::kill(pid, SIGKILL);
    ::waitpid(std::exchange(pid, -1), nullptr, 0);
}

} // namespace marblewood::lab
