// Connections to nodes, kept for reuse, one user at a time. Shared by the node ports of all wires.
#pragma once

#include "net/sockets.hpp"

#include <list>
#include <map>
#include <memory>

namespace marblewood::net {

struct Wire { // one connection to a node
    explicit Wire(asio::any_io_executor executor) : socket(std::move(executor)) {}
    tcp::socket socket;
    std::string in; // read, not yet taken
    SocketBudget::Lease lease;
    Micros returned = 0; // when its last user gave it back
    core::Deadlines::Entry idle_end;

    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    // Closes it at the end of the time, unless something has come that is only not read yet.
    core::Deadlines::Entry expect_more(core::Deadlines &deadlines, Micros within) {
        return deadlines.in(within, [this] {
            boost::system::error_code ignored;
            if (socket.available(ignored) == 0)
                close();
        });
    }
    // A node may have closed it since its last use. What is written to such a connection may be lost after it
    // was written whole, so it is looked at before.
    bool fresh() { return in.empty() && quiet(socket); }
};

class Pool {
public:
    Pool(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget, Micros idle_close)
        : executor_(std::move(executor)), deadlines_(deadlines), budget_(budget),
          keep_(idle_close > 0 ? idle_close * 6 / 10 : 10'000'000) {} // closed well before the node does it

    // An idle connection to this address that still stands, or null.
    std::shared_ptr<Wire> reuse(const tcp::endpoint &to) {
        for (auto at = idle_.find(to); at != idle_.end(); at = idle_.find(to)) {
            // The one that has rested the longest: a node that ends a connection after an answer, or sends
            // more behind it, does so some milliseconds later, and it is seen only once that has come.
            auto wire = std::move(at->second.front());
            at->second.pop_front();
            if (at->second.empty())
                idle_.erase(at);
            wire->idle_end.reset();
            if (wire->fresh())
                return wire;
        }
        return nullptr;
    }
    // A new one, not connected yet; null where the budget is spent, after an idle one was given up for it.
    std::shared_ptr<Wire> open() {
        if (budget_.nodes_full())
            drop_one();
        if (budget_.nodes_full())
            return nullptr;
        auto wire = std::make_shared<Wire>(executor_);
        wire->lease = budget_.node();
        return wire;
    }
    void give_back(const tcp::endpoint &to, std::shared_ptr<Wire> wire) {
        wire->returned = deadlines_.clock.now();
        wire->idle_end = deadlines_.in(keep_, [this, to, raw = wire.get()] {
            const auto at = idle_.find(to);
            if (at == idle_.end())
                return;
            at->second.remove_if([raw](const auto &w) { return w.get() == raw; });
            if (at->second.empty())
                idle_.erase(at);
        });
        idle_[to].push_back(std::move(wire));
    }
    void close_idle(const tcp::endpoint &to) { idle_.erase(to); }

private:
    void drop_one() {
        if (idle_.empty())
            return;
        const auto at = idle_.begin();
        at->second.pop_front();
        if (at->second.empty())
            idle_.erase(at);
    }

    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    Micros keep_;
    std::map<tcp::endpoint, std::list<std::shared_ptr<Wire>>> idle_; // no empty list
};

} // namespace marblewood::net
