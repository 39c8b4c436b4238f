// What becomes of what one process sends another: by a schedule, and by chance within it. No I/O and no
// clock.
#pragma once

#include "marblewood/scheduler.hpp"

#include <random>
#include <set>
#include <vector>

namespace marblewood::lab {

class NetworkFaults {
public:
    struct Spell {
        Micros from = 0, until = 0;    // from the start of the load
        std::set<int> senders, others; // numbers of brokers, and of brokers or nodes; empty: all
        bool nodes = false;            // streams from brokers to nodes; else datagrams between brokers
        bool cut = false;              // nothing passes, and nobody is told
        double lost = 0, doubled = 0;  // part of the datagrams
        Micros late_least = 0, late_most = 0;

        bool holds(bool of_nodes, int from_broker, int to, Micros now) const {
            return nodes == of_nodes && now >= from && now < until &&
                   (senders.empty() || senders.contains(from_broker)) &&
                   (others.empty() || others.contains(to));
        }
    };
    explicit NetworkFaults(std::uint64_t seed) : random_(seed) {}
    void add(Spell spell) { spells_.push_back(std::move(spell)); }

    // After how many us each copy of a datagram sent now arrives; none: it is lost.
    std::vector<Micros> arrivals(int from, int to, Micros now);
    // Whether nothing passes between a broker and a node, in either direction.
    bool silent(int broker, int node, Micros now) const;

private:
    std::vector<Spell> spells_;
    std::mt19937_64 random_;
};

} // namespace marblewood::lab
