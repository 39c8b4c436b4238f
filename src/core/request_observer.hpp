/// \file
/// The interface through which telemetry observes requests and attempts.
#pragma once

#include "core/attempt.hpp"

namespace marblewood::core {

/// Called on the event loop's thread; implementations must not block. All times are Unix time.
class RequestObserver {
public:
    virtual ~RequestObserver() = default;
    /// \param number index of the attempt among those of the request, from 0.
    virtual void attempt_ended(RequestId id, const Attempt &attempt, int number, Status status,
                               Micros started_at, Micros ended_at) = 0;
    /// Called for each request that is completed while its client is connected.
    virtual void request_ended(RequestId id, const Request &request, const Outcome &outcome,
                               Micros ended_at) = 0;
};

} // namespace marblewood::core
