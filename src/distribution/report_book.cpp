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
    if (entries_.size() >= kMaxReporters)
        drop_expired(entry.received_at);
    if (entries_.size() < kMaxReporters || entries_.contains(name))
        entries_[name] = std::move(entry);
}

void ReportBook::record_published(Revision version, Micros now) {
    if (version <= newest_version_)
        return;
    newest_version_ = version;
    newest_published_at_ = now;
}

void ReportBook::drop_expired(Micros now) {
    std::erase_if(entries_,
                  [now](const auto &entry) { return now - entry.second.received_at > kReportLifetime; });
}

std::vector<LaggingBroker> ReportBook::lacking(Micros now) const {
    std::vector<LaggingBroker> lagging;
    for (const auto &[name, entry] : entries_) {
        if (now - entry.received_at > kReportLifetime)
            continue;
        if (entry.version && *entry.version < newest_version_)
            lagging.push_back({name, now - newest_published_at_});
        if (!entry.version)
            lagging.insert(lagging.end(), entry.subtree.lacking.begin(), entry.subtree.lacking.end());
    }
    std::stable_sort(lagging.begin(), lagging.end(),
                     [](const LaggingBroker &a, const LaggingBroker &b) { return a.for_us > b.for_us; });
    if (lagging.size() > kMaxNamedBrokers)
        lagging.resize(kMaxNamedBrokers);
    return lagging;
}

SubtreeReport ReportBook::subtree(Micros now) const {
    SubtreeReport report;
    for (const auto &[name, entry] : entries_) {
        if (now - entry.received_at > kReportLifetime)
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
        if (version >= newest_version_)
            summary.current += brokers;
    }
    summary.lacking = lacking(now);
    return summary;
}

} // namespace marblewood::distribution
