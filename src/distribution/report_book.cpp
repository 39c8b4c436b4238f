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

std::vector<LaggingBroker> ReportBook::lagging(Micros now) const {
    std::vector<LaggingBroker> named;
    for (const auto &[name, entry] : entries_) {
        if (now - entry.received_at > kReportLifetime)
            continue;
        if (entry.version && *entry.version < newest_version_)
            named.push_back({name, now - newest_published_at_});
        if (!entry.version)
            named.insert(named.end(), entry.subtree.lagging.begin(), entry.subtree.lagging.end());
    }
    std::stable_sort(named.begin(), named.end(),
                     [](const LaggingBroker &a, const LaggingBroker &b) { return a.lag > b.lag; });
    if (named.size() > kMaxNamedBrokers)
        named.resize(kMaxNamedBrokers);
    return named;
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
    report.lagging = lagging(now);
    return report;
}

ReportSummary ReportBook::summary(Micros now) const {
    ReportSummary summary;
    for (const auto &[version, brokers] : subtree(now).brokers) {
        summary.brokers += brokers;
        if (version >= newest_version_)
            summary.current += brokers;
    }
    summary.lagging = lagging(now);
    return summary;
}

} // namespace marblewood::distribution
