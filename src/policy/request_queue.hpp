/// \file
/// The queues of the requests that wait for a node, by shard.
#pragma once

#include "policy/request.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marblewood::policy {

/// Holds pointers to requests of a RequestTable, in the order in which they were added, and the time at which
/// each shard is rechecked even if no event has changed it.
class RequestQueue {
public:
    void add(Request &request) {
        request.waiting = true;
        ++size_;
        shards_[request.shard].waiting.push_back(&request);
    }

    /// Has no effect if the request is not in the queue.
    void remove(Request &request) {
        if (!request.waiting)
            return;
        std::erase(shards_[request.shard].waiting, &request);
        --size_;
        request.waiting = false;
    }

    /// The number of queued requests of all shards.
    std::size_t size() const { return size_; }

    /// The number of shards that have a queue.
    std::size_t shards() const { return shards_.size(); }

    const std::vector<Request *> &waiting(ShardId shard) const {
        static const std::vector<Request *> none;
        const auto it = shards_.find(shard);
        return it == shards_.end() ? none : it->second.waiting;
    }

    /// Records that the shard is to be rechecked at `at`. Returns false, and changes nothing, if a recheck is
    /// already scheduled for that time or earlier.
    bool schedule_recheck(ShardId shard, Micros at, Micros now) {
        Micros &scheduled = shards_[shard].recheck_at;
        if (scheduled > now && scheduled <= at)
            return false;
        scheduled = at;
        return true;
    }

    /// Drops the queue of a shard that has no nodes, unless requests wait in it.
    void forget_if_empty(ShardId shard) {
        const auto it = shards_.find(shard);
        if (it != shards_.end() && it->second.waiting.empty())
            shards_.erase(it);
    }

    /// Drops the queues of shards that have no requests and for which `has_nodes(shard)` is false.
    template <typename HasNodes> void forget_unused(const HasNodes &has_nodes) {
        std::erase_if(shards_, [&](const auto &entry) {
            return entry.second.waiting.empty() && !has_nodes(entry.first);
        });
    }

private:
    struct ShardQueue {
        std::vector<Request *> waiting;
        Micros recheck_at = INT64_MAX;
    };

    std::map<ShardId, ShardQueue> shards_;
    std::size_t size_ = 0;
};

} // namespace marblewood::policy
