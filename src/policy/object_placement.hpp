/// \file
/// Remembers where this host placed new objects.
#pragma once

#include "marblewood/types.hpp"

#include <map>
#include <optional>

namespace marblewood::policy {

/// A request may name a shard from before its object was placed; rejected there, it goes where this host has
/// placed the object lately.
class ObjectPlacement {
public:
    void record(DataKey key, ShardId shard, Micros now) { placed_[key] = {shard, now}; }

    std::optional<ShardId> find(DataKey key) const {
        const auto it = placed_.find(key);
        return it == placed_.end() ? std::nullopt : std::optional(it->second.shard);
    }

    void forget_old(Micros now) {
        std::erase_if(placed_, [&](const auto &entry) { return now - entry.second.at > kRememberFor; });
    }

private:
    struct Placement {
        ShardId shard{};
        Micros at = 0;
    };
    static constexpr Micros kRememberFor = 60'000'000; // us

    std::map<DataKey, Placement> placed_;
};

} // namespace marblewood::policy
