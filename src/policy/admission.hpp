/// \file
/// Admission control: whether a queued request may be sent to a node now, or must leave the node's capacity
/// to requests of higher priority.
#pragma once

#include "policy/node.hpp"
#include "policy/priority.hpp"
#include "policy/quota_ledger.hpp"

namespace marblewood::policy {

enum class Admission {
    Admit,
    Yield,            ///< not now: leave the capacity to requests of higher priority
    YieldForEvidence, ///< as Yield, but a load report of the node might admit the request
};

/// Keeps requests of low priority from displacing requests of higher priority that other hosts have for the
/// same node. This host cannot see those requests, so it infers the load from the node's mean latency.
///
/// - A request with much time left leaves one slot of the concurrency limit to requests with less time.
/// - A request beyond its volume's reserve waits until the mean latency is low. A surplus request, which is
///   also beyond the volume's share, waits for a still lower latency.
/// - A late request, which can no longer meet its latency objective, waits for an idle node. It also leaves
///   most of the rate limit's bucket to timely requests.
/// - Evidence means recent latency samples of the node. Without it, late and surplus requests are sent only
///   to a node where this host has nothing in flight, and seldom.
///
/// These rules do not apply to an ejected node: any request may serve as its probe request.
class AdmissionController {
public:
    /// The arguments must outlive the controller.
    AdmissionController(const Settings &settings, const Priority &priority, const QuotaLedger &quotas);

    /// `timely`: an answer may still meet the request's latency objective (Priority::is_timely()).
    Admission check(const Request &request, const Node &node, bool timely, Micros now) const;

private:
    bool must_leave_slot_to_urgent_requests(const Request &request, const Node &node, Micros now) const;
    bool must_leave_rate_limit_to_timely_requests(const Request &request, Micros now) const;

    const Priority &priority_;
    const QuotaLedger &quotas_;
    Micros shortest_objective_;
};

/// The shortest latency objective of all classes.
Micros shortest_latency_objective(const Settings &settings);

} // namespace marblewood::policy
