/// \file
/// Serves the list of nodes and the configuration documents over HTTP, with the same protocol as discovery:
/// complete lists, and long polls for changes. distribution::Delivery decides when to answer each caller and
/// with what.
///
/// A malformed or too long call is answered with an error and its connection is closed. A connection on which
/// a call does not arrive in time, or that exceeds the limit, is closed. Callers cannot change a list.
///
/// Not thread-safe: everything runs on the io_context's only thread.
#pragma once

#include "core/mailbox.hpp"
#include "list_distribution/list_call.hpp"
#include "net/http.hpp"

#include <array>
#include <list>
#include <unordered_map>

namespace marblewood::list_distribution {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Counts since the start; bytes are those of HTTP messages.
struct ListServerMetrics {
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;  ///< connections beyond the limit
    std::uint64_t malformed = 0; ///< calls
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t peak_second_bytes = 0; ///< maximum of the bytes sent within a second of the clock
};

struct ListServerLimits {
    distribution::DeliveryLimits delivery;
    std::size_t removed_members = 0; ///< maximum of removed members in a change log
    std::size_t callers = 0;         ///< maximum of simultaneous connections
};

class ListServer {
public:
    /// Serves on `acceptor` until the io_context is stopped.
    ListServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
               const ListServerLimits &limits);

    /// Publishes an update of the channel's source. One that is not newer changes nothing.
    distribution::UpdateResult publish(Channel channel, const distribution::Update &update);

    const distribution::ChangeLog &log(Channel channel) const { return served_by(channel).log; }
    const distribution::Delivery &delivery(Channel channel) const { return served_by(channel).delivery; }
    const distribution::ReportBook &reports() const { return reports_; }
    const ListServerMetrics &metrics() const { return metrics_; }
    std::size_t callers() const { return callers_.size(); }

private:
    /// The state of one channel. Its delivery refers to its log, so it must not be copied.
    struct ServedChannel {
        ServedChannel(const ServedChannel &) = delete;
        ServedChannel(const ListServerLimits &limits, Micros now)
            : log(limits.removed_members), delivery(log, limits.delivery, now) {}
        distribution::ChangeLog log;
        distribution::Delivery delivery;
    };
    /// One connection. It has a separate caller id in each channel.
    struct Caller {
        explicit Caller(tcp::socket accepted)
            : socket(std::move(accepted)), responses(socket.get_executor()) {}
        void close();
        tcp::socket socket;
        std::array<distribution::CallerId, kChannelCount> ids{};
        core::Mailbox<std::string> responses;
    };
    using CallerIterator = std::list<Caller>::iterator;

    const ServedChannel &served_by(Channel channel) const {
        return channels_[static_cast<std::size_t>(channel)];
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> pause_after_failed_accept();
    void add_caller(tcp::socket socket);
    void remove_caller(CallerIterator caller);

    asio::awaitable<void> serve(CallerIterator caller);
    asio::awaitable<bool> serve_call(Caller &caller, std::string &received);
    asio::awaitable<bool> serve_list(Caller &caller, const ListCall &call);
    asio::awaitable<std::optional<net::http::Request>> receive(Caller &caller, std::string &received);
    asio::awaitable<bool> send(Caller &caller, std::string response);

    void record_report(const Report &report);
    void deliver();
    void count_sent(std::size_t bytes);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::acceptor acceptor_;
    std::array<ServedChannel, kChannelCount> channels_;
    distribution::ReportBook reports_;
    const std::size_t max_callers_;
    std::list<Caller> callers_;
    std::array<std::unordered_map<distribution::CallerId, Caller *>, kChannelCount> callers_by_id_;
    core::Deadlines::Entry next_delivery_;
    ListServerMetrics metrics_;
    Micros current_second_ = 0;
    std::uint64_t current_second_bytes_ = 0;
};

} // namespace marblewood::list_distribution
