#include "policy/node_selector.hpp"

#include <algorithm>
#include <limits>

namespace marblewood::policy {
namespace {

// Age in latency objectives from which an attempt no longer occupies a slot if the node is ejected or its
// other answers are quick. In the latter case the attempt was lost.
constexpr double kLongOverdue = 1.5;
constexpr double kObservationDecayTimeConstantMicros = 5e6;
constexpr double kEjectedCost = 1e6;        // larger than the cost of any load
constexpr Micros kJitterSteps = 1000;       // steps of the random factor, from 1 to 2, on a node's cost
constexpr Micros kRecheckInterval = 10'000; // of shards whose requests become sendable at an unknown time

double free_slots(const Node &node) {
    return node.limit.value() - node.in_flight_count();
}

bool is_preferred(const Node &candidate, const Node &other) {
    if (candidate.health.ejected != other.health.ejected)
        return other.health.ejected;
    return free_slots(candidate) > free_slots(other);
}

// A node's mean latency ratio. The older it is, the less it says about the present, so that it tends to half
// of the target ratio.
double decayed_latency_ratio(const Node &node, Micros now) {
    constexpr double kUnknownRatio = kTargetLatencyRatio / 2;
    const LatencyAverage &latency = node.limit.latency();
    return kUnknownRatio + (latency.mean() - kUnknownRatio) *
                               decay(latency.state().updated_at, now, kObservationDecayTimeConstantMicros);
}

} // namespace

bool has_capacity(const Node &node, const RequestTable &requests, bool draining, Micros now) {
    if (!node.ready)
        return false;
    const bool overdue_occupy_slots =
        !node.health.ejected && node.limit.latency().mean() > ConcurrencyLimit::kQuickRatio;
    const auto occupies_slot = [&](const AttemptId &attempt) {
        return overdue_occupy_slots || attempt_age(requests, attempt, now) < kLongOverdue;
    };
    const auto occupied = std::ranges::count_if(node.in_flight, occupies_slot);
    if (node.health.ejected)
        return occupied == 0 && now >= node.health.next_probe_request;
    const double limit = draining ? ConcurrencyLimit::kFloor : node.limit.value();
    return static_cast<double>(occupied) + 1 <= limit;
}

Node *select_node(NodeTable &nodes, ShardId shard, const RequestTable &requests, bool draining, Micros now) {
    Node *best = nullptr;
    for (const NodeId id : nodes.serving(shard)) {
        Node &node = nodes.at(id);
        if (!has_capacity(node, requests, draining, now))
            continue;
        if (!best || is_preferred(node, *best))
            best = &node;
    }
    return best;
}

ShardId select_shard_for_new_object(const NodeTable &nodes, const RequestQueue &queue, JitterSource &jitter,
                                    Micros now) {
    ShardId best{-1};
    double least = std::numeric_limits<double>::infinity();
    for (const auto &[id, node] : nodes.all()) {
        if (!node.ready)
            continue;
        const auto load =
            static_cast<double>(node.in_flight.size() + queue.waiting(node.entry().shard).size());
        const double chance = static_cast<double>(jitter.next(kJitterSteps)) / kJitterSteps;
        const double cost = (1 + load) * decayed_latency_ratio(node, now) * (1 + chance) +
                            (node.health.ejected ? kEjectedCost : 0);
        if (cost < least) {
            least = cost;
            best = node.entry().shard;
        }
    }
    return best;
}

std::optional<Micros> next_recheck(const NodeTable &nodes, ShardId shard, Micros now) {
    std::optional<Micros> earliest;
    for (const NodeId id : nodes.serving(shard)) {
        const NodeHealth &health = nodes.at(id).health;
        const Micros possible = health.ejected ? health.next_probe_request : now;
        const Micros at = std::max(possible, now + kRecheckInterval);
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

} // namespace marblewood::policy
