/// \file
/// The requests that wait for a node, by shard.
#pragma once

#include "policy/request.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marblewood::policy {

/// Holds pointers to requests of a RequestTable, in order of arrival in the queue, and when each shard's
/// queue is looked at again although nothing changed.
class RequestQueue {
public:
    void add(Request &request) {
        request.waiting = true;
        ++size_;
        shards_[request.shard].waiting.push_back(&request);
    }

    /// Nothing happens for a request that does not wait.
    void remove(Request &request) {
        if (!request.waiting)
            return;
        std::erase(shards_[request.shard].waiting, &request);
        --size_;
        request.waiting = false;
    }

    /// Requests that wait, over all shards.
    std::size_t size() const { return size_; }

    const std::vector<Request *> &waiting(ShardId shard) const {
        static const std::vector<Request *> none;
        const auto it = shards_.find(shard);
        return it == shards_.end() ? none : it->second.waiting;
    }

    /// Whether a look at the shard at `at` has to be scheduled: none that comes as early is.
    bool schedule_recheck(ShardId shard, Micros at, Micros now) {
        Micros &scheduled = shards_[shard].recheck_at;
        if (scheduled > now && scheduled <= at)
            return false;
        scheduled = at;
        return true;
    }

    /// Drops the queues of shards with neither requests nor nodes; `has_nodes(ShardId)`.
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
