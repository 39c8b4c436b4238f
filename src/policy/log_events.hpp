/// \file
/// The log lines of the decision module, in the stable format `event key=value ...`.
#pragma once

#include "marblewood/actions.hpp"
#include "marblewood/events.hpp"
#include "policy/outlier_detector.hpp"

namespace marblewood::policy {

/// The endpoint list contains no ready node.
Log log_no_ready_node();
/// A ready node has begun to drain or has been removed from the endpoint list. It receives no new requests.
Log log_node_withdrawn(NodeId node, NodeState state);
/// The slow start of a node has begun. The node is sent no more than its slow-start budget.
Log log_slow_start_began(NodeId node);
/// The health of a node has changed. `change` must not be HealthChange::None.
Log log_health_change(NodeId node, HealthChange change);
/// A volume's requests exceed this host's part of the plan's rate limit.
Log log_rate_limit_reached();

} // namespace marblewood::policy
