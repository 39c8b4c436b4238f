/// \file
/// Selects the next request for a node from the queue of its shard.
#pragma once

#include "policy/admission.hpp"
#include "policy/ordered_keys.hpp"
#include "policy/request_queue.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"

namespace marblewood::policy {

/// The result of a selection, and what could let a request through that is held back.
struct Selection {
    Request *request = nullptr;  ///< null: no request may be sent now
    bool lacks_evidence = false; ///< a request is held back that a load report of the node might admit
    double slow_start_units = 0; ///< units of a timely request that only slow start holds back; 0: none
};

/// Rule. A request is a candidate if an attempt at the node is allowed now, and if slow start and admission
/// allow it. Candidates are ordered by priority band, then by objective deadline (earliest first), then by
/// age (oldest first). For an ejected node idempotent requests come before all others.
class RequestSelector {
public:
    /// The arguments must outlive the selector.
    RequestSelector(const RetryPolicy &retry_policy, const RetryBudget &retry_budget, const OrderedKeys &keys,
                    const Priority &priority, const AdmissionController &admission,
                    const SlowStart &slow_start, const NodeTable &nodes, const ProcessLifetime &lifetime);

    /// Also records in `quotas` the volumes whose rate limits hold requests back.
    Selection select(const std::vector<Request *> &waiting, const Node &node, QuotaLedger &quotas,
                     Micros now) const;

private:
    bool may_attempt(const Request &request, const Node &node, const QuotaLedger &quotas, Micros now) const;

    const RetryPolicy &retry_policy_;
    const RetryBudget &retry_budget_;
    const OrderedKeys &keys_;
    const Priority &priority_;
    const AdmissionController &admission_;
    const SlowStart &slow_start_;
    const NodeTable &nodes_;
    const ProcessLifetime &lifetime_;
};

} // namespace marblewood::policy
