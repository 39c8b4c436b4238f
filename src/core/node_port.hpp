/// \file
/// The interface through which the dispatcher reaches nodes. Each node protocol has its own implementation.
#pragma once

#include "core/attempt.hpp"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

namespace marblewood::core {

/// The result of a health check of a node.
struct ProbeResult {
    Status status = Status::Error;
    std::optional<LoadReport> report;
};

/// Runs attempts and health checks at nodes. Called on the event loop's thread. Errors are reported as a
/// Status; an exception indicates a bug and terminates the program.
class NodePort {
public:
    virtual ~NodePort() = default;
    /// Runs `attempt` and returns once it has ended.
    virtual boost::asio::awaitable<AttemptResult> run(std::shared_ptr<Attempt> attempt) = 0;
    /// Sends one health check.
    virtual boost::asio::awaitable<ProbeResult> probe(NodeId node) = 0;
    /// Closes the idle connections to a node.
    virtual void close_idle(NodeId node) = 0;
};

} // namespace marblewood::core
