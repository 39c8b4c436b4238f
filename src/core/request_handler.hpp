/// \file
/// What front ends need from the rest of the program: the interface to submit requests to, and shared
/// services.
#pragma once

#include "core/deadlines.hpp"
#include "core/memory_budget.hpp"
#include "core/metrics.hpp"
#include "core/request.hpp"
#include "marblewood/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace marblewood::core {

/// Accepts requests from front ends. Called on the event loop's thread.
class RequestHandler {
public:
    using CompletionCallback = std::function<void(Outcome)>;
    using ReleaseCallback = std::function<void()>;

    virtual ~RequestHandler() = default;
    /// Starts to process a request.
    /// \param on_complete called exactly once, possibly before submit() returns; not called if the client
    ///                    disconnects first.
    /// \param on_released if not null, called once none of the request's attempts is in flight any more, even
    ///                    if the client has disconnected.
    virtual RequestId submit(std::shared_ptr<const Request> request, CompletionCallback on_complete,
                             ReleaseCallback on_released = nullptr) = 0;
    /// Reports that the request's client has disconnected: on_complete will not be called any more.
    virtual void client_disconnected(RequestId id) = 0;
    /// Asks for the request to be completed soon, whatever its client's timeout. It is refused if no node can
    /// have executed it or a retry is harmless, and failed otherwise. A request whose value is being streamed
    /// is not affected.
    virtual void answer_now(RequestId id) = 0;
};

/// Services shared by all front ends, which the references must outlive.
struct FrontEndServices {
    std::function<RequestHandler &(const Request &)> request_handler; ///< selects the handler for a request
    std::function<std::uint64_t()> random_number;                     ///< used to generate identifiers
    const Settings &settings;
    Deadlines &deadlines;
    MemoryBudget &memory;
    const bool &quiesced; ///< set while operators have quiesced the broker; changes the reply to PING
    Metrics &metrics;
};

} // namespace marblewood::core
