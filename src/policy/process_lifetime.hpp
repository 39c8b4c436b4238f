/// \file
/// The state of this process in a hot restart.
#pragma once

#include "policy/time.hpp"

#include <algorithm>

namespace marblewood::policy {

/// Since when this process makes decisions, and whether it drains for a successor process.
///
/// While the process drains, it sends only requests that it has already accepted. Its rate-limit buckets are
/// not refilled, it sends nothing to warming nodes, and the concurrency limit of each node is the floor.
class ProcessLifetime {
public:
    bool started() const { return deciding_since_ != kLongAgo; }
    void start(Micros now) { deciding_since_ = now; }

    /// Counts the decisions of a predecessor process as those of this process.
    void inherit(Micros predecessor_started_at) {
        deciding_since_ = std::min(deciding_since_, predecessor_started_at);
    }

    bool draining() const { return draining_; }
    void set_draining(bool draining) { draining_ = draining; }

    Micros deciding_since() const { return deciding_since_; }
    /// The time since when this process has made decisions, for slow start. While it drains, this is `now`,
    /// so that slow start allows no sends.
    Micros slow_start_since(Micros now) const { return draining_ ? now : deciding_since_; }

private:
    Micros deciding_since_ = kLongAgo;
    bool draining_ = false;
};

} // namespace marblewood::policy
