/// \file
/// One attempt to have a request served by one node, shared by the dispatcher and the node port that runs it.
#pragma once

#include "core/request.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marblewood::core {

/// What a node port reports when an attempt has ended.
struct AttemptResult {
    Status status = Status::Error;
    std::string value;       ///< Status::Ok: the node's value, unless it was streamed
    int used = 0;            ///< as AttemptEnded::used
    double remote_units = 0; ///< as AttemptEnded::remote_units
    std::optional<LoadReport> report;
    Micros retry_after = 0; ///< Status::Rejected: the node's Retry-After, us; 0: none
};

/// One attempt at one node. The dispatcher creates it and may stop it at any time; the port then ends it
/// soon. Both run on the loop's thread.
struct Attempt {
    std::shared_ptr<const Request> request;
    NodeId node{};
    Micros started_at = 0; ///< Unix time in us
    Micros expires_at = 0; ///< given up at this time, unless its value is being streamed

    /// Set by the dispatcher. The port asks just before it writes the first byte; false: it must not write.
    std::function<bool()> may_write;
    /// Set by the dispatcher. The port calls it when the first bytes of a long value have come; from then on
    /// the port puts the value into `stream`.
    std::function<void(std::size_t length)> begin_stream;
    /// Set by the dispatcher. The port calls it once the last byte of the request is written.
    std::function<void()> on_written;
    /// Set by the port while it waits: interrupts that wait.
    std::function<void()> on_stop;

    std::shared_ptr<Stream> stream;    ///< empty until begin_stream() was called
    std::optional<Status> stop_reason; ///< empty until stop() was called

    /// Asks the port to end the attempt. The first reason counts.
    void stop(Status reason) {
        if (stop_reason)
            return;
        stop_reason = reason;
        if (on_stop)
            on_stop();
    }

    /// The status of an attempt that was stopped or whose connection broke. The node may have run the request
    /// only if it was `fully_written`.
    Status status_when_interrupted(bool fully_written) const {
        if (!fully_written)
            return stop_reason ? Status::Superseded : Status::ConnectFailed;
        return stop_reason.value_or(Status::Reset);
    }
};

} // namespace marblewood::core
