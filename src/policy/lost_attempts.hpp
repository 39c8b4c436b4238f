/// \file
/// Finds attempts that were lost on their way.
#pragma once

#include "policy/node.hpp"

#include <vector>

namespace marblewood::policy {

/// A node takes requests in turn. An attempt that several sent later have overtaken was lost on a connection
/// that fell silent; it must not hold a place of the concurrency limit, nor its client, until its time is up.
///
/// The node has answered an attempt sent at `answered_sent_at`: counts what that one has overtaken. Returns
/// the attempts in flight there that are now taken for lost and whose class allows a repeat, each once.
std::vector<AttemptId> find_lost_attempts(const Node &node, Micros answered_sent_at, RequestTable &requests,
                                          Micros now);

} // namespace marblewood::policy
