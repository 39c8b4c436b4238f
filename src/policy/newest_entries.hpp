/// \file
/// Bounds the number of entries that are kept by names which clients choose.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace marblewood::policy {

/// If a map has more than `max` entries (0: no bound), removes those with the lowest rank until three
/// quarters of `max` are left, so that the cost of one insertion does not depend on their number.
/// \param rank returns what entries are compared by; the lowest are removed first.
/// \param may_remove whether an entry may be removed. If too few may be, more than `max` stay.
template <typename Map, typename Rank, typename MayRemove>
void keep_newest(Map &entries, std::size_t max, const Rank &rank, const MayRemove &may_remove) {
    if (max == 0 || entries.size() <= max)
        return;
    std::vector<typename Map::iterator> removable;
    for (auto it = entries.begin(); it != entries.end(); ++it)
        if (may_remove(it->second))
            removable.push_back(it);
    const std::size_t surplus = std::min(entries.size() - max * 3 / 4, removable.size());
    const auto end = removable.begin() + static_cast<std::ptrdiff_t>(surplus);
    std::ranges::nth_element(removable, end, {}, [&](const auto it) { return rank(it->second); });
    for (auto it = removable.begin(); it != end; ++it)
        entries.erase(*it);
}

} // namespace marblewood::policy
