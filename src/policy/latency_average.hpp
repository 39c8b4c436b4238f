/// \file
/// The decayed average of a node's latency, as a ratio to the latency objective.
#pragma once

#include "marblewood/types.hpp"
#include "policy/time.hpp"

namespace marblewood::policy {

/// The latency ratio that AM-C steers towards: answers take as long as their latency objective.
constexpr double kTargetLatencyRatio = 1.0;

/// An exponentially decayed mean of latency ratios (latency / latency objective, dimensionless). One host
/// receives answers from a node only seldom, so a sample keeps its influence for some seconds.
class LatencyAverage {
public:
    static constexpr double kDecayTimeConstantMicros = 4e6;

    /// The state, as it is handed over to a successor process.
    struct State {
        double sum = 0;
        double weight = 0; ///< number of samples, decayed
        Micros updated_at = 0;
    };

    /// Adds one sample.
    void add(double ratio, Micros now) {
        const double keep = decay(state_.updated_at, now, kDecayTimeConstantMicros);
        state_.sum = state_.sum * keep + ratio;
        state_.weight = state_.weight * keep + 1;
        state_.updated_at = now;
    }

    /// The mean; the target ratio if there is no sample.
    double mean() const { return state_.weight > 0 ? state_.sum / state_.weight : kTargetLatencyRatio; }

    /// The weight of the samples, decayed to `now`. The lower it is, the less the mean says about the
    /// present.
    double weight_at(Micros now) const {
        return state_.weight * decay(state_.updated_at, now, kDecayTimeConstantMicros);
    }

    /// The sum and the weight of the samples, decayed to `now`.
    State decayed_to(Micros now) const {
        const double keep = decay(state_.updated_at, now, kDecayTimeConstantMicros);
        return {state_.sum * keep, state_.weight * keep, now};
    }

    const State &state() const { return state_; }
    void restore(const State &state) { state_ = state; }

private:
    State state_;
};

} // namespace marblewood::policy
