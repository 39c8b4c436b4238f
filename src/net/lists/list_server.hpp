// Serves a list of members over HTTP in discovery's form: the whole list, and long polls for what has
// changed. Which caller gets what and when is decided by distribution::Delivery.
//
// A call that is malformed, too long or slow to come is answered with an error, or closed; so is a caller
// beyond the most. Nothing that a caller sends changes the list.
#pragma once

#include "core/mailbox.hpp"
#include "distribution/delivery.hpp"
#include "net/http.hpp"

#include <list>

namespace marblewood::net::lists {

struct ListServerFigures { // counts since the start; bytes are those of HTTP messages
    std::uint64_t accepted = 0, turned_away = 0, malformed = 0;
    std::uint64_t received_bytes = 0, sent_bytes = 0;
    std::uint64_t peak_second_bytes = 0; // the most that was sent within one second of the clock
};

class ListServer {
public:
    ListServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
               distribution::DeliveryLimits limits, std::size_t most_removed,
               std::size_t most_callers);

    /// What a source has answered. An older one changes nothing.
    distribution::Taken take(const distribution::Update &update);

    const distribution::ChangeLog &log() const { return log_; }
    const distribution::Delivery &delivery() const { return delivery_; }
    const ListServerFigures &figures() const { return figures_; }

private:
    struct Caller {
        Caller(tcp::socket s, distribution::CallerId number)
            : socket(std::move(s)), id(number), answers(socket.get_executor()) {}
        tcp::socket socket;
        const distribution::CallerId id;
        core::Mailbox<std::string> answers;
    };
    using CallerAt = std::list<Caller>::iterator;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(CallerAt caller);
    asio::awaitable<bool> serve_call(Caller &caller, std::string &in);
    asio::awaitable<std::optional<http::Request>> receive(Caller &caller, std::string &in);
    asio::awaitable<bool> send(Caller &caller, std::string text);
    void deliver();
    void count_sent(std::size_t bytes);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::acceptor acceptor_;
    distribution::ChangeLog log_;
    distribution::Delivery delivery_;
    const std::size_t most_callers_;
    std::list<Caller> callers_;
    std::unordered_map<distribution::CallerId, Caller *> by_id_;
    core::Deadlines::Entry next_;
    ListServerFigures figures_;
    Micros second_ = 0;
    std::uint64_t second_bytes_ = 0;
};

} // namespace marblewood::net::lists
