// Discovery in a scale experiment: a list of nodes that changes, served by the shipped list server without a
// budget. It remembers when it published what.
#pragma once

#include "lab/scale/plan.hpp"
#include "list_distribution/list_server.hpp"

#include <random>

namespace marblewood::lab::scale {

namespace asio = boost::asio;

/// One change of the list, as it was published.
struct Published {
    distribution::Revision revision = 0;
    Micros at = 0;           // Unix time in us
    std::string event;       // that it belongs to; empty: of a phase
    std::size_t entries = 0; // that it changes
};

class ListSource {
public:
    ListSource(asio::io_context &io, core::Deadlines &deadlines, const FleetSize &size, std::uint64_t seed);

    int port() const { return port_; }
    /// The whole list as it is now, in discovery's form.
    std::string whole() const;
    /// One node starts anew, drains, or is back: an entry changes.
    void change_one();
    void remove(int count, const std::string &event);
    void bring_back(const std::string &event);

    const std::vector<Published> &published() const { return published_; }
    const list_distribution::ListServerMetrics &figures() const { return server_.metrics(); }
    const distribution::Delivery &delivery() const {
        return server_.delivery(list_distribution::Channel::Nodes);
    }

private:
    struct Node {
        std::string id, fixed; // `fixed`: all of its entry but the start and the phase
        Micros started = 0;
        distribution::Phase phase = distribution::Phase::Up;
    };
    static distribution::Member member(const Node &node);
    void publish(const std::vector<std::size_t> &changed, const std::string &event, bool complete = false);

    core::Deadlines &deadlines_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::size_t> removed_;
    std::vector<Published> published_;
    int port_ = 0;
    list_distribution::ListServer server_;
};

} // namespace marblewood::lab::scale
