/// \file
/// Remembers on which shards this host has placed new objects.
#pragma once

#include "marblewood/types.hpp"

#include <map>
#include <optional>

namespace marblewood::policy {

/// A request may name a shard that was valid before its object was placed. If that shard rejects the request,
/// it is retried at the shard where this host has recently placed the object.
class ObjectPlacement {
public:
    void record(DataKey key, ShardId shard, Micros now) { placed_[key] = {shard, now}; }

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
    };
    static constexpr Micros kRetention = 60'000'000;

    std::map<DataKey, Placement> placed_;
};

} // namespace marblewood::policy
