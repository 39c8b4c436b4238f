/// \file
/// Runs attempts at nodes that speak NVMe/TCP, over one association (an admin queue and an I/O queue) with
/// each node.
///
/// A data object is one block of the node's namespace; its key, 16 hexadecimal digits, is the logical block
/// address. The block is followed by 8 bytes of metadata (an extended logical block), which hold the length
/// of the value, so that a read returns a value of any size up to a block unchanged.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory_budget.hpp"
#include "core/node_port.hpp"
#include "marblewood/settings.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/pdu.hpp"
#include "net/sockets.hpp"

#include <deque>

namespace marblewood::net::nvme {

class Association;
struct CommandCompleted;

/// Runs its attempts over one association for each node.
class NodePort : public core::NodePort {
public:
    NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
             SocketBudget &budget, const Settings &settings, std::uint32_t block_bytes);
    /// Sets or changes the address of a node.
    void place(NodeId node, const tcp::endpoint &address, const NodeMapping &mapping);
    /// Removes a node that is no longer in the endpoint list, and closes its connections. The node must have
    /// no attempt in progress.
    void forget(NodeId node);

    asio::awaitable<core::AttemptResult> run(std::shared_ptr<core::Attempt> attempt) override;
    asio::awaitable<core::ProbeResult> probe(NodeId node) override;
    void close_idle(NodeId node) override;

private:
    void read_completion(CommandCompleted &&completed, bool write, core::AttemptResult &result) const;

    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    core::MemoryBudget &memory_;
    SocketBudget &budget_;
    Micros connect_timeout_;
    std::uint32_t block_bytes_;
    std::map<NodeId, std::shared_ptr<Association>> associations_;
};

/// The status of an attempt whose command was completed with `status`.
Status read_status(const Status16 &status);

} // namespace marblewood::net::nvme
