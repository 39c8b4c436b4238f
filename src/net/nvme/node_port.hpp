// Runs attempts at nodes that speak NVMe/TCP: one association (an admin and an I/O queue) with each.
//
// A piece of data is one block of the node's namespace, at the logical block that the piece's 16 hexadecimal
// digits name. The block carries 8 bytes of metadata behind it (an extended logical block), which hold the
// value's length, so that a value of any size up to a block comes back as it was.
#pragma once

#include "core/mailbox.hpp"
#include "core/node_port.hpp"
#include "marblewood/settings.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/pdu.hpp"
#include "net/sockets.hpp"

#include <deque>

namespace marblewood::net::nvme {

inline constexpr std::size_t kMetadata = 8;

class Association;

class NodePort : public core::NodePort {
public:
    NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget,
             const Settings &settings, std::uint32_t block_bytes);
    void place(NodeId node, const tcp::endpoint &address, const NodeMapping &mapping);
    void forget(NodeId node); // it is gone, and nothing is out there

    asio::awaitable<core::AttemptResult> run(std::shared_ptr<core::Attempt> attempt) override;
    asio::awaitable<core::ProbeResult> probe(NodeId node) override;
    void close_idle(NodeId node) override;

private:
    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    Micros connect_timeout_;
    std::uint32_t block_bytes_;
    std::map<NodeId, std::shared_ptr<Association>> associations_;
};

// What a completion with an error means for the attempt.
Status read_status(const Status16 &status);

} // namespace marblewood::net::nvme
