/// \file
/// A queue whose consumer is a coroutine.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace marblewood::core {

/// An unbounded FIFO queue with one consumer. All calls must come from the executor's single thread.
template <typename T> class Mailbox {
public:
    explicit Mailbox(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

    /// Appends a value; never blocks. A waiting consumer is resumed through the executor, not within this
    /// call.
    void put(T value) {
        values_.push_back(std::move(value));
        if (auto resume_consumer = std::exchange(resume_consumer_, nullptr))
            resume_consumer();
    }
    bool empty() const { return values_.empty(); }

    /// Removes and returns the oldest value; waits while the queue is empty. At most one call may wait at a
    /// time.
    boost::asio::awaitable<T> take() {
        while (values_.empty())
            co_await wait_for_value();
        T value = std::move(values_.front());
        values_.pop_front();
        co_return value;
    }

private:
    auto wait_for_value() {
        return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
            [this](auto handler) {
                // std::function requires a copyable target, and the handler can only be moved.
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                resume_consumer_ = [this, shared] {
                    boost::asio::post(executor_, [shared] { std::move (*shared)(); });
                };
            },
            boost::asio::use_awaitable);
    }

    boost::asio::any_io_executor executor_;
    std::list<T> values_;                   // takes no memory while it is empty
    std::function<void()> resume_consumer_; // not null while take() waits
};

} // namespace marblewood::core
