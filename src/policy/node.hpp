/// \file
/// A node, with the state that each rule keeps about it.
#pragma once

#include "policy/concurrency_limit.hpp"
#include "policy/health_checks.hpp"
#include "policy/load_estimate.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/request.hpp"
#include "policy/slow_start.hpp"

#include <optional>
#include <set>

namespace marblewood::policy {

struct Node {
    NodeId id{};
    bool ready = false;        ///< the endpoint list marks the node as ready
    SlowStartState slow_start; ///< includes the node's entry in the endpoint list
    ConcurrencyLimit limit;
    NodeHealth health;
    LoadReportFilter reports;
    HealthCheckState checks;
    std::set<AttemptId> in_flight;
    std::optional<DataKey> last_key;      ///< key of the last request sent to the node
    bool in_flight_check_pending = false; ///< an InFlightCheck for the node is on the agenda

    const NodeEntry &entry() const { return slow_start.entry; }
    double in_flight_count() const { return static_cast<double>(in_flight.size()); }

    /// Recomputes the concurrency limit.
    void update_limit(const RequestTable &requests, Micros now) {
        const auto age = [&](const AttemptId &attempt) { return attempt_age(requests, attempt, now); };
        limit.update(in_flight, age, now);
    }
};

} // namespace marblewood::policy
