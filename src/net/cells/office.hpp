// The keeper's process: its decisions (cells::Keeper) with a link to the brokers, a state on disk, and
// operators.
#pragma once

#include "net/cells/layout.hpp"
#include "net/link/outbox.hpp"

namespace marblewood::net::cells {

class Office {
public:
    Office(asio::io_context &io, core::Deadlines &deadlines, const Layout &layout, tcp::acceptor listener,
           std::uint64_t seed);

    // An operator's call. What a broker passes on comes here, too.
    link::Reply call(const std::string &what, const std::string &body);
    // A layout read again; what can't be taken is said in the log, and nothing changes.
    bool relayout(const Layout &layout);
    std::string stats() const; // figures, a line each, in the form of StatsD

private:
    void heard(const link::Frame &frame);
    void perform(std::vector<marblewood::cells::KeeperAction> &actions);
    void tick();
    std::string list() const;
    void place_brokers();

    core::Deadlines &deadlines_;
    marblewood::cells::Keeper keeper_;
    link::Link link_;
    link::StateFile file_;
    link::Outbox outbox_;
    core::Deadlines::Entry tick_;
};

} // namespace marblewood::net::cells
