/// \file
/// The state of a request, from its submission until it is answered and none of its attempts is in flight any
/// more, and the messages that change this state.
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

/// Sent when a node port has begun to receive a long value for an attempt.
struct StreamBegan {
    int attempt = 0;
};

/// Sent when a node port has ended an attempt.
struct AttemptFinished {
    int attempt = 0;
    AttemptResult result;
};

/// The messages that a request's coroutine handles: actions of the Scheduler (Send, Refuse, Fail, Cancel),
/// calls from the front end (ClientDisconnected, AnswerNow) and reports from node ports (StreamBegan,
/// AttemptFinished).
using RequestMessage =
    std::variant<Send, Refuse, Fail, Cancel, ClientDisconnected, AnswerNow, StreamBegan, AttemptFinished>;

/// Owned jointly by the RequestDispatcher and the coroutines that run the request and its attempts. Used only
/// on the event loop's thread.
struct InFlightRequest {
    InFlightRequest(boost::asio::any_io_executor executor, MemoryBudget &memory, RequestId number,
                    std::shared_ptr<const Request> submitted, RequestHandler::CompletionCallback complete,
                    RequestHandler::ReleaseCallback released)
        : id(number), request(std::move(submitted)), on_complete(std::move(complete)),
          on_released(std::move(released)), messages(std::move(executor)),
          reservation(memory, request->held_bytes()) {}

    const RequestId id;
    const std::shared_ptr<const Request> request;
    RequestHandler::CompletionCallback on_complete; ///< null once called, or once the client has disconnected
    RequestHandler::ReleaseCallback on_released;    ///< may be null
    Micros deadline = 0;                            ///< Unix time by which the client wants its answer

    std::vector<std::shared_ptr<Attempt>> attempts; ///< indexed by attempt number
    std::vector<Status> ended_statuses; ///< statuses of the ended attempts, in the order in which they ended
    std::size_t attempts_in_flight = 0;
    std::shared_ptr<Attempt> streaming_attempt; ///< its value is being streamed to the client; may be null

    Mailbox<RequestMessage> messages; ///< consumed one at a time by the request's coroutine
    MemoryBudget::Reservation reservation;

    bool awaits_answer() const { return on_complete != nullptr; }
};

} // namespace marblewood::core
