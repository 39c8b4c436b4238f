/// \file
/// A pool of TCP connections to nodes. Each connection has one user at a time.
#pragma once

#include "net/sockets.hpp"

#include <list>
#include <map>
#include <memory>

namespace marblewood::net {

/// One TCP connection to a node.
struct NodeConnection {
    explicit NodeConnection(asio::any_io_executor executor) : socket(std::move(executor)) {}
    tcp::socket socket;
    std::string received; ///< bytes that were read and not parsed yet
    SocketBudget::Lease lease;
    Micros returned_at = 0;            ///< when its last user returned it to the pool, Unix time
    core::Deadlines::Entry idle_timer; ///< closes the connection while it is in the pool

    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    /// Closes the connection after `timeout`, unless the socket then holds bytes that are not read yet. The
    /// returned entry cancels this.
    core::Deadlines::Entry close_if_silent(core::Deadlines &deadlines, Micros timeout) {
        return deadlines.in(timeout, [this] {
            boost::system::error_code ignored;
            if (socket.available(ignored) == 0)
                close();
        });
    }
    /// Whether the node has neither closed the connection nor sent unexpected bytes since the last use.
    /// Checked before each use, because a request written to a connection that the node has closed can be
    /// lost even if the write succeeds.
    bool is_reusable() { return received.empty() && is_open_and_silent(socket); }
};

/// The idle connections to all nodes of a node port, and the opening of new ones within the socket budget.
class Pool {
public:
    Pool(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget, Micros idle_close)
        : executor_(std::move(executor)), deadlines_(deadlines), budget_(budget),
          idle_timeout_(idle_close > 0 ? idle_close * 6 / 10 : 10'000'000) {
    } // closes an idle connection well before the node does

    /// Removes a reusable idle connection to `to` from the pool; null if there is none.
    std::shared_ptr<NodeConnection> reuse(const tcp::endpoint &to) {
        for (auto entry = idle_.find(to); entry != idle_.end(); entry = idle_.find(to)) {
            // Takes the connection that has been idle longest. A node that closes a connection after a
            // response, or sends further bytes after it, does so some milliseconds later; the longer the
            // connection was idle, the more likely is_reusable() sees that.
            auto connection = std::move(entry->second.front());
            entry->second.pop_front();
            if (entry->second.empty())
                idle_.erase(entry);
            connection->idle_timer.reset();
            if (connection->is_reusable())
                return connection;
        }
        return nullptr;
    }
    /// A new, unconnected connection. Closes one idle connection if the budget for node sockets is exhausted;
    /// null if it still is.
    std::shared_ptr<NodeConnection> open() {
        if (budget_.nodes_full())
            close_one_idle();
        if (budget_.nodes_full())
            return nullptr;
        auto connection = std::make_shared<NodeConnection>(executor_);
        connection->lease = budget_.node();
        return connection;
    }
    /// Returns a connection to the pool, which closes it if it is not used in time.
    void give_back(const tcp::endpoint &to, std::shared_ptr<NodeConnection> connection) {
        connection->returned_at = deadlines_.clock.now();
        connection->idle_timer = deadlines_.in(idle_timeout_, [this, to, raw = connection.get()] {
            const auto entry = idle_.find(to);
            if (entry == idle_.end())
                return;
            entry->second.remove_if([raw](const auto &idle) { return idle.get() == raw; });
            if (entry->second.empty())
                idle_.erase(entry);
        });
        idle_[to].push_back(std::move(connection));
    }
    void close_idle(const tcp::endpoint &to) { idle_.erase(to); }

private:
    void close_one_idle() {
        if (idle_.empty())
            return;
        const auto entry = idle_.begin();
        entry->second.pop_front();
        if (entry->second.empty())
            idle_.erase(entry);
    }

    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    Micros idle_timeout_;
    std::map<tcp::endpoint, std::list<std::shared_ptr<NodeConnection>>> idle_; ///< holds no empty list
};

} // namespace marblewood::net
