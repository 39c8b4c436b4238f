/// \file
/// The settings that a Scheduler is created with. All spans of time are in microseconds; a rule that the
/// deployment does not have keeps its figures at 0.
#pragma once

#include "marblewood/types.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace marblewood {

/// What running a request a second time may do.
enum class Idempotency {
    Idempotent,   ///< harmless: may always be retried
    WithKey,      ///< carries an idempotency key: nodes of one scope drop duplicates for a while
    NotIdempotent ///< must not be sent again once it may have run
};

/// The nodes that recognise each other's idempotency keys.
enum class DeduplicationScope { All, Zone, Cell };

/// A class of requests.
struct ClassSettings {
    Micros latency_objective = 0; ///< a request answered within it earns its full priority weight
    Micros deadline = 0;          ///< how long a client waits, over all attempts
    double priority_weight = 1;
    double late_priority_factor = 0; ///< applied to the weight after the latency objective
    Idempotency idempotency = Idempotency::Idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::All;
    Micros deduplication_window = 0; ///< WithKey: duplicates are dropped for so long after the first send
    bool in_order = false;           ///< requests with one DataKey run one at a time, in order of arrival
    bool stream = false;
    std::string name = {}; ///< as the configuration spells it
};

/// A plan. Its figures hold for each volume on it, over all hosts and nodes together.
struct PlanSettings {
    double rate = 0;            ///< units/s that a volume on this plan is sized for
    double reserve = 0;         ///< units/s that earn full priority weight
    double weight = 1;          ///< weight in the division of capacity beyond the reserves
    double priority_factor = 1; ///< applied to the priority weight of each class
    double limit = 0;           ///< rate limit, units/s; 0: none
    double limit_burst = 0;     ///< units
    double limit_slack = 0;     ///< decoded, not used
    std::string name = {};      ///< as the configuration spells it
};

struct Settings {
    int hosts = 1;    ///< instances of the scheduler
    int position = 0; ///< index of this one among them
    std::uint64_t seed = 0;
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    Micros period = 1000; ///< granularity of the caller's timers; rules allow two of it as lateness
    std::size_t max_queued_requests = 0; ///< beyond it the lowest priority is shed; 0: no bound

    // Features that the deployment allows.
    bool poll_endpoint_list = false; ///< the list has to be polled; read by its owner, not by the module
    bool cancel = false;             ///< attempts may be cancelled
    bool probes = false;             ///< nodes answer health checks
    bool peers = false;              ///< hosts may send each other messages
    bool lends = false;              ///< hosts lend each other units of rate limits
    bool hedging = false;            ///< decoded, not used: attempts of a request run one at a time
    bool retry_after = false;        ///< rejections may carry a Retry-After
    int max_attempts = 1;
    Micros max_retry_after = 0;
    Micros connect_timeout = 0;
    Micros idle_close = 0; ///< nodes close connections that were idle for so long; 0: never

    Micros answer_slack = 0; ///< a final answer this long after the deadline still counts
    Micros drain_grace = 0;  ///< decoded, not used
    Micros list_poll_interval = 0;

    // Slow start of nodes that have just started.
    Micros slow_start_window = 0; ///< load is added up over this span; 0: no slow start
    Micros slow_start_duration = 0;
    double slow_start_initial_fraction = 1; ///< part of a node's capacity that is available at its start
    double slow_start_units =
        0; ///< units in a window that a starting node bears from all hosts; 0: not stated

    Micros ordering_settle_time = 0; ///< in_order classes: pause after an attempt that may still run

    // Retry budget: retries in a window <= retry_budget_free + retry_budget_fraction x requests in it.
    double retry_budget_free = 0;
    double retry_budget_fraction = 0;
    Micros retry_budget_window = 0; ///< 0: no budget

    // Accounting.
    double max_request_units = 1;
    double mean_request_units = 1;
    double share_priority_factor = 1;   ///< for work beyond a volume's reserve, within its share
    double surplus_priority_factor = 1; ///< for work beyond its share
    Micros meter = 0;                   ///< period of metering; 0: none; not used
    bool reports_remote_units = false;  ///< answers report what a volume used through other hosts
};

} // namespace marblewood
