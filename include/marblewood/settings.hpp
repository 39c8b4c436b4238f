/// \file
/// The settings that a Scheduler is constructed with. All time spans are in microseconds. The settings of a
/// rule that the deployment does not use stay 0.
#pragma once

#include "marblewood/types.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace marblewood {

/// Whether a request may be run a second time.
enum class Idempotency {
    Idempotent,   ///< harmless: may always be retried
    WithKey,      ///< carries an idempotency key: nodes of one scope drop duplicates for a limited time
    NotIdempotent ///< must not be sent again once it may have run
};

/// The nodes that recognise each other's idempotency keys.
enum class DeduplicationScope { All, Zone, Cell };

/// A class of requests.
struct ClassSettings {
    Micros latency_objective = 0; ///< requests answered within it count with their full weight
    Micros deadline = 0;          ///< how long a client waits, all attempts included
    double priority_weight = 1;
    double late_priority_factor = 0; ///< factor on the weight after the latency objective has passed
    Idempotency idempotency = Idempotency::Idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::All;
    Micros deduplication_window = 0; ///< WithKey: time after the first send in which duplicates are dropped
    bool in_order = false;           ///< requests with the same DataKey run one at a time, in order
    bool stream = false;
    std::string name = {}; ///< the class's name in the configuration
};

/// A plan. Its rates apply to each volume on the plan separately, and to all hosts and nodes together.
struct PlanSettings {
    double rate = 0;            ///< units/s that a volume on this plan is expected to use
    double reserve = 0;         ///< units/s that count with full priority weight
    double weight = 1;          ///< weight in the division of the capacity beyond the reserves
    double priority_factor = 1; ///< factor on the priority weight of each class
    double limit = 0;           ///< rate limit, units/s; 0: none
    double limit_burst = 0;     ///< capacity of the rate limit's token bucket, units
    double limit_slack = 0;     ///< decoded but not used
    std::string name = {};      ///< the plan's name in the configuration
};

struct Settings {
    int hosts = 1;    ///< number of hosts, each of which runs a Scheduler
    int position = 0; ///< index of this host
    std::uint64_t seed = 0;
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    /// Granularity of the caller's timers. The rules allow for timers that are late by two periods.
    Micros period = 1000;
    /// Queued requests beyond this number are shed, lowest priority first; 0: no bound.
    std::size_t max_queued_requests = 0;
    /// Of each kind of state that is kept by a name which clients choose (volume, piece of data), about this
    /// many entries are kept, those used last; 0: no bound.
    std::size_t max_entries_by_name = 0;

    // Features of the deployment.
    bool poll_endpoint_list = false; ///< the caller has to poll the endpoint list; a Scheduler ignores it
    bool cancel = false;             ///< attempts may be cancelled
    bool probes = false;             ///< nodes answer health checks
    bool peers = false;              ///< hosts may send messages to each other
    bool lends = false;              ///< hosts lend units of rate limits to each other
    bool hedging = false;            ///< decoded but not used: a request has one attempt at a time
    bool retry_after = false;        ///< refusals may carry a Retry-After
    int max_attempts = 1;
    Micros max_retry_after = 0;
    Micros connect_timeout = 0;
    Micros idle_close = 0; ///< idle time after which nodes close a connection; 0: never

    Micros answer_slack = 0; ///< a final answer may come this long after the deadline
    Micros drain_grace = 0;  ///< decoded but not used
    Micros list_poll_interval = 0;

    // Slow start of nodes that have just started.
    Micros slow_start_window = 0; ///< window over which the load is summed; 0: no slow start
    Micros slow_start_duration = 0;
    double slow_start_initial_fraction = 1; ///< fraction of a node's capacity at its start
    /// Units per window that a node can take from all hosts together at its start; 0: not stated.
    double slow_start_units = 0;

    /// For classes with in_order: for how long no other request of a key is started after an attempt with an
    /// unknown outcome, since the node may still be running it.
    Micros ordering_settle_time = 0;

    // Retry budget: retries in a window <= retry_budget_free + retry_budget_fraction x requests in that
    // window.
    double retry_budget_free = 0;
    double retry_budget_fraction = 0;
    Micros retry_budget_window = 0; ///< 0: no budget

    // Accounting.
    double max_request_units = 1;
    double mean_request_units = 1;
    double share_priority_factor = 1;   ///< for requests beyond a volume's reserve but within its share
    double surplus_priority_factor = 1; ///< for requests beyond a volume's share
    Micros meter = 0;                   ///< interval of metering; 0: none. Not used.
    bool reports_remote_units = false;  ///< answers report the volume's use through other hosts
};

} // namespace marblewood
