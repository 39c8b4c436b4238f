/// \file
/// Since when this process decides, and whether it drains for a successor.
#pragma once

#include "policy/time.hpp"

#include <algorithm>

namespace marblewood::policy {

/// Since when this process decides, and whether it drains for a successor.
///
/// While it drains, only requests already accepted are sent: rate limits fill no more, warming nodes get
/// nothing from here, and a node gets the floor of the concurrency limit.
class ProcessLifetime {
public:
    bool started() const { return deciding_since_ != kLongAgo; }
    void start(Micros now) { deciding_since_ = now; }

    /// A predecessor's decisions count as this process's own.
    void inherit(Micros predecessor_started_at) {
        deciding_since_ = std::min(deciding_since_, predecessor_started_at);
    }

    bool draining() const { return draining_; }
    void set_draining(bool draining) { draining_ = draining; }

    Micros deciding_since() const { return deciding_since_; }
    /// The time from which slow start counts this process as deciding.
    Micros slow_start_since(Micros now) const { return draining_ ? now : deciding_since_; }

private:
    Micros deciding_since_ = kLongAgo;
    bool draining_ = false;
};

} // namespace marblewood::policy
