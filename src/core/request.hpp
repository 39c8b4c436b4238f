/// \file
/// A client's request and its final outcome, independent of the protocol that it came by. Front ends create
/// Requests and encode Outcomes.
#pragma once

#include "core/stream.hpp"
#include "marblewood/events.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace marblewood::core {

/// One client request as decoded by a front end. Immutable once submitted.
struct Request {
    std::string id;                  ///< chosen by the client
    std::uint64_t connection_id = 0; ///< the client connection that it came on, for the log
    bool refuse_immediately = false; ///< that connection is about to be closed: no attempt may be made
    std::string data_key;            ///< as the client spells it
    RequestArrived arrival;          ///< for the Scheduler; the dispatcher fills in `id` and `time_left`
    std::string idempotency_key;     ///< in a class of Idempotency::WithKey
    std::string body;
    /// Name and value of further fields, forwarded without being read.
    std::vector<std::pair<std::string, std::string>> forwarded_fields;
    Micros received_at = 0; ///< when its last byte arrived, Unix time in us
    Micros timeout = 0;     ///< how long the client waits from `received_at`, us
};

/// The final outcome of a request, to be encoded by the front end.
struct Outcome {
    enum class Kind { Served, Refused, Failed };

    Kind kind = Kind::Failed;
    std::string value = {};                   ///< Served: the node's value, unless it is streamed
    Micros retry_after = 0;                   ///< Refused: when to come back, us; 0: no advice
    bool retry_safe = true;                   ///< Failed: whether sending the request again does no harm
    std::shared_ptr<Stream> stream = nullptr; ///< Served: where a long value is read from
};

} // namespace marblewood::core
