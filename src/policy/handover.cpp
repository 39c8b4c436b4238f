#include "policy/handover.hpp"

namespace marblewood::policy {

std::vector<HandoverState::NodeHistory> capture_node_histories(const NodeTable &nodes) {
    std::vector<HandoverState::NodeHistory> histories;
    for (const auto &[id, node] : nodes.all()) {
        HandoverState::NodeHistory history = SlowStart::capture(node.slow_start);
        const LatencyAverage::State &latency = node.limit.latency().state();
        history.node = id;
        history.latency_sum = latency.sum;
        history.latency_weight = latency.weight;
        history.latency_updated = latency.updated_at;
        histories.push_back(std::move(history));
    }
    return histories;
}

bool restore_node_history(Node &node, const HandoverState::NodeHistory &history, const SlowStart &slow_start,
                          const RequestTable &requests, Micros now) {
    const bool began = slow_start.restore(node.slow_start, history, node.health.last_failed_connect, now);
    node.limit.restore({history.latency_sum, history.latency_weight, history.latency_updated});
    node.update_limit(requests, now);
    return began;
}

} // namespace marblewood::policy
