#include "policy/load_shedder.hpp"

#include "policy/admission.hpp"

#include <algorithm>
#include <tuple>

namespace marblewood::policy {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMinLatencyRatio = 0.05;     // lower bound on the latency ratio of a node
constexpr double kMaxProcessingSeconds = 1e6; // time to process the queue if no node processes requests
constexpr Micros kMinRetryAfter = 20'000;

} // namespace

LoadShedder::LoadShedder(const Settings &settings, const NodeTable &nodes, const RequestTable &requests,
                         const RequestQueue &queue, const Priority &priority, const QuotaLedger &quotas,
                         const SlowStart &slow_start, const ProcessLifetime &lifetime)
    : settings_(settings), nodes_(nodes), requests_(requests), queue_(queue), priority_(priority),
      quotas_(quotas), slow_start_(slow_start), lifetime_(lifetime),
      shortest_objective_(shortest_latency_objective(settings)) {}

bool LoadShedder::queue_is_full() const {
    return settings_.max_queued_requests > 0 && queue_.size() > settings_.max_queued_requests;
}

RequestId LoadShedder::least_valuable(Micros now) const {
    const auto rank = [&](const auto &entry) {
        const Request &request = entry.second;
        const bool timely = now <= request.objective_deadline;
        return std::tuple(!request.waiting, !request.attempts.empty(), priority_.weight(request, timely),
                          -request.objective_deadline);
    };
    return std::ranges::min_element(requests_, {}, rank)->first;
}

ShedReason LoadShedder::reason(const Request &request, Micros now) const {
    if (!quotas_.allows(request, now))
        return ShedReason::RateLimit;
    ShedReason nearest = ShedReason::NoNode;
    for (const NodeId id : nodes_.serving(request.shard)) {
        const Node &node = nodes_.at(id);
        if (!node.ready)
            continue;
        nearest = node.health.ejected ? ShedReason::Ejected : ShedReason::ConcurrencyLimit;
        if (!has_capacity(node, requests_, lifetime_.draining(), now))
            continue;
        const Micros since = lifetime_.slow_start_since(now);
        return slow_start_.allows(node.slow_start, request.arrival.units, now, since)
                   ? ShedReason::LowerPriority
                   : ShedReason::SlowStart;
    }
    return nearest;
}

void LoadShedder::count(ShedReason reason) {
    switch (reason) {
    case ShedReason::RateLimit:
        ++metrics_.rate_limit;
        break;
    case ShedReason::NoNode:
        ++metrics_.no_node;
        break;
    case ShedReason::Ejected:
        ++metrics_.ejected;
        break;
    case ShedReason::SlowStart:
        ++metrics_.slow_start;
        break;
    case ShedReason::ConcurrencyLimit:
        ++metrics_.concurrency_limit;
        break;
    case ShedReason::LowerPriority:
        ++metrics_.lower_priority;
        break;
    case ShedReason::QueueFull:
        ++metrics_.queue_full;
        break;
    }
}

Micros LoadShedder::retry_after(ShardId shard) const {
    if (!settings_.retry_after || settings_.max_retry_after <= 0)
        return 0;
    double rate = 0; // requests/s that the nodes can process for this host
    for (const NodeId id : nodes_.serving(shard)) {
        const Node &node = nodes_.at(id);
        if (!node.ready || node.health.ejected)
            continue;
        const double ratio = std::max(node.limit.latency().mean(), kMinLatencyRatio);
        rate += node.limit.value() / (ratio * static_cast<double>(shortest_objective_) / kMicrosPerSecond);
    }
    const auto waiting = static_cast<double>(queue_.waiting(shard).size());
    const double seconds = rate > 0 ? waiting / rate : kMaxProcessingSeconds;
    const auto wait = static_cast<Micros>(std::min(seconds, kMaxProcessingSeconds) * kMicrosPerSecond);
    return std::min(std::max(wait, kMinRetryAfter), settings_.max_retry_after);
}

} // namespace marblewood::policy
