/// \file
/// The decayed average of a node's latency, as a ratio to the latency objective.
#pragma once

#include "marblewood/types.hpp"
#include "policy/time.hpp"

namespace marblewood::policy {

/// Ratio at which a node's answers take as long as their latency objective: what AM-C steers towards.
constexpr double kTargetLatencyRatio = 1.0;

/// An exponentially decayed mean of latency ratios (latency / latency objective, without unit). One host
/// hears from a node seldom, so what it saw counts on for some seconds.
class LatencyAverage {
public:
    /// Time constant of the decay, us.
    static constexpr double kDecayTime = 4e6;

    /// The state, for a successor.
    struct State {
        double sum = 0;
        double weight = 0; ///< number of samples, decayed
        Micros updated_at = 0;
    };

    /// Adds one sample.
    void add(double ratio, Micros now) {
        const double keep = decay(state_.updated_at, now, kDecayTime);
        state_.sum = state_.sum * keep + ratio;
        state_.weight = state_.weight * keep + 1;
        state_.updated_at = now;
    }

    /// The mean; the target while there is no sample.
    double mean() const { return state_.weight > 0 ? state_.sum / state_.weight : kTargetLatencyRatio; }

    /// The weight of the samples as of now: how much the mean says of the present.
    double weight_at(Micros now) const { return state_.weight * decay(state_.updated_at, now, kDecayTime); }

    /// The sum and the weight of the samples as of now.
    State decayed_to(Micros now) const {
        const double keep = decay(state_.updated_at, now, kDecayTime);
        return {state_.sum * keep, state_.weight * keep, now};
    }

    const State &state() const { return state_; }
    void restore(const State &state) { state_ = state; }

private:
    State state_;
};

} // namespace marblewood::policy
