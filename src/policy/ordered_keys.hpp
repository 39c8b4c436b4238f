/// \file
/// Ordering of the requests of in_order classes: one request per key at a time.
#pragma once

#include "marblewood/types.hpp"
#include "policy/time.hpp"

#include <deque>
#include <map>

namespace marblewood::policy {

/// Requests of in_order classes that have the same key run one at a time, in order of arrival. After an
/// attempt with an unknown outcome the key is paused, because the node may still be running it.
class OrderedKeys {
public:
    void add(DataKey key, RequestId request) { keys_[key].requests.push_back(request); }
    void remove(DataKey key, RequestId request) {
        KeyState &state = keys_.at(key);
        std::erase(state.requests, request);
        if (state.requests.empty() && state.paused_until == kLongAgo)
            keys_.erase(key);
    }

    /// Lets no request of the key start before `until`.
    void pause(DataKey key, Micros until) { keys_[key].paused_until = until; }

    /// Whether a request of the key may run now. The request must have been added. A retry does not wait for
    /// the pause, because its own previous attempt has caused it.
    bool is_turn(DataKey key, RequestId request, bool retry, Micros now) const {
        const KeyState &state = keys_.at(key);
        return state.requests.front() == request && (now >= state.paused_until || retry);
    }

    /// Drops the keys that have no requests and are not paused.
    void forget_idle(Micros now) {
        std::erase_if(keys_, [&](const auto &entry) {
            return entry.second.requests.empty() && now >= entry.second.paused_until;
        });
    }

    std::size_t size() const { return keys_.size(); }

private:
    struct KeyState {
        std::deque<RequestId> requests; // in order of arrival
        Micros paused_until = kLongAgo;
    };

    std::map<DataKey, KeyState> keys_;
};

} // namespace marblewood::policy
