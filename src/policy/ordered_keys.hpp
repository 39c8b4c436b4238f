/// \file
/// Classes that run in order: one request of a key at a time.
#pragma once

#include "marblewood/types.hpp"
#include "policy/time.hpp"

#include <deque>
#include <map>

namespace marblewood::policy {

/// Requests of in_order classes that carry a key run one at a time, in order of arrival. After an attempt
/// whose end is not known the key pauses, since the node may still be at work on it.
class OrderedKeys {
public:
    void add(DataKey key, RequestId request) { keys_[key].line.push_back(request); }
    void remove(DataKey key, RequestId request) { std::erase(keys_[key].line, request); }

    /// Nothing of the key starts before `until`.
    void pause(DataKey key, Micros until) { keys_[key].paused_until = until; }

    /// Whether it is the turn of a request that has been added. A retry does not wait for the pause that its
    /// own attempt caused.
    bool is_turn(DataKey key, RequestId request, bool retry, Micros now) const {
        const Line &line = keys_.at(key);
        return line.line.front() == request && (now >= line.paused_until || retry);
    }

    /// Drops keys with neither requests nor a pause.
    void forget_idle(Micros now) {
        std::erase_if(keys_, [&](const auto &entry) {
            return entry.second.line.empty() && now >= entry.second.paused_until;
        });
    }

    std::size_t size() const { return keys_.size(); }

private:
    struct Line {
        std::deque<RequestId> line; // in order of arrival
        Micros paused_until = kLongAgo;
    };

    std::map<DataKey, Line> keys_;
};

} // namespace marblewood::policy
