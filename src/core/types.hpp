// What the core deals in. It knows no wire: fronts make Requests and spell Outcomes, node ports run Attempts.
#pragma once

#include "core/stream.hpp"
#include "marblewood/scheduler.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace marblewood::core {

struct Request {
    std::string id;               // the client's
    std::uint64_t connection = 0; // the client connection that it came on, for the log
    bool refuse_at_once = false;  // that connection is about to end: nothing is begun for it
    std::string piece;            // the piece of data, as the client spells it
    RequestArrived facts;
    std::string repeat_key; // idempotency key, in a keyed class
    std::string body;
    std::vector<std::pair<std::string, std::string>> extra; // what else the client said, passed on unread
    Micros sent = 0; // when the client had sent it, as far as can be seen: its last byte's arrival
    Micros wait = 0; // for how long the client waits, from then
};

struct Outcome {
    enum class Kind { Served, Refused, Failed } kind = Kind::Failed;
    std::string value;                        // of a node
    Micros retry_after = 0;                   // refused: when to come back; 0: no advice
    bool repeat_safe = true;                  // failed: whether a repeat does no harm
    std::shared_ptr<Stream> stream = nullptr; // served: where the value comes from, if it is a long one
};

struct AttemptResult {
    Status status = Status::Error;
    std::string value;
    int used = 0;
    double remote_units = 0;
    std::optional<LoadReport> report;
    Micros retry_after = 0; // turned away: when to come back, where that was told
};

// One try at one node. The dispatcher may stop it at any time; the node port then ends it soon.
struct Attempt {
    std::shared_ptr<const Request> request;
    NodeId node{};
    Micros started = 0, expires = 0;
    std::function<bool()> may_write; // asked just before the first byte goes out
    std::shared_ptr<Stream> stream;  // of its answer, once that has begun as a long value
    // Called by the port where a long value begins, which then goes into `stream`.
    std::function<void(std::size_t length)> begin;
    std::function<void()> written; // called by the port once the last byte is out
    std::optional<Status> stopped; // why it was told to stop
    std::function<void()> on_stop; // set by the port while it runs: breaks off what it waits for

    void stop(Status why) {
        if (stopped)
            return;
        stopped = why;
        if (on_stop)
            on_stop();
    }
    // How a stopped or broken attempt ended. Whether it may have run hangs on its last byte alone.
    Status broken(bool whole_written) const {
        if (!whole_written)
            return stopped ? Status::Superseded : Status::ConnectFailed;
        return stopped.value_or(Status::Reset);
    }
};

struct ProbeResult {
    Status status = Status::Error;
    std::optional<LoadReport> report;
};

// Runs attempts at nodes, over some wire.
class NodePort {
public:
    virtual ~NodePort() = default;
    virtual boost::asio::awaitable<AttemptResult> run(std::shared_ptr<Attempt> attempt) = 0;
    virtual boost::asio::awaitable<ProbeResult> probe(NodeId node) = 0;
    virtual void close_idle(NodeId node) = 0;
};

} // namespace marblewood::core
