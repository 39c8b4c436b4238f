/// \file
/// Forwards a long value from a node to a client while it is being received.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory_budget.hpp"

#include <cstddef>
#include <string>
#include <utility>

namespace marblewood::core {

/// A bounded buffer with one writer (a node port) and one reader (a front end), both coroutines on the event
/// loop's thread. While the buffer is full, the writer waits and reads nothing more from the node.
class Stream {
public:
    static constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;
    static constexpr std::size_t kBufferBytesWhenShort = std::size_t{8} * 1024; ///< while memory is short

    /// \param total_bytes length of the complete value.
    Stream(const boost::asio::any_io_executor &executor, MemoryBudget &memory, std::size_t total_bytes)
        : length(total_bytes), data_ready_(executor), space_ready_(executor), memory_(memory),
          reservation_(memory) {}

    const std::size_t length; ///< length of the complete value in bytes

    /// How many bytes the writer may read from the node at one time, and the buffer may hold before it waits.
    std::size_t buffer_bytes() const { return memory_.is_short() ? kBufferBytesWhenShort : kBufferBytes; }

    /// Writer: appends `bytes`, then waits while the buffer is full. Returns false if the reader has
    /// abandoned the stream.
    boost::asio::awaitable<bool> put(std::string bytes) {
        buffer_ += bytes;
        reservation_.resize(buffer_.size());
        wake(data_ready_);
        while (!abandoned_ && buffer_.size() >= buffer_bytes())
            co_await space_ready_.take();
        co_return !abandoned_;
    }
    /// Writer: ends the stream. `complete`: the complete value was written. Calls after the first one have no
    /// effect.
    void finish(bool complete) {
        if (finished_)
            return;
        finished_ = true;
        complete_ = complete;
        wake(data_ready_);
    }

    /// Reader: waits for bytes and returns all that are buffered; an empty string once the stream has ended.
    boost::asio::awaitable<std::string> take() {
        while (buffer_.empty() && !finished_)
            co_await data_ready_.take();
        std::string bytes = std::exchange(buffer_, {});
        reservation_.resize(0);
        wake(space_ready_);
        co_return bytes;
    }
    /// Whether the stream has ended after the complete value.
    bool is_complete() const { return complete_; }
    /// Reader: discards the rest of the value and releases a waiting writer.
    void abandon() {
        abandoned_ = true;
        wake(space_ready_);
    }

private:
    static void wake(Mailbox<bool> &waiter) {
        if (waiter.empty())
            waiter.put(true);
    }

    Mailbox<bool> data_ready_;
    Mailbox<bool> space_ready_;
    std::string buffer_;
    const MemoryBudget &memory_;
    MemoryBudget::Reservation reservation_;
    bool finished_ = false;
    bool complete_ = false;
    bool abandoned_ = false;
};

} // namespace marblewood::core
