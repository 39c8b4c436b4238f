/// \file
/// Defers the delivery of a signal until the program has installed a handler for it.
#pragma once

#include <csignal>

namespace marblewood::core {

/// Blocks a signal whose default action would terminate the process, from construction until unblock(). A
/// signal that arrives in between is delivered by unblock(). To be created before any other thread is
/// started, since threads inherit the signal mask.
class BlockedSignal {
public:
    explicit BlockedSignal(int number) {
        ::sigemptyset(&set_);
        ::sigaddset(&set_, number);
        ::sigprocmask(SIG_BLOCK, &set_, nullptr);
    }
    /// To be called after the handler is installed.
    void unblock() { ::sigprocmask(SIG_UNBLOCK, &set_, nullptr); }

private:
    sigset_t set_{};
};

} // namespace marblewood::core
