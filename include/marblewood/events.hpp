/// \file
/// The events that a caller passes to Scheduler::handle(). Each is one alternative of marblewood::Event.
#pragma once

#include "marblewood/types.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marblewood {

/// The state of a node in the endpoint list. `Gone` means that the node has been removed from it.
enum class NodeState { Ready, Draining, Gone };

/// One node of the endpoint list.
struct NodeEntry {
    NodeId node{};
    ShardId shard{};
    ZoneId zone{};
    NodeState state = NodeState::Ready;
    Micros started = 0; ///< when the node's process started; 0: long ago
    /// An operator has put the node back into service. It may have restarted unnoticed in the meantime.
    bool restored = false;
    std::uint64_t stable_id = 0; ///< derived from the node's name, so that all hosts compute the same value
};

/// The endpoint list has changed.
struct ListUpdate {
    enum class Kind {
        Changes, ///< only the changed entries
        Full,    ///< the whole list
        Saved    ///< the whole list, read from this host's storage at its start
    };
    Kind kind = Kind::Full;
    std::vector<NodeEntry> entries;
};

/// A client's request has arrived.
struct RequestArrived {
    RequestId id{};
    int cls = 0;  ///< index into Settings::classes
    int plan = 0; ///< index into Settings::plans
    VolumeId volume{};
    std::optional<DataKey> key;
    std::optional<ShardId> shard; ///< empty: the request creates an object, which any node may store
    Micros time_left = 0;         ///< time left until the client's deadline
    double units = 1;             ///< cost of the request, in units
    int hosts = 1;                ///< number of hosts that receive the volume's requests
    bool write = false;
    bool retry = false; ///< the client has marked the request as a retry
};

/// How an attempt, or a health check, ended.
enum class Status {
    Ok,
    Error,
    Rejected, ///< the node's queue is full; it has not run the request
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Superseded ///< stopped before it was written to the node
};

/// The load that a node reports about itself. Any field may be missing, out of date or wrong.
struct LoadReport {
    std::optional<double> busy;     ///< fraction of the node's cores in use
    std::optional<double> inflight; ///< requests in flight at the node
    std::optional<double> queue;    ///< requests in the node's queue
    std::optional<Micros> service;  ///< recent service time of a request, without time in the queue
    std::optional<double> rate;     ///< requests/s
    std::optional<double> failures; ///< errors/s
    bool operator==(const LoadReport &) const = default;
};

/// An attempt has ended.
struct AttemptEnded {
    RequestId id{};
    int attempt = 0;
    Status status = Status::Ok;
    Micros latency = 0;
    bool closed = false; ///< the client has received the final answer of the request, or has disconnected
    int used = 0;        ///< 1 + the percentage of the plan's rate that the volume uses; 0: not reported
    /// Units that the shard has served for the volume through other hosts since the last report.
    double remote_units = 0;
    std::optional<LoadReport> report;
};

/// The first bytes of a long answer have arrived. The rest is forwarded to the client as it arrives, so the
/// request can no longer be retried or refused.
struct StreamStarted {
    RequestId id{};
    int attempt = 0;
};

/// The client has closed its connection and no longer waits for an answer.
struct ClientDisconnected {
    RequestId id{};
};

/// The request must get its final answer now, although its client would wait longer.
struct AnswerNow {
    RequestId id{};
};

/// A timer set by SetTimer has expired.
struct TimerDue {
    std::uint64_t token = 0;
};

/// A health check has ended.
struct ProbeEnded {
    NodeId node{};
    Status status = Status::Ok;
    Micros latency = 0;
    std::optional<LoadReport> report;
};

/// Another host has sent a message.
struct PeerMessage {
    int from = 0; ///< index of the sending host
    std::string data;
};

/// The state that a process hands over to its successor in a hot restart, so that the sends of both processes
/// together keep to the rate limits, concurrency limits and slow-start budgets.
struct HandoverState {
    /// The units that this host may still spend for a volume.
    struct VolumeQuota {
        VolumeId volume{};
        double units = 0;                   ///< of the plan's rate limit
        std::optional<double> reserve = {}; ///< of the volume's reserve; empty: the initial value applies
        double lent = 0;                    ///< units lent to other hosts that they may still spend
    };
    /// One send to a node during its slow start.
    struct SlowStartSend {
        Micros at = 0;
        double units = 0;
        int layer = 0; ///< layer of the slow-start budget that the units were taken from
    };
    /// The slow start and the latency average of a node.
    struct NodeHistory {
        NodeId node{};
        Micros slow_start_began = 0;
        bool start_listed = false; ///< the start is in the endpoint list; otherwise it was inferred
        std::vector<SlowStartSend> slow_start_sends = {};
        double latency_sum = 0;    ///< decayed sum of the latency samples
        double latency_weight = 0; ///< decayed number of the latency samples
        Micros latency_updated = 0;
    };
    /// When this process began to make decisions or, if it took over from other processes, when the first of
    /// them began.
    Micros started_at = 0;
    std::vector<VolumeQuota> quotas;
    std::vector<NodeHistory> nodes;
};

/// A successor process has received the HandoverState: this process drains, and sends only requests that it
/// has already accepted. With `on` false the successor has failed, and this process serves requests again.
struct DrainForSuccessor {
    bool on = true;
};

using Event = std::variant<ListUpdate, RequestArrived, AttemptEnded, StreamStarted, ClientDisconnected,
                           TimerDue, ProbeEnded, PeerMessage, HandoverState, DrainForSuccessor, AnswerNow>;

} // namespace marblewood
