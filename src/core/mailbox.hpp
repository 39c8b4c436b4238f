/// \file
/// A queue that a coroutine waits on.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace marblewood::core {

/// An unbounded first-in first-out queue with one consumer. All calls come from the executor's one thread.
template <typename T> class Mailbox {
public:
    explicit Mailbox(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

    /// Never blocks. A waiting consumer is resumed by way of the executor, not within this call.
    void put(T value) {
        values_.push_back(std::move(value));
        if (auto resume_consumer = std::exchange(resume_consumer_, nullptr))
            resume_consumer();
    }
    bool empty() const { return values_.empty(); }

    /// Removes the oldest value; waits while there is none. At most one call may wait.
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
                // std::function needs a copyable target, which the handler is not.
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                resume_consumer_ = [this, shared] {
                    boost::asio::post(executor_, [shared] { std::move (*shared)(); });
                };
            },
            boost::asio::use_awaitable);
    }

    boost::asio::any_io_executor executor_;
    std::deque<T> values_;
    std::function<void()> resume_consumer_; // set while take() waits
};

} // namespace marblewood::core
