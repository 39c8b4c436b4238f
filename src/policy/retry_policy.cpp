#include "policy/retry_policy.hpp"

namespace marblewood::policy {
namespace {

constexpr Micros kRetryDelay = 20'000;
// Longer than kRetryDelay, because a node that does not accept connections takes longer to return.
constexpr Micros kRetryDelayAfterFailedConnect = 100'000;

// Whether the node recognises the idempotency key of a request that may have run in the attempt `first_run`.
bool recognises_key(const Node &node, const Request &request, const Attempt &first_run,
                    const NodeTable &nodes, Micros now) {
    if (now >= first_run.sent_at + request.request_class->deduplication_window)
        return false;
    const DeduplicationScope scope = request.request_class->deduplication_scope;
    if (scope == DeduplicationScope::All || first_run.node == node.id)
        return true;
    const Node *const first = nodes.find(first_run.node);
    if (!first)
        return false;
    return scope == DeduplicationScope::Zone ? first->entry().zone == node.entry().zone
                                             : first->entry().shard == node.entry().shard;
}

} // namespace

RetryDecision RetryPolicy::on_attempt_failed(const Request &request, Status status, Micros now) const {
    const bool must_not_repeat =
        request.first_possible_run() && request.request_class->idempotency == Idempotency::NotIdempotent;
    if (attempts_used_up(request) || now >= request.give_up_at || must_not_repeat)
        return final_answer(request);
    return Retry{now + (status == Status::ConnectFailed ? kRetryDelayAfterFailedConnect : kRetryDelay)};
}

bool RetryPolicy::allows_attempt(const Request &request, const Node &node, const NodeTable &nodes,
                                 Micros now) const {
    if (request.any_in_flight() || attempts_used_up(request))
        return false;
    const Attempt *const first_run = request.first_possible_run();
    if (!first_run)
        return true;
    switch (request.request_class->idempotency) {
    case Idempotency::Idempotent:
        return true;
    case Idempotency::WithKey:
        return recognises_key(node, request, *first_run, nodes, now);
    case Idempotency::NotIdempotent:
        break;
    }
    return false;
}

FinalAnswer RetryPolicy::final_answer(const Request &request) {
    const ClassSettings &request_class = *request.request_class;
    const bool recognised_everywhere = request_class.idempotency == Idempotency::WithKey &&
                                       request_class.deduplication_scope == DeduplicationScope::All;
    if (request_class.idempotency == Idempotency::Idempotent || !request.first_possible_run() ||
        recognised_everywhere)
        return FinalAnswer::Refuse;
    return FinalAnswer::Fail;
}

Micros RetryPolicy::latest_start(const Request &request) {
    const Attempt *const first_run = request.first_possible_run();
    if (!first_run || request.request_class->idempotency != Idempotency::WithKey)
        return 0;
    return first_run->sent_at + request.request_class->deduplication_window;
}

} // namespace marblewood::policy
