/// \file
/// What a Scheduler is told: each event is one alternative of marblewood::Event.
#pragma once

#include "marblewood/types.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marblewood {

enum class NodeState { Ready, Draining, Gone };

/// One node of the endpoint list.
struct NodeEntry {
    NodeId node{};
    ShardId shard{};
    ZoneId zone{};
    NodeState state = NodeState::Ready;
    Micros started = 0;          ///< when its process started; 0: long ago
    bool restored = false;       ///< an operator has put it back: it may have restarted unseen meanwhile
    std::uint64_t stable_id = 0; ///< derived from its name, so that all hosts compute the same
};

struct ListUpdate {
    enum class Kind {
        Changes, ///< only the entries that changed
        Full,    ///< the whole list
        Saved    ///< the whole list, from this host's storage
    };
    Kind kind = Kind::Full;
    std::vector<NodeEntry> entries;
};

struct RequestArrived {
    RequestId id{};
    int cls = 0;  ///< index into Settings::classes
    int plan = 0; ///< index into Settings::plans
    VolumeId volume{};
    std::optional<DataKey> key;
    std::optional<ShardId> shard; ///< empty: a new object, which may be placed on any node
    Micros time_left = 0;         ///< until the client's deadline
    double units = 1;             ///< cost, in the units of rate limits
    int hosts = 1;                ///< hosts through which the volume's requests come
    bool write = false;
    bool retry = false; ///< the client marks it as a retry
};

/// How an attempt, or a health check, ended.
enum class Status {
    Ok,
    Error,
    Rejected, ///< by the node, without effect: its queue is full
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Superseded ///< stopped before it was sent
};

/// The load that a node reports. Any field may be missing, out of date or wrong.
struct LoadReport {
    std::optional<double> busy;     ///< fraction of its cores in use
    std::optional<double> inflight; ///< requests in flight there
    std::optional<double> queue;    ///< requests that wait there
    std::optional<Micros> service;  ///< recent service time of a request, without queueing
    std::optional<double> rate;     ///< requests/s
    std::optional<double> failures; ///< errors/s
    bool operator==(const LoadReport &) const = default;
};

struct AttemptEnded {
    RequestId id{};
    int attempt = 0;
    Status status = Status::Ok;
    Micros latency = 0;
    bool closed = false;     ///< the request has its final answer
    int used = 0;            ///< 0: not reported; else 1 + percent of the plan's rate that the volume used
    double remote_units = 0; ///< units the shard served the volume through other hosts since the last report
    std::optional<LoadReport> report;
};

/// The first bytes of a long value have arrived; the rest is forwarded as it comes.
struct StreamStarted {
    RequestId id{};
    int attempt = 0;
};

struct ClientDisconnected {
    RequestId id{};
};

/// The request has to get its final answer now, although its client waits on.
struct AnswerNow {
    RequestId id{};
};

struct TimerDue {
    std::uint64_t token = 0;
};

struct ProbeEnded {
    NodeId node{};
    Status status = Status::Ok;
    Micros latency = 0;
    std::optional<LoadReport> report;
};

struct PeerMessage {
    int from = 0; ///< index of the sending host
    std::string data;
};

/// What a process hands to its successor in a hot restart, so that rate limits, concurrency limits and slow
/// starts hold over both processes together.
struct HandoverState {
    struct VolumeQuota { ///< what this host may still spend for a volume
        VolumeId volume{};
        double units = 0;                   ///< within the plan's rate limit
        std::optional<double> reserve = {}; ///< within its reserve; empty: as for a volume never seen
        double lent = 0;                    ///< units of this host's part that others may still spend
    };
    struct SlowStartSend {
        Micros at = 0;
        double units = 0;
        int layer = 0; ///< layer of the slow-start budget that it was taken from
    };
    struct NodeHistory {
        NodeId node{};
        Micros slow_start_began = 0;
        bool start_listed = false; ///< the endpoint list has the start; else it was inferred
        std::vector<SlowStartSend> slow_start_sends = {};
        double latency_sum = 0; ///< the decayed latency average: its sum, weight and time of update
        double latency_weight = 0;
        Micros latency_updated = 0;
    };
    Micros started_at = 0; ///< since when the process, or its first predecessor, decides
    std::vector<VolumeQuota> quotas;
    std::vector<NodeHistory> nodes;
};

/// A successor has the HandoverState: only requests already accepted are still sent. With `on` false the
/// successor has gone, and this process serves again.
struct DrainForSuccessor {
    bool on = true;
};

using Event = std::variant<ListUpdate, RequestArrived, AttemptEnded, StreamStarted, ClientDisconnected,
                           TimerDue, ProbeEnded, PeerMessage, HandoverState, DrainForSuccessor, AnswerNow>;

} // namespace marblewood
