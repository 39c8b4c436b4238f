/// \file
/// Remembers on which shards this host has placed new objects.
#pragma once

#include "marblewood/settings.hpp"
#include "policy/newest_entries.hpp"

#include <map>
#include <optional>

namespace marblewood::policy {

/// A request may name a shard that was valid before its object was placed. If that shard rejects the request,
/// it is retried at the shard where this host has recently placed the object.
class ObjectPlacement {
public:
    explicit ObjectPlacement(const Settings &settings) : max_placements_(settings.max_entries_by_name) {}

    void record(DataKey key, ShardId shard, Micros now) {
        placed_[key] = {shard, now};
        keep_newest(placed_, max_placements_, &Placement::at_of, [](const Placement &) { return true; });
    }

    std::optional<ShardId> find(DataKey key) const {
        const auto it = placed_.find(key);
        return it == placed_.end() ? std::nullopt : std::optional(it->second.shard);
    }

    void forget_old(Micros now) {
        std::erase_if(placed_, [&](const auto &entry) { return now - entry.second.at > kRetention; });
    }

private:
    struct Placement {
        ShardId shard{};
        Micros at = 0;
        static Micros at_of(const Placement &placement) { return placement.at; }
    };
    static constexpr Micros kRetention = 60'000'000;

    std::size_t max_placements_;
    std::map<DataKey, Placement> placed_;
};

} // namespace marblewood::policy
