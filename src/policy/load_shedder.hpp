/// \file
/// Load shedding: why a request was refused, which one goes when too many wait, and when a refused client
/// should come back.
#pragma once

#include "marblewood/metrics.hpp"
#include "policy/node_selector.hpp"
#include "policy/priority.hpp"
#include "policy/process_lifetime.hpp"
#include "policy/quota_ledger.hpp"

namespace marblewood::policy {

/// Why a request that was never sent is refused; each has its counter in ShedMetrics.
enum class ShedReason { RateLimit, NoNode, Ejected, SlowStart, ConcurrencyLimit, LowerPriority, QueueFull };

class LoadShedder {
public:
    /// All must outlive the shedder.
    LoadShedder(const Settings &settings, const NodeTable &nodes, const RequestTable &requests,
                const RequestQueue &queue, const Priority &priority, const QuotaLedger &quotas,
                const SlowStart &slow_start, const ProcessLifetime &lifetime);

    /// Whether more requests wait than may be held: each holds a client's connection, which may be missing to
    /// one with better work.
    bool queue_is_full() const;

    /// The waiting request to be refused first: of the lowest priority, the latest due; one that was sent
    /// before goes last. At least one must wait.
    RequestId least_valuable(Micros now) const;

    /// What holds back a request that was never sent, at the node that came the nearest to taking it.
    ShedReason reason(const Request &request, Micros now) const;

    void count(ShedReason reason);
    const ShedMetrics &metrics() const { return metrics_; }

    /// Retry-After in us: the time to work off what waits here for the shard, at the pace that the
    /// concurrency limits and latencies of its nodes allow now. 0 where the deployment does not use it.
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
    Micros shortest_objective_; // us, of all classes
    ShedMetrics metrics_;
};

} // namespace marblewood::policy
