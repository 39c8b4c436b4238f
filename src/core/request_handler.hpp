/// \file
/// What front ends need from the rest of the program: somewhere to submit requests, and shared services.
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

/// Accepts requests from front ends. Called on the loop's thread.
class RequestHandler {
public:
    using CompletionCallback = std::function<void(Outcome)>;
    using ReleaseCallback = std::function<void()>;

    virtual ~RequestHandler() = default;
    /// Starts to process a request.
    /// \param on_complete called exactly once, unless the client disconnects before; possibly before submit()
    ///                    returns.
    /// \param on_released where given, called once none of the request's attempts is in flight any more, even
    ///                    if the client has disconnected.
    virtual RequestId submit(std::shared_ptr<const Request> request, CompletionCallback on_complete,
                             ReleaseCallback on_released = nullptr) = 0;
    /// The request's client has gone: on_complete will not be called.
    virtual void client_disconnected(RequestId id) = 0;
    /// The request has to be completed soon, whatever its client's timeout: refused if nothing can have run
    /// or a retry is harmless, else failed. One whose value is being streamed goes on.
    virtual void answer_now(RequestId id) = 0;
};

/// Shared by all front ends; the references outlive them.
struct FrontEndServices {
    std::function<RequestHandler &(const Request &)> request_handler; ///< the one that a request goes to
    std::function<std::uint64_t()> random_number;                     ///< for identifiers
    const Settings &settings;
    Deadlines &deadlines;
    MemoryBudget &memory;
    const bool &quiesced; ///< operators send clients away: PING is answered accordingly
    Metrics &metrics;
};

} // namespace marblewood::core
