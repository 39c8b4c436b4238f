/// \file
/// Decides which datagrams and streams between processes are lost, duplicated, delayed or blocked: intervals
/// are scheduled, and within an interval a datagram is affected at random. Does no I/O and reads no clock.
#pragma once

#include "marblewood/scheduler.hpp"

#include <random>
#include <set>
#include <vector>

namespace marblewood::lab {

/// The fault schedule of an experiment.
class NetworkFaults {
public:
    struct FaultInterval {
        Micros from = 0, until = 0; // from the start of the load
        // Indices of sending brokers and of receiving brokers or nodes; an empty set matches all.
        std::set<int> senders, receivers;
        bool nodes = false;           // true: streams from brokers to nodes; false: datagrams between brokers
        bool cut = false;             // blocks all data without an error on either side
        double lost = 0, doubled = 0; // fractions of the datagrams
        Micros min_delay = 0, max_delay = 0;

        bool applies(bool of_nodes, int from_broker, int to, Micros now) const {
            return nodes == of_nodes && now >= from && now < until &&
                   (senders.empty() || senders.contains(from_broker)) &&
                   (receivers.empty() || receivers.contains(to));
        }
    };
    explicit NetworkFaults(std::uint64_t seed) : random_(seed) {}
    void add(FaultInterval interval) { intervals_.push_back(std::move(interval)); }

    /// Returns the delay of each copy of a datagram sent at `now`; empty if the datagram is lost.
    std::vector<Micros> arrivals(int from, int to, Micros now);
    /// Returns whether streams between a broker and a node are blocked, in both directions.
    bool silent(int broker, int node, Micros now) const;

private:
    std::vector<FaultInterval> intervals_;
    std::mt19937_64 random_;
};

} // namespace marblewood::lab
