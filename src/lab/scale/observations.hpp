// What the brokers of a run saw, and the figures that follow from it. Free of I/O and clock.
#pragma once

#include "lab/scale/hollow_broker.hpp"
#include "lab/scale/list_source.hpp"

#include <map>

namespace marblewood::lab::scale {

struct BrokerRecord {
    std::string name, region;
    Micros started = 0;                        // when its process was started
    std::vector<Adoption> adopted, configured; // revisions of the list, versions of the configuration
    std::vector<double> traffic; // bytes both ways so far, at each whole second from `first_sample`
    Micros first_sample = 0;
    int went_back = 0;
    double calls = 0, failed = 0, datagrams = 0;
};

/// For how long a region could not hear of changes.
struct Outage {
    std::string region;
    Micros from = 0, until = 0;
};

/// When a change had to be known by the broker at the earliest: published, the broker started, its region
/// joined again, whichever is last.
Micros due_from(const Published &change, const BrokerRecord &broker, const std::vector<Outage> &outages);

struct Latencies {
    double worst_s = 0, median_s = 0;
    std::string worst_broker;
    int missed = 0; // changes that a broker did not hold at the end
    int counted = 0;
};
/// From a change until it was held, over all brokers and the changes that `counts` takes. `held` says in
/// which of the brokers' records.
Latencies latencies(const std::vector<Published> &changes, const std::vector<BrokerRecord> &brokers,
                    std::vector<Adoption> BrokerRecord::*held, const std::vector<Outage> &outages,
                    const std::function<bool(const Published &)> &counts);

/// Bytes a second both ways: of the mean broker between two times, and of the worst one in its worst window.
struct Rates {
    double mean = 0;
    double worst_window = 0;
};
constexpr int kWindow = 10; // s
Rates rates(const std::vector<BrokerRecord> &brokers, Micros from, Micros until);

} // namespace marblewood::lab::scale
