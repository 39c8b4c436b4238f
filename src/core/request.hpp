/// \file
/// A client's request and its final outcome, independent of the client protocol. Front ends create Requests
/// and encode Outcomes.
#pragma once

#include "core/forwarded_fields.hpp"
#include "core/stream.hpp"
#include "marblewood/events.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace marblewood::core {

/// A client request as decoded by a front end. Immutable once submitted.
struct Request {
    std::string id;                  ///< chosen by the client
    std::uint64_t connection_id = 0; ///< the client connection that received it, for the log
    bool refuse_immediately = false; ///< the connection is about to close: no attempt may be made
    std::string data_key;            ///< as the client wrote it
    RequestArrived arrival;      ///< the event for the Scheduler; the dispatcher sets `id` and `time_left`
    std::string idempotency_key; ///< only in classes with Idempotency::WithKey
    std::string body;
    ForwardedFields forwarded_fields; ///< all other fields
    Micros received_at = 0;           ///< Unix time at which its last byte arrived
    Micros timeout = 0;               ///< how long the client waits for the answer, from `received_at`

    /// The memory that it takes while it is open, in bytes.
    std::size_t held_bytes() const {
        return kOpenRequestBytes + id.size() + idempotency_key.size() + body.size() +
               forwarded_fields.text().size();
    }

private:
    // The rest of a request, the state of the dispatcher and of the decision module for it, and its attempt.
    static constexpr std::size_t kOpenRequestBytes = 3072;
};

/// The final outcome of a request, to be encoded by the front end.
struct Outcome {
    enum class Kind { Served, Refused, Failed };

    Kind kind = Kind::Failed;
    std::string value = {}; ///< Served: the value from the node, unless it is streamed
    Micros retry_after = 0; ///< Refused: how long the client should wait before a retry; 0: not stated
    bool retry_safe = true; ///< Failed: whether the client can safely send the request again
    std::shared_ptr<Stream> stream = nullptr; ///< Served: the stream of a long value; null: none
};

} // namespace marblewood::core
