/// \file
/// The interface by which the dispatcher reaches nodes; one implementation for each protocol of nodes.
#pragma once

#include "core/attempt.hpp"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

namespace marblewood::core {

/// How a health check of a node ended.
struct ProbeResult {
    Status status = Status::Error;
    std::optional<LoadReport> report;
};

/// Runs attempts and health checks at nodes. Called on the loop's thread. Errors are reported as a Status;
/// an exception is a fault of the program.
class NodePort {
public:
    virtual ~NodePort() = default;
    /// Runs `attempt` to its end.
    virtual boost::asio::awaitable<AttemptResult> run(std::shared_ptr<Attempt> attempt) = 0;
    /// Sends one health check.
    virtual boost::asio::awaitable<ProbeResult> probe(NodeId node) = 0;
    /// Closes the node's connections that are idle.
    virtual void close_idle(NodeId node) = 0;
};

} // namespace marblewood::core
