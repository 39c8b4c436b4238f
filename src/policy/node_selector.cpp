#include "policy/node_selector.hpp"

#include <algorithm>
#include <limits>

namespace marblewood::policy {
namespace {

// Latency objectives after which an attempt no longer holds a place where it stands alone: the node's other
// answers are quick, so it was lost.
constexpr double kLongOverdue = 1.5;
constexpr double kObservationFadeTime = 5e6; // us; time constant
constexpr double kEjectedCost = 1e6;         // dwarfs any load
constexpr Micros kJitterSteps = 1000;        // steps of the random factor, 1 to 2, on a node's cost
constexpr Micros kRecheckInterval = 10'000;  // us between looks at what waits for no known time

double free_places(const Node &node) {
    return node.limit.value() - node.in_flight_count();
}

bool is_preferred(const Node &candidate, const Node &other) {
    if (candidate.health.ejected != other.health.ejected)
        return other.health.ejected;
    return free_places(candidate) > free_places(other);
}

// A node's mean latency ratio; as its age grows it says less, and tends to the half of the target.
double faded_latency(const Node &node, Micros now) {
    constexpr double kUnknown = kTargetLatencyRatio / 2;
    const LatencyAverage &latency = node.limit.latency();
    return kUnknown +
           (latency.mean() - kUnknown) * decay(latency.state().updated_at, now, kObservationFadeTime);
}

} // namespace

bool has_capacity(const Node &node, const RequestTable &requests, bool draining, Micros now) {
    if (!node.ready)
        return false;
    const bool overdue_hold_places =
        !node.health.ejected && node.limit.latency().mean() > ConcurrencyLimit::kQuickRatio;
    const auto holds_place = [&](const AttemptId &attempt) {
        return overdue_hold_places || attempt_age(requests, attempt, now) < kLongOverdue;
    };
    const auto held = std::ranges::count_if(node.in_flight, holds_place);
    if (node.health.ejected)
        return held == 0 && now >= node.health.next_probe_request;
    const double limit = draining ? ConcurrencyLimit::kFloor : node.limit.value();
    return static_cast<double>(held) + 1 <= limit;
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
        const double cost =
            (1 + load) * faded_latency(node, now) * (1 + chance) + (node.health.ejected ? kEjectedCost : 0);
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
