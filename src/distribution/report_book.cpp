#include "distribution/report_book.hpp"

#include <algorithm>

namespace marblewood::distribution {

void ReportBook::report(const std::string &broker, Revision version, Micros now) {
    put(broker, {version, {}, now});
}

void ReportBook::report(const std::string &distributor, SubtreeReport subtree, Micros now) {
    put(distributor, {std::nullopt, std::move(subtree), now});
}

void ReportBook::put(const std::string &name, Entry entry) {
    if (entries_.size() >= kMostReporters)
        forget(entry.at);
    if (entries_.size() < kMostReporters || entries_.contains(name))
        entries_[name] = std::move(entry);
}

void ReportBook::published(Revision version, Micros now) {
    if (version <= newest_)
        return;
    newest_ = version;
    newest_at_ = now;
}

void ReportBook::forget(Micros now) {
    std::erase_if(entries_, [now](const auto &entry) { return now - entry.second.at > kKept; });
}

std::vector<Lacking> ReportBook::lacking(Micros now) const {
    std::vector<Lacking> all;
    for (const auto &[name, entry] : entries_) {
        if (now - entry.at > kKept)
            continue;
        if (entry.version && *entry.version < newest_)
            all.push_back({name, now - newest_at_});
        if (!entry.version)
            all.insert(all.end(), entry.subtree.lacking.begin(), entry.subtree.lacking.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const Lacking &a, const Lacking &b) { return a.for_us > b.for_us; });
    if (all.size() > kMostNamed)
        all.resize(kMostNamed);
    return all;
}

SubtreeReport ReportBook::subtree(Micros now) const {
    SubtreeReport report;
    for (const auto &[name, entry] : entries_) {
        if (now - entry.at > kKept)
            continue;
        if (entry.version)
            ++report.brokers[*entry.version];
        for (const auto &[version, brokers] : entry.subtree.brokers)
            report.brokers[version] += brokers;
    }
    report.lacking = lacking(now);
    return report;
}

ReportSummary ReportBook::summary(Micros now) const {
    ReportSummary summary;
    for (const auto &[version, brokers] : subtree(now).brokers) {
        summary.brokers += brokers;
        if (version >= newest_)
            summary.current += brokers;
    }
    summary.lacking = lacking(now);
    return summary;
}

} // namespace marblewood::distribution
