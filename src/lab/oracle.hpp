/// \file
/// Checks the broker's guarantees during an experiment from two observations: the requests that reach the
/// emulated nodes and the responses that clients receive. Does no I/O and reads no clock; callers pass the
/// time.
#pragma once

#include "lab/experiment.hpp"

#include <boost/histogram.hpp>
#include <set>

namespace marblewood::lab {

/// Token bucket that tracks the units of one rate-limited volume. It starts full with `burst` units, refills
/// at the plan's `rate` in units a second, and may be overdrawn by at most `slack` units.
class LimitMonitor {
public:
    LimitMonitor(double rate, double burst, double slack, Micros now)
        : rate_(rate), burst_(burst), slack_(slack), tokens_(burst), created_at_(now), updated_at_(now) {}
    void spend(Micros now, double units);
    /// Units in the bucket at `now`; negative while it is overdrawn.
    double tokens_left(Micros now) const {
        return std::min(burst_, tokens_ + rate_ * static_cast<double>(now - updated_at_) / 1e6);
    }
    /// Deepest overdraft as a fraction of the slack; above 1 the limit was violated. Without slack any
    /// overdraft counts as 1e9.
    double worst_ratio() const {
        return slack_ > 0 ? std::max(0.0, -min_tokens_) / slack_ : min_tokens_ < 0 ? 1e9 : 0;
    }

    /// All units spent, divided by the units that the plan's rate provided from the creation of the monitor
    /// to the last spending. The initial burst is not in the divisor, so the result can exceed 1.
    double rate_utilization() const {
        return updated_at_ > created_at_
                   ? units_sum_ / (rate_ * static_cast<double>(updated_at_ - created_at_) / 1e6)
                   : 0;
    }

private:
    double rate_, burst_, slack_, tokens_, min_tokens_ = 0, units_sum_ = 0;
    Micros created_at_, updated_at_;
};

/// Compares the units that reach a node during its slow start, summed over a sliding window, with
/// `kMaxCapacityMultiple` times what the node can process in that window at its current speed.
class SlowStartMonitor {
public:
    static constexpr double kMaxCapacityMultiple = 4;
    SlowStartMonitor(const NodeModel &model, Micros window) : model_(model), window_(window) {}
    void started(Micros now) { started_at_ = now, recent_.clear(), units_sum_ = 0; }
    void units_received(Micros now, double units);
    /// Current speed of the node as a fraction of its full speed.
    double speed_fraction(Micros now) const;
    /// Highest ratio of received to permitted units in any window; above 1 the bound was violated.
    double worst_ratio() const { return worst_; }

private:
    NodeModel model_;
    Micros window_;
    std::optional<Micros> started_at_;
    std::vector<std::pair<Micros, double>> recent_;
    double units_sum_ = 0, worst_ = 0;
};

/// One request of a client, covering all of its attempts.
struct ClientRequest {
    Micros at = 0;
    int volume = 0;
    bool write = false, surge = false;
    double units = 0;
};

/// Counts what clients observe. A request ends when it is served or when its client gives up.
class Oracle {
public:
    Oracle(const Experiment &experiment, const Settings &settings, std::vector<int> cell_of,
           std::vector<int> plan_of, Micros start);

    void request_started(const ClientRequest &client_request);
    void answer_received() { ++answers_received_; }
    /// A client connection carried a response that belongs to no request.
    void extra_answer_received() { ++extra_answers_; }
    /// An attempt got no response although its broker was running.
    void attempt_unanswered() { ++unanswered_; }
    /// An attempt got no response because its broker was killed.
    void attempt_lost_to_kill() { ++killed_attempts_; }
    /// An attempt got no response because its broker was paused during the attempt.
    void attempt_lost_to_pause() { ++paused_attempts_; }
    /// A read returned a value other than that of the requested object.
    void wrong_value_received() { ++wrong_values_; }
    void attempt_refused(Micros now, const ClientRequest &client_request);
    /// Sets the time at which the surge ends, counted from the start of the load.
    void set_surge_end(Micros at) { surge_end_ = at; }
    /// Counts an attempt that reached a node, under the second in which its client first sent the request.
    void attempt_reached_node(Micros asked) { ++attempts_[static_cast<int>((asked - start_) / 1'000'000)]; }
    void request_ended(Micros now, const ClientRequest &client_request, bool served);

    /// Charges a request that reached a node to the rate limit of its volume.
    void charge_units(Micros now, int volume, double units);
    /// Records that nodes of this cell executed the write with this idempotency key.
    void write_executed(const std::string &key, int cell);

    /// All metrics by name; docs/laboratory.md describes them.
    std::map<std::string, double> metrics() const;
    /// Units served in time, by cell and second from the start of the load.
    const std::map<int, std::vector<double>> &series() const { return served_by_second_; }

private:
    using Latencies = boost::histogram::histogram<
        std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>;
    struct ServiceRatio {
        double asked = 0, served = 0;
        double value() const { return asked > 0 ? served / asked : 1; }
    };
    double quantile(double q) const;

    const Experiment &experiment_;
    const Settings &settings_;
    std::vector<int> cell_of_, plan_of_;
    Micros start_;
    std::map<int, ServiceRatio> by_cell_, by_plan_, by_class_;
    // By volume and second; surge requests are excluded.
    std::map<std::pair<int, int>, ServiceRatio> volume_seconds_;
    // By second, over all volumes without a rate limit; includes the settling time, excludes surge requests.
    std::map<int, ServiceRatio> unlimited_seconds_;
    // By the second in which the client first sent the request.
    std::map<int, std::uint64_t> first_attempts_, attempts_;
    Micros surge_end_ = 0;
    std::uint64_t refused_with_room_ = 0;
    std::map<int, std::vector<double>> served_by_second_;
    std::vector<std::optional<LimitMonitor>> limits_;
    std::vector<std::optional<Micros>> gap_started_at_;
    Micros longest_gap_ = 0, longest_gap_unlimited_ = 0;
    std::set<int> surging_volumes_;
    std::map<std::string, std::set<int>> cells_by_key_;
    Latencies latencies_;
    std::uint64_t requests_ = 0, answers_received_ = 0, extra_answers_ = 0, unanswered_ = 0,
                  killed_attempts_ = 0, paused_attempts_ = 0, wrong_values_ = 0, refused_ = 0, served_ = 0;
};

} // namespace marblewood::lab
