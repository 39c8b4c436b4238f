/// \file
/// Nodes that record when requests arrive, and the times in which nothing new may arrive there.
#pragma once

#include "../helper.hpp"
#include "draw.hpp"

namespace test {

/// Serves each request with its id after a time, and records the arrivals. At random, one request in
/// `kRequestsPerRefusal` on average is turned away; while the node drains, all are.
class TimedNode {
public:
    using Clock = std::chrono::steady_clock;

    TimedNode(std::chrono::milliseconds time, unsigned seed)
        : time_(time), draw_(seed),
          node_([this](const std::vector<std::string> &words, int) { return answer(words[2]); }) {}
    int port() const { return node_.server.port; }
    void set_draining(bool draining) { draining_ = draining; }
    bool has_taken(const std::string &id) const {
        const std::lock_guard lock(mutex_);
        return taken_.contains(id);
    }
    /// The arrivals after `from` and before `until`.
    std::vector<Clock::time_point> arrivals(Clock::time_point from, Clock::time_point until) const {
        const std::lock_guard lock(mutex_);
        std::vector<Clock::time_point> found;
        for (const auto at : arrivals_)
            if (at > from && at < until)
                found.push_back(at);
        return found;
    }

private:
    static constexpr int kRequestsPerRefusal = 60;

    std::string answer(const std::string &id) {
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(Clock::now());
            taken_.insert(id);
            if (draining_ || draw_.one_in(kRequestsPerRefusal))
                return "-BUSY\r\n";
        }
        std::this_thread::sleep_for(time_);
        return RespNode::served(id);
    }
    const std::chrono::milliseconds time_;
    std::atomic<bool> draining_ = false;
    mutable std::mutex mutex_;
    Draw draw_;
    std::vector<Clock::time_point> arrivals_;
    std::set<std::string> taken_;
    RespNode node_;
};

} // namespace test
