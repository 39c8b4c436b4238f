// Which version of the configuration is in force where: brokers report theirs with each call, distributors
// add up what they were told and report the sum to their parent, and an operator reads it at the top. Free of
// I/O and clock.
//
// Bounds promised. A report counts for kKept after it came; whoever has not reported for longer is left out.
// Of those that lack a version, kMostNamed are named, those that lack it the longest first; all are counted.
// No more than kMostReporters are kept; whoever comes beyond them is not counted.
#pragma once

#include "distribution/change_log.hpp"
#include "marblewood/scheduler.hpp"

namespace marblewood::distribution {

/// One broker that has not got the version in force at the top.
struct Lacking {
    std::string broker;
    Micros for_us = 0; // since the version was published where the book is kept
};

struct ReportSummary {
    std::size_t brokers = 0; // that report, directly or through others
    std::size_t current = 0; // of those, how many have the version asked for
    std::vector<Lacking> lacking;
};

/// What a distributor tells its parent: how many brokers have which version, and who lacks the newest.
struct SubtreeReport {
    std::map<Revision, std::size_t> brokers; // by version in force
    std::vector<Lacking> lacking;
};

class ReportBook {
public:
    static constexpr Micros kKept = 15'000'000; // us
    static constexpr std::size_t kMostNamed = 8;
    static constexpr std::size_t kMostReporters = 20'000;

    /// A broker has this version in force.
    void report(const std::string &broker, Revision version, Micros now);
    /// A distributor below has added up its own.
    void report(const std::string &distributor, SubtreeReport subtree, Micros now);
    /// A newer version is to be in force.
    void published(Revision version, Micros now);

    ReportSummary summary(Micros now) const;
    SubtreeReport subtree(Micros now) const;

private:
    struct Entry {
        std::optional<Revision> version; // of a broker
        SubtreeReport subtree;           // of a distributor
        Micros at = 0;
    };
    std::vector<Lacking> lacking(Micros now) const;
    void forget(Micros now);
    void put(const std::string &name, Entry entry);

    std::map<std::string, Entry> entries_;
    Revision newest_ = 0;
    Micros newest_at_ = 0;
};

} // namespace marblewood::distribution
