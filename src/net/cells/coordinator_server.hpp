/// \file
/// The process of the cell coordinator: its state machine (cells::CellCoordinator) with a transport to the
/// brokers, a state on disk, and operators' calls.
#pragma once

#include "net/cells/layout.hpp"
#include "net/link/outbox.hpp"

namespace marblewood::net::cells {

/// Runs on the I/O context's thread; not thread-safe.
class CoordinatorServer {
public:
    /// \param listener where brokers connect.
    /// \param seed random for each start; also the origin of the epochs handed out.
    /// \throws std::runtime_error if the state on disk cannot be read.
    CoordinatorServer(asio::io_context &io, core::Deadlines &deadlines, const Layout &layout,
                      tcp::acceptor listener, std::uint64_t seed);

    /// Carries out an operator's call, made here or passed on by a broker. docs/cells.md lists the calls.
    link::OperatorReply handle_call(const std::string &name, const std::string &body);
    /// Takes another layout; a layout that cannot be taken is logged and changes nothing.
    void reload_layout(const Layout &layout);
    /// Metrics, a line each, in the form of StatsD.
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
