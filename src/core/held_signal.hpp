// A signal that must wait until the program can take it.
#pragma once

#include <csignal>

namespace marblewood::core {

/// Holds a signal back, whose default action would end the process, from construction until release(). One
/// that comes meanwhile is delivered then.
class HeldSignal {
public:
    explicit HeldSignal(int number) {
        ::sigemptyset(&held_);
        ::sigaddset(&held_, number);
        ::sigprocmask(SIG_BLOCK, &held_, nullptr);
    }
    /// To be called once the program has a handler for it.
    void release() { ::sigprocmask(SIG_UNBLOCK, &held_, nullptr); }

private:
    sigset_t held_{};
};

} // namespace marblewood::core
