/// \file
/// Finds attempts that were lost on the way to a node.
#pragma once

#include "policy/node.hpp"

#include <vector>

namespace marblewood::policy {

/// A node processes requests in order of arrival. If it has answered several attempts that were sent later,
/// the attempt was lost on a connection that no longer transmits. Such an attempt must not occupy a slot of
/// the concurrency limit, nor keep its client waiting, until it times out.
///
/// To be called when the node has answered an attempt that was sent at `answered_sent_at`. Counts that answer
/// for all attempts in flight at the node that were sent earlier. Returns those that are now considered lost
/// and whose class allows a retry. Each attempt is returned only once.
std::vector<AttemptId> find_lost_attempts(const Node &node, Micros answered_sent_at, RequestTable &requests,
                                          Micros now);

} // namespace marblewood::policy
