// A long value on its way from a node to a client: the port puts pieces in, the front takes them out. It
// holds little; when that is full the port waits, and so the node.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory.hpp"

#include <string>

namespace marblewood::core {

class Stream {
public:
    static constexpr std::size_t kMostKept = 16 * 1024;

    Stream(boost::asio::any_io_executor executor, Memory &memory, std::size_t bytes)
        : length(bytes), came_(executor), room_(executor), share_(memory) {}
    const std::size_t length; // of the whole value

    // The port's side. False: nobody takes it any more.
    boost::asio::awaitable<bool> put(std::string piece) {
        kept_ += piece;
        share_.set(kept_.size());
        wake(came_);
        while (!abandoned_ && kept_.size() >= kMostKept)
            co_await room_.take();
        co_return !abandoned_;
    }
    void end(bool whole) {
        if (ended_)
            return;
        ended_ = true;
        whole_ = whole;
        wake(came_);
    }

    // The front's side. Empty: that was all, or all that there will be.
    boost::asio::awaitable<std::string> take() {
        while (kept_.empty() && !ended_)
            co_await came_.take();
        std::string piece = std::exchange(kept_, {});
        share_.set(0);
        wake(room_);
        co_return piece;
    }
    bool whole() const { return whole_; }
    void abandon() {
        abandoned_ = true;
        wake(room_);
    }

private:
    static void wake(Mailbox<bool> &box) {
        if (box.empty())
            box.put(true);
    }
    Mailbox<bool> came_, room_;
    std::string kept_;
    Memory::Share share_;
    bool ended_ = false, whole_ = false, abandoned_ = false;
};

} // namespace marblewood::core
