// Processes that an experiment starts, and what they need of the machine.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace marblewood::lab {

/// A loopback port that nobody holds at the moment, below those that the system gives to clients.
int free_port();
/// The broker's program, which lies beside the laboratory's.
std::string program_path();

/// A child process, which ends with its parent. What it writes goes to `log`.
struct Process {
    std::vector<std::string> command;
    std::string log;
    pid_t pid = -1;
    void start();
    void kill(); // outright, and waits for its end
    void signal(int number) const;
};

} // namespace marblewood::lab
