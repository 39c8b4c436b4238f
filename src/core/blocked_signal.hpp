/// \file
/// Defers a signal until the program has a handler for it.
#pragma once

#include <csignal>

namespace marblewood::core {

/// Blocks a signal whose default action would end the process, from construction until unblock(); one that
/// arrives meanwhile is delivered then. To be created before any other thread is started.
class BlockedSignal {
public:
    explicit BlockedSignal(int number) {
        ::sigemptyset(&set_);
        ::sigaddset(&set_, number);
        ::sigprocmask(SIG_BLOCK, &set_, nullptr);
    }
    /// To be called once the program has a handler.
    void unblock() { ::sigprocmask(SIG_UNBLOCK, &set_, nullptr); }

private:
    sigset_t set_{};
};

} // namespace marblewood::core
