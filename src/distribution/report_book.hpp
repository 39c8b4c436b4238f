/// \file
/// Tracks which version of the configuration is in force on which brokers. Brokers report their version with
/// each call, a distributor reports the sum of its reports to its parent, and an operator reads the total at
/// the topmost distributor. No I/O and no clock.
///
/// Guarantees. A report counts for kReportLifetime after its arrival; reporters without a newer one are then
/// left out. All brokers that lag behind the newest version are counted, and kMaxNamedBrokers of them are
/// named, those that have lagged longest first. At most kMaxReporters reporters are kept; further ones are
/// not counted.
#pragma once

#include "distribution/change_log.hpp"
#include "marblewood/scheduler.hpp"

namespace marblewood::distribution {

/// A broker on which the newest version is not in force yet.
struct LaggingBroker {
    std::string broker;
    Micros lag = 0; ///< since the distributor that the broker reports to published the version
};

struct ReportSummary {
    std::size_t brokers = 0; ///< that report, directly or through other distributors
    std::size_t current = 0; ///< the brokers on which the newest version is in force
    std::vector<LaggingBroker> lagging;
};

/// The report of a distributor to its parent.
struct SubtreeReport {
    std::map<Revision, std::size_t> brokers; ///< number of brokers by the version in force on them
    std::vector<LaggingBroker> lagging;
};

class ReportBook {
public:
    static constexpr Micros kReportLifetime = 15'000'000;
    static constexpr std::size_t kMaxNamedBrokers = 8;
    static constexpr std::size_t kMaxReporters = 20'000;

    /// Records that `version` is in force on a broker.
    void report(const std::string &broker, Revision version, Micros now);
    /// Records the sum of the reports that another distributor has received.
    void report(const std::string &distributor, SubtreeReport subtree, Micros now);
    /// Records the publication of a version; one that is not newer has no effect.
    void record_published(Revision version, Micros now);

    ReportSummary summary(Micros now) const;
    SubtreeReport subtree(Micros now) const;

private:
    struct Entry {
        std::optional<Revision> version; ///< set for a broker
        SubtreeReport subtree;           ///< set for a distributor
        Micros received_at = 0;
    };
    std::vector<LaggingBroker> lagging(Micros now) const;
    void drop_expired(Micros now);
    void put(const std::string &name, Entry entry);

    std::map<std::string, Entry> entries_;
    Revision newest_version_ = 0;
    Micros newest_published_at_ = 0;
};

} // namespace marblewood::distribution
