// What a coroutine waits on: values are put in by others on the same thread, taken out in order.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace marblewood::core {

template <typename T> class Mailbox {
public:
    explicit Mailbox(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

    void put(T value) {
        values_.push_back(std::move(value));
        if (auto waiter = std::exchange(waiter_, nullptr))
            waiter();
    }
    bool empty() const { return values_.empty(); }
    boost::asio::awaitable<T> take() {
        while (values_.empty())
            co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
                [this](auto handler) {
                    auto kept = std::make_shared<decltype(handler)>(std::move(handler));
                    waiter_ = [this, kept] { boost::asio::post(executor_, [kept] { std::move (*kept)(); }); };
                },
                boost::asio::use_awaitable);
        T value = std::move(values_.front());
        values_.pop_front();
        co_return value;
    }

private:
    boost::asio::any_io_executor executor_;
    std::deque<T> values_;
    std::function<void()> waiter_;
};

} // namespace marblewood::core
