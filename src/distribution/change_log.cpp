#include "distribution/change_log.hpp"

#include <algorithm>

namespace marblewood::distribution {

UpdateResult ChangeLog::apply(const Update &update) {
    if (update.revision < revision_)
        return UpdateResult::Stale;
    if (update.revision == revision_)
        return update.members.empty() || update.complete ? UpdateResult::Applied : UpdateResult::Stale;
    const bool first = empty();
    if (first && !update.complete)
        return UpdateResult::Stale; // changes can only be applied to a complete list
    if (update.complete)
        remove_unlisted(update);
    for (const Member &member : update.members)
        put(member, update.revision);
    revision_ = update.revision;
    if (first)
        oldest_ = revision_;
    drop_oldest_removals();
    return UpdateResult::Applied;
}

void ChangeLog::update_indexes(const std::string &id, const Row &row, bool present) {
    const std::pair key{row.changed_revision, id};
    const auto update = [&](Index &index) {
        if (present)
            index.insert(key);
        else
            index.erase(key);
    };
    update(by_revision_);
    if (row.urgent)
        update(urgent_by_revision_);
    if (row.phase == Phase::Removed) {
        update(removed_by_revision_);
    } else if (present) {
        ++listed_count_, complete_list_bytes_ += entry_bytes(row.text);
    } else {
        --listed_count_, complete_list_bytes_ -= entry_bytes(row.text);
    }
}

void ChangeLog::put(const Member &member, Revision revision) {
    const auto at = rows_.find(member.id);
    bool urgent = member.phase != Phase::Up;
    if (at != rows_.end()) {
        urgent |= at->second.phase != Phase::Removed && at->second.shard != member.shard;
        if (at->second.text == member.text && at->second.phase == member.phase)
            return;
        update_indexes(member.id, at->second, false);
        rows_.erase(at);
    }
    const Row &row = rows_[member.id] = {member.text, member.phase, member.shard, urgent, revision};
    update_indexes(member.id, row, true);
}

// Members that a complete list leaves out have been removed.
void ChangeLog::remove_unlisted(const Update &update) {
    std::set<std::string_view> listed_ids;
    for (const Member &member : update.members)
        listed_ids.insert(member.id);
    std::vector<Member> removed;
    for (const auto &[id, row] : rows_)
        if (row.phase != Phase::Removed && !listed_ids.contains(id))
            removed.push_back({id, row.text, Phase::Removed, row.shard});
    for (const Member &member : removed)
        put(member, update.revision);
}

void ChangeLog::drop_oldest_removals() {
    while (removed_by_revision_.size() > max_removed_) {
        const auto [revision, id] = *removed_by_revision_.begin();
        update_indexes(id, rows_.at(id), false);
        rows_.erase(id);
        oldest_ = std::max(oldest_, revision);
    }
}

void ChangeLog::add(Delta &delta, const Row &row) {
    delta.entries.push_back({row.text, row.phase});
    delta.bytes += entry_bytes(row.text);
}

Delta ChangeLog::complete_list() const {
    Delta delta{revision_, true, {}, 0};
    for (const auto &[id, row] : rows_)
        if (row.phase != Phase::Removed)
            add(delta, row);
    return delta;
}

Delta ChangeLog::changes(Revision since, std::size_t max_bytes, Revision urgent_sent_revision) const {
    Delta delta{since, false, {}, 0};
    auto at = by_revision_.lower_bound({since + 1, std::string()});
    while (at != by_revision_.end()) { // a revision is never split over two deltas
        const Revision revision = at->first;
        std::size_t bytes = 0;
        auto last = at;
        for (; last != by_revision_.end() && last->first == revision; ++last)
            bytes += entry_bytes(rows_.at(last->second).text);
        if (!delta.entries.empty() && delta.bytes + bytes > max_bytes)
            break;
        for (; at != last; ++at)
            add(delta, rows_.at(at->second));
        delta.revision = revision;
    }
    if (at == by_revision_.end()) {
        delta.revision = std::max(since, revision_);
        return delta;
    }
    const Delta urgent = urgent_changes(delta.revision, urgent_sent_revision);
    delta.entries.insert(delta.entries.end(), urgent.entries.begin(), urgent.entries.end());
    delta.bytes += urgent.bytes;
    return delta;
}

Delta ChangeLog::urgent_changes(Revision since, Revision urgent_sent_revision) const {
    Delta delta{since, false, {}, 0};
    const Revision sent_revision = std::max(since, urgent_sent_revision);
    for (auto at = urgent_by_revision_.lower_bound({sent_revision + 1, std::string()});
         at != urgent_by_revision_.end(); ++at)
        add(delta, rows_.at(at->second));
    return delta;
}

} // namespace marblewood::distribution
