/// \file
/// Shared by the tests of the decision module: typical settings, and a host that a test drives event by
/// event.
#pragma once

#include "marblewood/scheduler.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marblewood::policy_test {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

inline Settings basic_settings() {
    Settings s;
    s.classes = {{300 * kMillisecond, 1500 * kMillisecond, 2, 0.1, Idempotency::Idempotent,
                  DeduplicationScope::All, 0, false, false},
                 {400 * kMillisecond, 2000 * kMillisecond, 2, 0.2, Idempotency::NotIdempotent,
                  DeduplicationScope::All, 0, true, false}};
    s.plans = {{10, 5, 1, 1, 0, 0, 0}};
    s.max_attempts = 3;
    s.max_request_units = 4;
    s.mean_request_units = 2;
    s.drain_grace = 250 * kMillisecond;
    s.ordering_settle_time = 100 * kMillisecond;
    s.slow_start_window = kSecond;
    s.slow_start_duration = 10 * kSecond;
    s.slow_start_initial_fraction = 0.2;
    s.slow_start_units = 12;
    return s;
}

/// A Scheduler with a few nodes, one per shard, and a clock that the test advances.
class TestHost {
public:
    explicit TestHost(const Settings &settings, int nodes = 2) : scheduler(settings), settings_(settings) {
        ListUpdate list{ListUpdate::Kind::Saved, {}};
        for (int n = 0; n < nodes; ++n)
            list.entries.push_back(entry(n));
        handle(list);
    }
    static NodeEntry entry(int n, NodeState state = NodeState::Ready, Micros started = 0) {
        return {NodeId(n), ShardId(n), ZoneId(0), state, started};
    }

    void handle(const Event &event) {
        std::vector<Action> actions;
        scheduler.handle(now, event, actions);
        for (const Action &action : actions) {
            if (const auto *send = std::get_if<Send>(&action)) {
                attempts[send->id].push_back(send->node);
                sent.push_back(*send);
            } else if (const auto *refuse = std::get_if<Refuse>(&action))
                refused.push_back(refuse->id);
            else if (const auto *fail = std::get_if<Fail>(&action))
                failed.push_back(fail->id);
            else if (const auto *cancel = std::get_if<Cancel>(&action))
                cancelled.push_back(cancel->id);
            else if (const auto *timer = std::get_if<SetTimer>(&action)) {
                timers_.insert(now + timer->delay);
                ++timers_set;
            } else if (const auto *log = std::get_if<Log>(&action))
                logs.push_back(log->text);
            else if (const auto *probe = std::get_if<Probe>(&action))
                probed.push_back(probe->node);
            else if (std::holds_alternative<SendPeerMessage>(action))
                ++peer_messages;
        }
    }
    /// Lets a request arrive; a negative `shard` stands for a new object.
    RequestId submit(int shard, int cls = 0, double units = 1, std::optional<DataKey> key = {}) {
        RequestArrived in;
        in.id = RequestId{++next_};
        in.cls = cls;
        in.volume = VolumeId{volume};
        in.key = key;
        if (shard >= 0)
            in.shard = ShardId(shard);
        in.time_left = time_left ? time_left : settings_.classes[static_cast<std::size_t>(cls)].deadline;
        in.units = units;
        in.hosts = hosts;
        handle(in);
        return in.id;
    }
    /// Ends an attempt of a request, by default the last one.
    void finish(RequestId id, Status status = Status::Ok, Micros latency = 30 * kMillisecond,
                int attempt = -1) {
        if (attempt < 0)
            attempt = static_cast<int>(attempts.at(id).size()) - 1;
        handle(AttemptEnded{id, attempt, status, latency, status == Status::Ok, 0, 0, report});
    }
    /// Advances the clock by `length` and fires the timers that become due.
    void advance(Micros length) {
        for (const Micros until = now + length; now < until;) {
            now = timers_.empty() ? until : std::min(until, std::max(now, *timers_.begin()));
            if (timers_.empty() || *timers_.begin() > now)
                continue;
            timers_.erase(timers_.begin());
            handle(TimerDue{0});
        }
    }
    std::size_t attempt_count(RequestId id) const {
        const auto it = attempts.find(id);
        return it == attempts.end() ? 0 : it->second.size();
    }
    bool logged(const std::string &part) const {
        return std::any_of(logs.begin(), logs.end(),
                           [&](const std::string &line) { return line.find(part) != std::string::npos; });
    }
    static bool has(const std::vector<RequestId> &ids, RequestId id) {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    Micros now = 1000 * kSecond;
    Scheduler scheduler;
    std::map<RequestId, std::vector<NodeId>> attempts;
    std::vector<Send> sent;
    std::vector<RequestId> refused, cancelled, failed;
    std::vector<std::string> logs;
    std::vector<NodeId> probed;
    int hosts = 1, timers_set = 0, peer_messages = 0;
    std::uint64_t volume = 1;
    std::optional<LoadReport> report;
    Micros time_left = 0; // of the requests to come; 0: the deadline of their class

private:
    Settings settings_;
    std::multiset<Micros> timers_;
    std::uint64_t next_ = 0;
};

} // namespace marblewood::policy_test
