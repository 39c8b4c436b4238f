#include "policy/log_events.hpp"

#include <string>

namespace marblewood::policy {
namespace {

std::string node_field(NodeId node) {
    return " node=" + std::to_string(static_cast<std::uint32_t>(node));
}

const char *ejection_reason(HealthChange change) {
    switch (change) {
    case HealthChange::EjectedFailedConnects:
        return "failed_connects";
    case HealthChange::EjectedFailures:
        return "consecutive_failures";
    case HealthChange::EjectedSilent:
        return "no_answers";
    case HealthChange::None:
    case HealthChange::Recovered:
        break;
    }
    return "none";
}

} // namespace

Log log_no_ready_node() {
    return {"no_ready_node"};
}

Log log_node_withdrawn(NodeId node, NodeState state) {
    const char *spelling = state == NodeState::Gone ? "gone" : "draining";
    return {"node_withdrawn" + node_field(node) + " state=" + spelling};
}

Log log_slow_start_began(NodeId node) {
    return {"slow_start_began" + node_field(node)};
}

Log log_health_change(NodeId node, HealthChange change) {
    if (change == HealthChange::Recovered)
        return {"node_recovered" + node_field(node)};
    return {"node_ejected" + node_field(node) + " reason=" + ejection_reason(change)};
}

Log log_rate_limit_reached() {
    return {"rate_limit_reached reason=host_share_spent"};
}

} // namespace marblewood::policy
