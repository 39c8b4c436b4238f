// The rules of the service, followed from outside while an experiment runs: what reaches nodes, what clients
// are told. Free of I/O and of the clock.
#pragma once

#include "lab/experiment.hpp"

#include <boost/histogram.hpp>
#include <set>

namespace marblewood::lab {

// Units of a limited volume against its store: it starts full, fills at the plan's rate, and may fall below 0
// by the slack only.
class LimitWatch {
public:
    LimitWatch(double rate, double burst, double slack, Micros now)
        : rate_(rate), burst_(burst), slack_(slack), store_(burst), begun_(now), at_(now) {}
    void spend(Micros now, double units);
    double left(Micros now) const {
        return std::min(burst_, store_ + rate_ * static_cast<double>(now - at_) / 1e6);
    }
    double worst() const {
        return slack_ > 0 ? std::max(0.0, -least_) / slack_ : least_ < 0 ? 1e9 : 0;
    } // 1: at the bound

    // Units taken, of what the rate alone gave.
    double used() const {
        return at_ > begun_ ? sum_ / (rate_ * static_cast<double>(at_ - begun_) / 1e6) : 0;
    }

private:
    double rate_, burst_, slack_, store_, least_ = 0, sum_ = 0;
    Micros begun_, at_;
};

// Units that reach a cold node within any window, against `multiple` times what it can do then.
class ColdWatch {
public:
    static constexpr double kMultiple = 4;
    ColdWatch(const NodeModel &model, Micros window) : model_(model), window_(window) {}
    void started(Micros now) { since_ = now, sent_.clear(), sum_ = 0; }
    void sent(Micros now, double units);
    double speed(Micros now) const;         // part of its full speed
    double worst() const { return worst_; } // 1: at the bound

private:
    NodeModel model_;
    Micros window_;
    std::optional<Micros> since_;
    std::vector<std::pair<Micros, double>> sent_;
    double sum_ = 0, worst_ = 0;
};

struct Asking { // one request of a client, with all its tries
    Micros at = 0;
    int volume = 0;
    bool write = false, surge = false;
    double units = 0;
};

// Counts what clients see. A request is over when it was served, or its client has left.
class Oracle {
public:
    Oracle(const Experiment &experiment, const Settings &settings, std::vector<int> cell_of,
           std::vector<int> plan_of, Micros start);

    void asked(const Asking &asking);
    void answered() { ++answers_; }
    void surplus() { ++twice_; }    // an answer too many
    void unanswered() { ++never_; } // a try without an answer, though its broker lived
    void broken() { ++broken_; }    // a try whose broker was killed under it
    void paused() { ++paused_; }    // a try whose broker was paused during it
    void wrong() { ++wrong_; }      // a value that is not the one asked for
    void refused(Micros now, const Asking &asking);
    void surge_over(Micros at) { surge_over_ = at; } // from the start of the load
    // An attempt has reached a node, for a request whose client first asked then.
    void attempt(Micros asked) { ++attempts_[static_cast<int>((asked - start_) / 1'000'000)]; }
    void ended(Micros now, const Asking &asking, bool served);

    void at_node(Micros now, int volume, double units);
    void ran(const std::string &key, int group); // a keyed write was done by this group of nodes

    // All figures by name. See docs/laboratory.md.
    std::map<std::string, double> metrics() const;
    // Service a second, by cell: seconds from the start -> served units.
    const std::map<int, std::vector<double>> &series() const { return series_; }

private:
    using Latencies = boost::histogram::histogram<
        std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>;
    struct Share {
        double asked = 0, served = 0;
        double part() const { return asked > 0 ? served / asked : 1; }
    };
    double quantile(double q) const;

    const Experiment &experiment_;
    const Settings &settings_;
    std::vector<int> cell_of_, plan_of_;
    Micros start_;
    std::map<int, Share> cells_, plans_, classes_;
    std::map<std::pair<int, int>, Share> seconds_; // volume, second: without surges
    std::map<int, Share> all_seconds_;             // the same of all volumes without limits, settled or not
    std::map<int, std::uint64_t> first_tries_, attempts_; // by the second in which a client first asked
    Micros surge_over_ = 0;
    std::uint64_t refused_with_room_ = 0;
    std::map<int, std::vector<double>> series_;
    std::vector<std::optional<LimitWatch>> limits_;
    std::vector<std::optional<Micros>> gap_from_;
    Micros gap_ = 0, gap_unlimited_ = 0;
    std::set<int> surged_; // volumes
    std::map<std::string, std::set<int>> groups_;
    Latencies latencies_;
    std::uint64_t taken_ = 0, answers_ = 0, twice_ = 0, never_ = 0, broken_ = 0, paused_ = 0, wrong_ = 0,
                  refused_ = 0, served_ = 0;
};

} // namespace marblewood::lab
