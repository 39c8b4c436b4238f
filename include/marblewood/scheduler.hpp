/// \file
/// The decision module: it chooses, admits, places, retries and gives up. Settings, events and actions are in
/// the headers included here; the rules are in src/policy/.
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
/// Time: `now` must not go back from call to call. Events are passed in the order in which they happened; the
/// actions that a call appends take effect at its `now`, in their order.
///
/// Errors: the constructor throws std::invalid_argument naming a setting that is missing or contradictory.
/// handle() throws std::invalid_argument, with nothing changed, for a request whose class or plan is unknown
/// or whose id is still open. Any other event about something that this Scheduler does not know is ignored.
class Scheduler {
public:
    explicit Scheduler(const Settings &settings);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// Processes one event and appends what has to be done; nothing in `actions` is removed.
    void handle(Micros now, const Event &event, std::vector<Action> &actions);

    /// The number of entries held, for tests and for a caller's own accounts.
    struct Held {
        std::size_t requests = 0;
        std::size_t attempts_out = 0;
        std::size_t keys = 0;
        std::size_t volumes = 0;
        std::size_t nodes = 0;
    };
    Held held() const;

    /// Whether an event about this request still matters: it has no final answer, or an attempt is in flight.
    bool tracks(RequestId id) const;
    /// The most requests that may be in flight at a node (AM-C); empty for an unknown node.
    std::optional<double> concurrency_limit(NodeId node) const;
    OverloadMetrics overload() const;
    /// Whether a known node gets no requests at present, or probe requests only.
    bool is_avoided(NodeId node) const;
    /// The state for a successor, to be followed at once by DrainForSuccessor. With a volume: its quota
    /// alone, as far as it is known.
    HandoverState handover_state(std::optional<VolumeId> only = {}) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace marblewood
