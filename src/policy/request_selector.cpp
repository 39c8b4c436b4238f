#include "policy/request_selector.hpp"

namespace marblewood::policy {
namespace {

struct Candidate {
    Request *request = nullptr;
    bool safe_at_node = false; // the node is healthy, or the request is idempotent
    double band = 0;
};

bool goes_before(const Candidate &one, const Candidate &other) {
    if (!other.request)
        return true;
    if (one.safe_at_node != other.safe_at_node)
        return one.safe_at_node;
    if (one.band != other.band)
        return one.band > other.band;
    if (one.request->objective_deadline != other.request->objective_deadline)
        return one.request->objective_deadline < other.request->objective_deadline;
    return one.request->id < other.request->id;
}

} // namespace

RequestSelector::RequestSelector(const RetryPolicy &retry_policy, const RetryBudget &retry_budget,
                                 const OrderedKeys &keys, const Priority &priority,
                                 const AdmissionController &admission, const SlowStart &slow_start,
                                 const NodeTable &nodes, const ProcessLifetime &lifetime)
    : retry_policy_(retry_policy), retry_budget_(retry_budget), keys_(keys), priority_(priority),
      admission_(admission), slow_start_(slow_start), nodes_(nodes), lifetime_(lifetime) {}

Selection RequestSelector::select(const std::vector<Request *> &waiting, const Node &node,
                                  QuotaLedger &quotas, Micros now) const {
    Selection selection;
    Candidate best;
    const Micros since = lifetime_.slow_start_since(now);
    for (Request *request : waiting) {
        const RequestArrived &arrival = request->arrival;
        if (request->not_before > now || !may_attempt(*request, node, quotas, now)) {
            if (!quotas.allows(*request, now))
                quotas.record_shortage(arrival.volume);
            continue;
        }
        const bool timely = Priority::is_timely(*request, node, now);
        if (!slow_start_.allows(node.slow_start, arrival.units, now, since)) {
            if (timely && selection.slow_start_units == 0)
                selection.slow_start_units = arrival.units;
            continue;
        }
        const Admission admission = admission_.check(*request, node, timely, now);
        if (admission != Admission::Admit) {
            selection.lacks_evidence |= admission == Admission::YieldForEvidence;
            continue;
        }
        const bool idempotent = request->request_class->idempotency == Idempotency::Idempotent;
        const Candidate candidate{request, !node.health.ejected || idempotent,
                                  priority_.band(*request, node, timely)};
        if (goes_before(candidate, best))
            best = candidate;
    }
    selection.request = best.request;
    return selection;
}

bool RequestSelector::may_attempt(const Request &request, const Node &node, const QuotaLedger &quotas,
                                  Micros now) const {
    if (!retry_policy_.allows_attempt(request, node, nodes_, now) || !quotas.allows(request, now))
        return false;
    const bool retry = !request.attempts.empty();
    if (retry && !retry_budget_.allows_retry(now))
        return false;
    return !request.is_ordered() || keys_.is_turn(*request.arrival.key, request.id, retry, now);
}

} // namespace marblewood::policy
