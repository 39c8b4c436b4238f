/// \file
/// Child processes of an experiment, and the ports and program path that they need.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace marblewood::lab {

/// Returns a loopback port that is currently free and below the range of ephemeral ports.
int free_port();
/// Path of the broker program, in the same folder as this one.
std::string program_path();

/// A child process that the kernel kills when its parent ends. Its stdout and stderr are appended to `log`.
struct Process {
    std::vector<std::string> command;
    std::string log;
    pid_t pid = -1;
    void start();
    /// Sends SIGKILL and waits for the process to end.
    void kill();
    void signal(int number) const;
};

} // namespace marblewood::lab
