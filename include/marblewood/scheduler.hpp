/// \file
/// The decision module. It admits requests, chooses nodes for them, places new objects, retries attempts and
/// decides when a request is given up. The headers included here define its settings, events and actions; its
/// rules are in src/policy/.
#pragma once

#include "marblewood/actions.hpp"
#include "marblewood/events.hpp"
#include "marblewood/metrics.hpp"
#include "marblewood/settings.hpp"
#include "marblewood/types.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace marblewood {

/// Decides what happens to each request.
///
/// Threads: a Scheduler has one owner and is called from one thread. It does no I/O, reads no clock and
/// starts no thread; the same settings and events give the same actions.
///
/// Time: `now` must not decrease from one call to the next. Events must be passed in the order in which they
/// happened. The actions that a call appends take effect at the `now` of that call, in their order.
///
/// Errors: the constructor throws std::invalid_argument naming a setting that is missing or contradictory.
/// handle() throws std::invalid_argument and changes nothing if the class or plan of a new request is
/// unknown, or if another open request has its id. It ignores any other event about a request, attempt or
/// node that this Scheduler does not know.
class Scheduler {
public:
    explicit Scheduler(const Settings &settings);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// Processes one event and appends the resulting actions to `actions`, which keeps its previous contents.
    void handle(Micros now, const Event &event, std::vector<Action> &actions);

    /// The number of entries of each kind that the Scheduler holds, for tests and for a caller's statistics.
    struct EntryCounts {
        std::size_t requests = 0;
        std::size_t attempts_in_flight = 0;
        std::size_t keys = 0;
        std::size_t volumes = 0;
        std::size_t nodes = 0;
        std::size_t shard_queues = 0;
        std::size_t unserved = 0;  ///< requests remembered to recognise their retries
        std::size_t scheduled = 0; ///< entries of the timer queue
    };
    EntryCounts entry_counts() const;

    /// Whether events about this request still matter, because it has no final answer or because one of its
    /// attempts is in flight.
    bool tracks(RequestId id) const;
    /// The concurrency limit (AM-C) of a node: the most requests that this host may have in flight there.
    /// Empty for an unknown node.
    std::optional<double> concurrency_limit(NodeId node) const;
    OverloadMetrics overload() const;
    /// Whether a known node receives no requests at present, or only probe requests.
    bool is_avoided(NodeId node) const;
    /// The state to hand over to a successor process. The caller must pass DrainForSuccessor right after it
    /// has taken the state of all volumes. With `only`, the quotas are those of that volume, if it is known.
    HandoverState handover_state(std::optional<VolumeId> only = {}) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace marblewood
