/// \file
/// One attempt to have a request served by one node, shared by the dispatcher and the node port that runs it.
#pragma once

#include "core/request.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marblewood::core {

/// The result that a node port reports at the end of an attempt.
struct AttemptResult {
    Status status = Status::Error;
    std::string value;       ///< with Status::Ok: the value that the node returned, unless it was streamed
    int used = 0;            ///< see AttemptEnded::used
    double remote_units = 0; ///< see AttemptEnded::remote_units
    std::optional<LoadReport> report;
    Micros retry_after = 0; ///< with Status::Rejected: the delay that the node asked for; 0: none
};

/// One attempt at one node. The dispatcher creates it and may ask the port at any time to stop it; the port
/// then ends the attempt soon. Both run on the event loop's thread.
struct Attempt {
    std::shared_ptr<const Request> request;
    NodeId node{};
    Micros started_at = 0; ///< Unix time
    Micros expires_at = 0; ///< Unix time at which the attempt times out, unless its value is being streamed

    /// Set by the dispatcher. The port calls it just before it writes the first byte of the request, and must
    /// not write anything if it returns false.
    std::function<bool()> may_write;
    /// Set by the dispatcher. The port calls it when it has received the first bytes of a long value; from
    /// then on the port writes the value into `stream`.
    std::function<void(std::size_t length)> begin_stream;
    /// Set by the dispatcher. The port calls it after it has written the last byte of the request.
    std::function<void()> on_written;
    /// Set by the port while it waits for the node; interrupts that wait.
    std::function<void()> on_stop;

    std::shared_ptr<Stream> stream;    ///< null until begin_stream() is called
    std::optional<Status> stop_reason; ///< empty until stop() is called

    /// Asks the port to end the attempt. Calls after the first one have no effect.
    void stop(Status reason) {
        if (stop_reason)
            return;
        stop_reason = reason;
        if (on_stop)
            on_stop();
    }

    /// The status of an attempt that was stopped or whose connection broke. The node can have executed the
    /// request only if it was `fully_written`.
    Status status_when_interrupted(bool fully_written) const {
        if (!fully_written)
            return stop_reason ? Status::Superseded : Status::ConnectFailed;
        return stop_reason.value_or(Status::Reset);
    }
};

} // namespace marblewood::core
