/// \file
/// Load shedding: why a request is refused, which request is refused when the queue is full, and after what
/// time a refused client should retry.
#pragma once

#include "marblewood/metrics.hpp"
#include "policy/node_selector.hpp"
#include "policy/priority.hpp"
#include "policy/process_lifetime.hpp"
#include "policy/quota_ledger.hpp"

namespace marblewood::policy {

/// Why a request that was never sent is refused. ShedMetrics has a counter for each reason.
enum class ShedReason { RateLimit, NoNode, Ejected, SlowStart, ConcurrencyLimit, LowerPriority, QueueFull };

/// Decides which requests are shed, and counts them.
class LoadShedder {
public:
    /// The arguments must outlive the shedder.
    LoadShedder(const Settings &settings, const NodeTable &nodes, const RequestTable &requests,
                const RequestQueue &queue, const Priority &priority, const QuotaLedger &quotas,
                const SlowStart &slow_start, const ProcessLifetime &lifetime);

    /// Whether more requests are queued than allowed. Each of them occupies a client's connection, which is
    /// then not available for a request of higher priority.
    bool queue_is_full() const;

    /// The queued request to refuse first: that of the lowest priority and, among equals, of the latest
    /// objective deadline. Requests that have been sent before are refused last. At least one request must be
    /// queued.
    RequestId least_valuable(Micros now) const;

    /// Why a request that was never sent is held back now. If the shard has several nodes, the reason is that
    /// of the node that came closest to accepting it.
    ShedReason reason(const Request &request, Micros now) const;

    void count(ShedReason reason);
    const ShedMetrics &metrics() const { return metrics_; }

    /// The Retry-After of a refusal: the time in which the shard's nodes can process this host's queue for
    /// the shard, given their present concurrency limits and latencies. 0 if the deployment does not use
    /// Retry-After.
    Micros retry_after(ShardId shard) const;

private:
    const Settings &settings_;
    const NodeTable &nodes_;
    const RequestTable &requests_;
    const RequestQueue &queue_;
    const Priority &priority_;
    const QuotaLedger &quotas_;
    const SlowStart &slow_start_;
    const ProcessLifetime &lifetime_;
    Micros shortest_objective_;
    ShedMetrics metrics_;
};

} // namespace marblewood::policy
