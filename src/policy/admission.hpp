/// \file
/// Admission: whether a waiting request may go to a node now, or leaves the place to better work.
#pragma once

#include "policy/node.hpp"
#include "policy/priority.hpp"
#include "policy/quota_ledger.hpp"

namespace marblewood::policy {

enum class Admission {
    Admit,
    Yield,            ///< leaves the place to work of higher priority
    YieldForEvidence, ///< as Yield; a load report of the node might admit it
};

/// Work of lower priority must not displace better work that other hosts have for the same node and that this
/// host cannot see; the node's mean latency tells of their load.
///
/// - A request with plenty of time leaves one place of the concurrency limit to tighter ones.
/// - Work beyond its volume's reserve, and more so beyond its share, waits until the mean latency is low.
/// - Late work waits for an idle node, and leaves a rate limit's bucket almost full to timely work.
/// - Where the latency average says nothing of the present, late and surplus work goes to an idle node only,
///   and seldom.
///
/// An ejected node's probe request may be any request.
class AdmissionController {
public:
    /// All must outlive the controller.
    AdmissionController(const Settings &settings, const Priority &priority, const QuotaLedger &quotas);

    Admission check(const Request &request, const Node &node, bool timely, Micros now) const;

private:
    bool leaves_place_to_tighter_work(const Request &request, const Node &node, Micros now) const;
    bool leaves_rate_limit_to_timely_work(const Request &request, Micros now) const;

    const Priority &priority_;
    const QuotaLedger &quotas_;
    Micros shortest_objective_; // us, of all classes
};

/// The shortest latency objective of all classes, us.
Micros shortest_latency_objective(const Settings &settings);

} // namespace marblewood::policy
