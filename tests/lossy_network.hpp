/// \file
/// A simulated network in virtual time that loses, duplicates and delays datagrams at random.
#pragma once

#include "marblewood/types.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace test {

struct Datagram {
    /// The time at which it was sent or, within a LossyNetwork, at which it arrives.
    marblewood::Micros at = 0;
    int from = 0;
    int to = 0;
    std::string data;
};

/// A random integer from `from` to `to`, both included.
inline int pick(std::mt19937 &random, int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
}

class LossyNetwork {
public:
    struct Faults {
        int lost_percent = 0;
        int duplicated_percent = 0;
        int max_delay = 1; ///< microseconds
    };

    LossyNetwork(std::mt19937 &random, Faults faults) : random_(random), faults_(faults) {}

    void send(const std::optional<Datagram> &datagram, marblewood::Micros now) {
        if (!datagram || pick(random_, 0, 99) < faults_.lost_percent)
            return;
        const int copies = pick(random_, 0, 99) < faults_.duplicated_percent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            in_flight_.push_back(*datagram);
            in_flight_.back().at = now + pick(random_, 0, faults_.max_delay);
        }
    }

    /// Calls `deliver` with each datagram that has arrived by `now`, and sends the answer that it returns.
    template <typename Deliver> void deliver_due(marblewood::Micros now, Deliver deliver) {
        for (std::size_t index = 0; index < in_flight_.size();) {
            if (in_flight_[index].at > now) {
                ++index;
                continue;
            }
            const Datagram datagram = std::move(in_flight_[index]);
            in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
            send(deliver(datagram), now);
        }
    }

private:
    std::mt19937 &random_;
    Faults faults_;
    std::vector<Datagram> in_flight_;
};

} // namespace test
