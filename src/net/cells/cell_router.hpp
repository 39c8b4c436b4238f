/// \file
/// Routes a broker's requests between the front ends and the dispatchers. As cells::CellMember decides, a
/// request is served here, forwarded to a broker of the volume's cell, held while the volume migrates, or
/// rejected. The router also transports the member's messages and stores its state.
#pragma once

#include "cells/cell_member.hpp"
#include "core/request_dispatcher.hpp"
#include "net/cells/layout.hpp"
#include "net/link/outbox.hpp"
#include "net/resp/node_port.hpp"

namespace marblewood::net::cells {

/// Runs on the I/O context's thread; not thread-safe.
class CellRouter : public core::RequestHandler, private marblewood::cells::QuotaStore {
public:
    /// Returns the dispatcher that serves a request in this process.
    using DispatcherSelector = std::function<core::RequestDispatcher &(const core::Request &)>;

    /// \param name this broker's name in the layout.
    /// \param listener accepts connections from the coordinator and other brokers.
    /// \throws std::runtime_error if the state on disk cannot be read.
    CellRouter(asio::io_context &io, core::Deadlines &deadlines, core::MemoryBudget &memory,
               SocketBudget &budget, const Settings &settings, Layout layout, const std::string &name,
               tcp::acceptor listener, std::uint64_t seed, DispatcherSelector select_dispatcher);

    /// Called whenever the set of nodes of the cell may have changed.
    std::function<void()> on_nodes_changed;
    /// Whether a node belongs to this broker's cell.
    bool owns_node(const std::string &node) const;
    /// Sets how many nodes of the cell accept requests.
    void set_ready_nodes(std::size_t count);
    /// Applies the map loaded from disk, if any, and starts to send heartbeats.
    void start();

    RequestId submit(std::shared_ptr<const core::Request> request, CompletionCallback on_complete,
                     std::function<void()> on_released = nullptr) override;
    void client_disconnected(RequestId id) override;
    void answer_now(RequestId id) override;

    /// Forwards an operator's call to the coordinator. Returns nothing if the coordinator does not reply in
    /// time.
    asio::awaitable<std::optional<link::OperatorReply>> call_coordinator(std::string name, std::string body);
    /// This broker's own status, as lines of `name value`.
    std::string status() const;
    /// Metrics in StatsD format, one per line.
    std::string stats() const;

private:
    using Id = std::uint64_t;
    struct PendingRequest {
        std::shared_ptr<const core::Request> request;
        CompletionCallback on_complete;
        marblewood::cells::RoutingRequest routing;
        core::RequestDispatcher *dispatcher = nullptr; ///< Set if served here.
        RequestId dispatched_id{};
        std::shared_ptr<core::Attempt> attempt; ///< Set if forwarded.
        bool answered = false;                  ///< Whether its value, forwarded here, is being streamed.
        bool waiting = false;                   ///< Whether the request waits for a migration.
        core::Deadlines::Entry wait_timeout;
        std::unique_ptr<core::MemoryBudget::Reservation> reservation; ///< Set if forwarded or waiting.
    };
    struct Counters {
        std::uint64_t forwarded = 0;
        std::uint64_t waited = 0;
        std::uint64_t rejected = 0;
    };

    // Interface to the cell member: cell_router.cpp.
    marblewood::cells::TransferredQuota take(VolumeId volume) override;
    void set(VolumeId volume, double limit_units, double reserve_units) override;
    core::RequestDispatcher &dispatcher_of(VolumeId volume) const;
    void on_frame(const link::Frame &frame);
    void perform(marblewood::cells::MemberActions &actions);
    void on_map_changed();
    void set_broker_addresses(const marblewood::cells::CellMap &map);
    void tick();
    NodeId node_id_of(const std::string &broker);

    // Requests: cell_router_requests.cpp.
    marblewood::cells::RoutingRequest routing_request(const core::Request &request) const;
    void route(Id id);
    void serve(Id id, const marblewood::cells::RoutingDecision &decision);
    void on_dispatched(Id id, core::Outcome outcome);
    void start_forwarding(Id id, const std::string &broker);
    void wait_for_migration(Id id);
    void stop_waiting(PendingRequest &pending);
    void reroute_waiting(VolumeId volume);
    void reject(Id id);
    void finish(Id id, core::Outcome outcome);
    asio::awaitable<void> forward(Id id, std::string broker, std::string cell,
                                  std::shared_ptr<const core::Request> received,
                                  marblewood::cells::RoutingRequest routing);
    asio::awaitable<core::AttemptResult> attempt_at(Id id, std::string broker,
                                                    std::shared_ptr<const core::Request> request);
    void on_stream_began(Id id, std::shared_ptr<core::Stream> stream);
    void on_forwarded(Id id, const std::string &broker, const core::Request &request,
                      core::AttemptResult result);
    void request_newer_map(const std::string &broker);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    core::MemoryBudget &memory_;
    const Settings &settings_;
    const Layout layout_;
    DispatcherSelector select_dispatcher_;
    marblewood::cells::CellMember member_;
    link::PeerTransport transport_;
    link::StateFile state_file_;
    link::Outbox outbox_;
    resp::NodePort broker_port_; ///< Connects to other brokers as their client.
    std::map<std::string, NodeId> node_ids_;
    std::map<std::string, int> forwarded_by_cell_;
    std::map<Id, PendingRequest> pending_;
    std::map<VolumeId, std::vector<Id>> waiting_by_volume_;
    std::size_t waiting_ = 0;
    Id last_id_ = 0;
    std::map<std::uint64_t, std::function<void(link::OperatorReply)>> operator_calls_;
    std::uint64_t last_call_ = 0;
    std::map<std::string, Micros> map_requested_at_; ///< By broker.
    core::Deadlines::Entry next_tick_;
    Counters counters_;
};

} // namespace marblewood::net::cells
