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
    core::Deadlines::Entry idle_end;

    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    // A node may have closed it since its last use. What is written to such a connection may be lost after it
    // was written whole, so it is looked at before.
    bool fresh() {
        char byte;
        const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && in.empty();
    }
};

class Pool {
public:
    Pool(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget, Micros idle_close)
        : executor_(std::move(executor)), deadlines_(deadlines), budget_(budget),
          keep_(idle_close > 0 ? idle_close * 6 / 10 : 10'000'000) {} // closed well before the node does it

    // An idle connection to this address that still stands, or null.
    std::shared_ptr<Wire> reuse(const tcp::endpoint &to) {
        auto &idle = idle_[to];
        while (!idle.empty()) {
            auto wire = std::move(idle.back()); // the one used last: the others may grow old and go
            idle.pop_back();
            wire->idle_end.reset();
            if (wire->fresh()) return wire;
        }
        return nullptr;
    }
    // A new one, not connected yet; null where the budget is spent, after an idle one was given up for it.
    std::shared_ptr<Wire> open() {
        if (budget_.nodes_full()) drop_one();
        if (budget_.nodes_full()) return nullptr;
        auto wire = std::make_shared<Wire>(executor_);
        wire->lease = budget_.node();
        return wire;
    }
    void give_back(const tcp::endpoint &to, std::shared_ptr<Wire> wire) {
        wire->idle_end = deadlines_.in(keep_, [this, to, raw = wire.get()] {
            idle_[to].remove_if([raw](const auto &w) { return w.get() == raw; });
        });
        idle_[to].push_back(std::move(wire));
    }
    void close_idle(const tcp::endpoint &to) { idle_.erase(to); }

private:
    void drop_one() {
        for (auto &[to, idle] : idle_)
            if (!idle.empty()) return idle.pop_front();
    }

    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    Micros keep_;
    std::map<tcp::endpoint, std::list<std::shared_ptr<Wire>>> idle_;
};

} // namespace marblewood::net
