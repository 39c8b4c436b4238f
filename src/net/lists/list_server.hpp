// Serves nodes, and documents of the configuration, over HTTP in discovery's form: the whole of it, and long
// polls for what has changed. Which caller gets what and when is decided by distribution::Delivery.
//
// A call that is malformed, too long or slow to come is answered with an error, or closed; so is a caller
// beyond the most. Nothing that a caller sends changes the list.
#pragma once

#include "core/mailbox.hpp"
#include "distribution/delivery.hpp"
#include "net/http.hpp"
#include "net/lists/codec.hpp"

#include <array>
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
               distribution::DeliveryLimits limits, std::size_t most_removed, std::size_t most_callers);

    /// What a source has answered. An older one changes nothing.
    distribution::Taken take(Channel channel, const distribution::Update &update);

    const distribution::ChangeLog &log(Channel channel) const { return at(channel).log; }
    const distribution::Delivery &delivery(Channel channel) const { return at(channel).delivery; }
    const distribution::ReportBook &reports() const { return reports_; }
    const ListServerFigures &figures() const { return figures_; }
    std::size_t callers() const { return callers_.size(); }

private:
    struct Served {                      // one channel
        Served(const Served &) = delete; // the one refers to the other
        Served(distribution::DeliveryLimits limits, std::size_t most_removed, Micros now)
            : log(most_removed), delivery(log, limits, now) {}
        distribution::ChangeLog log;
        distribution::Delivery delivery;
    };
    struct Caller { // one connection
        explicit Caller(tcp::socket s) : socket(std::move(s)), answers(socket.get_executor()) {}
        tcp::socket socket;
        std::array<distribution::CallerId, kChannels> ids{}; // in each channel
        core::Mailbox<std::string> answers;
    };
    const Served &at(Channel channel) const { return served_[static_cast<std::size_t>(channel)]; }
    using CallerAt = std::list<Caller>::iterator;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(CallerAt caller);
    asio::awaitable<bool> serve_call(Caller &caller, std::string &in);
    asio::awaitable<std::optional<http::Request>> receive(Caller &caller, std::string &in);
    asio::awaitable<bool> send(Caller &caller, std::string text);
    void take_report(const Report &report);
    void deliver();
    void count_sent(std::size_t bytes);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::acceptor acceptor_;
    std::array<Served, kChannels> served_;
    distribution::ReportBook reports_;
    const std::size_t most_callers_;
    std::list<Caller> callers_;
    std::array<std::unordered_map<distribution::CallerId, Caller *>, kChannels> by_id_;
    core::Deadlines::Entry next_;
    ListServerFigures figures_;
    Micros second_ = 0;
    std::uint64_t second_bytes_ = 0;
};

} // namespace marblewood::net::lists
