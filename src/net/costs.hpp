// What this broker asks of the fleet beside its requests: probes, new connections to nodes and calls to
// discovery. Each is cheap for one broker and adds up over hundreds (docs/design/fleet.md), so the broker
// counts them against the requests it has answered and says so in its log and its figures.
#pragma once

#include "core/deadlines.hpp"
#include "marblewood/scheduler.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace marblewood::net {

// What the module counts of overload, by the names that figures and the log have for it (docs/overload.md).
using Counts = std::array<std::pair<const char *, std::uint64_t>, 20>;
Counts counts(const OverloadMetrics &figures);

struct Costs {                     // counts since the start
    std::uint64_t requests = 0;    // answered, by any outcome
    std::uint64_t probes = 0;      // asked of nodes
    std::uint64_t connections = 0; // begun to nodes
    std::uint64_t list_calls = 0;  // to discovery, watches included
    // How requests failed: all answered as failed; of them long values broken off; apart, those not read.
    std::uint64_t failed = 0, broken = 0, turned_away = 0;
    std::uint64_t refused = 0, unsent = 0;           // answered -BUSY; of them, before any attempt
    std::uint64_t datagrams = 0, datagram_bytes = 0; // to other brokers
    Counts overload = {};
    bool operator==(const Costs &) const = default;
};

// "costs: requests=N probes=N connections=N list_calls=N probes_per_k=X connections_per_k=Y
// list_calls_per_k=Z failed=N broken=N turned_away=N refused=N unsent=N datagrams=N ...": the counts, and
// some of them a thousand requests; those of overload where they are not 0.
std::string spell(const Costs &costs);

// A line in the log each second in which a count has changed, read from `read`.
class CostLog {
public:
    CostLog(core::Deadlines &deadlines, std::function<Costs()> read);

private:
    void look();

    core::Deadlines &deadlines_;
    std::function<Costs()> read_;
    Costs last_;
    core::Deadlines::Entry next_;
};

} // namespace marblewood::net
