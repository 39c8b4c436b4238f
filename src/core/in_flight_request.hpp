/// \file
/// The state of one request from its submission until none of its attempts is in flight, and the messages
/// that change it.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory_budget.hpp"
#include "core/node_port.hpp"
#include "core/request_handler.hpp"
#include "marblewood/actions.hpp"

#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace marblewood::core {

/// A node port has begun to receive a long value for an attempt.
struct StreamBegan {
    int attempt = 0;
};

/// A node port has ended an attempt.
struct AttemptFinished {
    int attempt = 0;
    AttemptResult result;
};

/// What may happen to a request: the Scheduler's actions (Send to Cancel), the front end's calls
/// (ClientDisconnected, AnswerNow) and the node ports' reports.
using RequestMessage =
    std::variant<Send, Refuse, Fail, Cancel, ClientDisconnected, AnswerNow, StreamBegan, AttemptFinished>;

/// Owned by the RequestDispatcher and by the coroutines that run the request and its attempts. Used on the
/// loop's thread alone.
struct InFlightRequest {
    InFlightRequest(boost::asio::any_io_executor executor, MemoryBudget &memory, RequestId number,
                    std::shared_ptr<const Request> submitted, RequestHandler::CompletionCallback complete,
                    RequestHandler::ReleaseCallback released)
        : id(number), request(std::move(submitted)), on_complete(std::move(complete)),
          on_released(std::move(released)), messages(std::move(executor)),
          body_reservation(memory, request->body.size()) {}

    const RequestId id;
    const std::shared_ptr<const Request> request;
    RequestHandler::CompletionCallback on_complete; ///< empty once called, or once the client disconnected
    RequestHandler::ReleaseCallback on_released;    ///< may be empty
    Micros deadline = 0;                            ///< the client's, Unix time in us

    std::vector<std::shared_ptr<Attempt>> attempts; ///< by their numbers
    std::vector<Status> ended; ///< statuses of the ended ones, in the order of their ends
    std::size_t attempts_in_flight = 0;
    std::shared_ptr<Attempt> streaming; ///< whose value is being streamed to the client; empty: none

    Mailbox<RequestMessage> messages; ///< taken by the request's coroutine, one at a time
    MemoryBudget::Reservation body_reservation;

    bool awaits_answer() const { return on_complete != nullptr; }
};

} // namespace marblewood::core
