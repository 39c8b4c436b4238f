/// \file
/// Which of the requests that wait for a shard goes to a node next.
#pragma once

#include "policy/admission.hpp"
#include "policy/ordered_keys.hpp"
#include "policy/request_queue.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"

namespace marblewood::policy {

struct Selection {
    Request *request = nullptr;  ///< null: none may go
    bool lacks_evidence = false; ///< one yields for want of evidence that a health check may give
    double slow_start_units = 0; ///< units of a timely request that slow start alone holds back; 0: none
};

/// Rule. Of the requests that may be attempted at the node, and that slow start and admission let go: for an
/// ejected node an idempotent one first, then by priority band, earliest objective deadline, and age.
class RequestSelector {
public:
    /// All must outlive the selector.
    RequestSelector(const RetryPolicy &retry_policy, const RetryBudget &retry_budget, const OrderedKeys &keys,
                    const Priority &priority, const AdmissionController &admission,
                    const SlowStart &slow_start, const NodeTable &nodes, const ProcessLifetime &lifetime);

    /// Records in `quotas` which volumes' rate limits hold requests back.
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
