/// \file
/// The cell coordinator's server: connects its state machine (cells::CellCoordinator) to the transport to the
/// brokers, the state file and the operators' calls.
#pragma once

#include "net/cells/layout.hpp"
#include "net/link/outbox.hpp"

namespace marblewood::net::cells {

/// Runs on the I/O context's thread; not thread-safe.
class CoordinatorServer {
public:
    /// \param listener accepts connections from brokers.
    /// \param seed a random number, new for each start of the coordinator. It seeds the transport's random
    /// delays and is the `origin` of every epoch that the coordinator assigns.
    /// \throws std::runtime_error if the state on disk cannot be read.
    CoordinatorServer(asio::io_context &io, core::Deadlines &deadlines, const Layout &layout,
                      tcp::acceptor listener, std::uint64_t seed);

    /// Carries out an operator's call, received directly or forwarded by a broker. docs/cells.md lists the
    /// calls.
    link::OperatorReply handle_call(const std::string &name, const std::string &body);
    /// Replaces the layout. If the coordinator refuses it, the reason is logged and nothing changes.
    void reload_layout(const Layout &layout);
    /// Metrics in StatsD format, one per line.
    std::string stats() const;

private:
    using OperatorResult = marblewood::cells::CellCoordinator::OperatorResult;

    void on_frame(const link::Frame &frame);
    void perform(marblewood::cells::CoordinatorActions &actions);
    void tick();
    void set_broker_addresses();
    OperatorResult volume_call(const std::string &name, const std::string &body,
                               marblewood::cells::CoordinatorActions &actions);
    OperatorResult cell_call(const std::string &name, const std::string &cell,
                             marblewood::cells::CoordinatorActions &actions);
    std::string list() const;

    core::Deadlines &deadlines_;
    marblewood::cells::CellCoordinator coordinator_;
    link::PeerTransport transport_;
    link::StateFile state_file_;
    link::Outbox outbox_;
    core::Deadlines::Entry next_tick_;
};

} // namespace marblewood::net::cells
