#include "distribution/change_log.hpp"

#include <algorithm>

namespace marblewood::distribution {

Taken ChangeLog::take(const Update &update) {
    if (update.revision < revision_)
        return Taken::Older;
    if (update.revision == revision_)
        return update.members.empty() || update.complete ? Taken::Yes : Taken::Older;
    const bool first = empty();
    if (first && !update.complete)
        return Taken::Older; // changes to a list that is not known
    if (update.complete)
        remove_unnamed(update);
    for (const Member &member : update.members)
        put(member, update.revision);
    revision_ = update.revision;
    if (first)
        oldest_ = revision_;
    forget_removed();
    return Taken::Yes;
}

void ChangeLog::index(const std::string &id, const Row &row, bool present) {
    const std::pair key{row.changed, id};
    const auto apply = [&](Index &of) {
        if (present)
            of.insert(key);
        else
            of.erase(key);
    };
    apply(by_revision_);
    if (row.urgent)
        apply(urgent_);
    if (row.phase == Phase::Removed) {
        apply(removed_);
    } else if (present) {
        ++listed_, whole_bytes_ += entry_bytes(row.text);
    } else {
        --listed_, whole_bytes_ -= entry_bytes(row.text);
    }
}

void ChangeLog::put(const Member &member, Revision revision) {
    const auto at = rows_.find(member.id);
    bool urgent = member.phase != Phase::Up;
    if (at != rows_.end()) {
        urgent |= at->second.phase != Phase::Removed && at->second.shard != member.shard;
        if (at->second.text == member.text && at->second.phase == member.phase)
            return;
        index(member.id, at->second, false);
        rows_.erase(at);
    }
    const Row &row = rows_[member.id] = {member.text, member.phase, member.shard, urgent, revision};
    index(member.id, row, true);
}

// Whoever is not named by a whole list has been removed.
void ChangeLog::remove_unnamed(const Update &update) {
    std::set<std::string_view> named;
    for (const Member &member : update.members)
        named.insert(member.id);
    std::vector<Member> gone;
    for (const auto &[id, row] : rows_)
        if (row.phase != Phase::Removed && !named.contains(id))
            gone.push_back({id, row.text, Phase::Removed, row.shard});
    for (const Member &member : gone)
        put(member, update.revision);
}

void ChangeLog::forget_removed() {
    while (removed_.size() > most_removed_) {
        const auto [revision, id] = *removed_.begin();
        index(id, rows_.at(id), false);
        rows_.erase(id);
        oldest_ = std::max(oldest_, revision);
    }
}

void ChangeLog::add(Delta &delta, const Row &row) {
    delta.entries.push_back({row.text, row.phase});
    delta.bytes += entry_bytes(row.text);
}

Delta ChangeLog::whole() const {
    Delta delta{revision_, true, {}, 0};
    for (const auto &[id, row] : rows_)
        if (row.phase != Phase::Removed)
            add(delta, row);
    return delta;
}

Delta ChangeLog::changes(Revision since, std::size_t most_bytes, Revision urgent_told) const {
    Delta delta{since, false, {}, 0};
    auto at = by_revision_.lower_bound({since + 1, std::string()});
    while (at != by_revision_.end()) { // a revision goes whole or not at all
        const Revision revision = at->first;
        std::size_t bytes = 0;
        auto last = at;
        for (; last != by_revision_.end() && last->first == revision; ++last)
            bytes += entry_bytes(rows_.at(last->second).text);
        if (!delta.entries.empty() && delta.bytes + bytes > most_bytes)
            break;
        for (; at != last; ++at)
            add(delta, rows_.at(at->second));
        delta.revision = revision;
    }
    if (at == by_revision_.end()) {
        delta.revision = std::max(since, revision_);
        return delta;
    }
    const Delta urgent = urgent_changes(delta.revision, urgent_told);
    delta.entries.insert(delta.entries.end(), urgent.entries.begin(), urgent.entries.end());
    delta.bytes += urgent.bytes;
    return delta;
}

Delta ChangeLog::urgent_changes(Revision since, Revision urgent_told) const {
    Delta delta{since, false, {}, 0};
    const Revision told = std::max(since, urgent_told);
    for (auto at = urgent_.lower_bound({told + 1, std::string()}); at != urgent_.end(); ++at)
        add(delta, rows_.at(at->second));
    return delta;
}

} // namespace marblewood::distribution
