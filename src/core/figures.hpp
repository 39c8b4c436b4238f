// The counts of what has happened since the start. Control and telemetry read them.
#pragma once

#include "core/types.hpp"

#include <array>
#include <string_view>

namespace marblewood::core {

/// How an attempt ended, as the figures and the log spell it, in the order of Status.
inline constexpr std::array<std::string_view, 8> kStatusNames{
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
constexpr std::string_view name(Status status) {
    return kStatusNames[static_cast<std::size_t>(status)];
}

struct Figures {
    explicit Figures(std::size_t classes) : ended(classes) {}
    std::vector<std::array<std::uint64_t, 3>> ended; // requests, by class and Outcome::Kind
    std::uint64_t sends = 0;                         // attempts written whole to a node
    std::uint64_t loaded = 0, invalid = 0;           // configurations read again: taken, not taken
    std::uint64_t probes = 0;                        // asked of nodes
    std::uint64_t turned_away = 0; // requests the RESP2 front could not read, answered -ERR; not in `ended`
    std::uint64_t broken = 0;      // long values that broke off on their way, in `ended` as failed
    std::uint64_t unsent = 0;      // refused before any attempt, in `ended` as refused
    std::uint64_t refused_closing = 0; // of those, as the client's connection was about to end
    std::uint64_t withdrawn = 0;       // answered before their time, as the connection had to end
    // Further attempts, by how the attempt before had ended; and those begun beside one that is still out.
    std::array<std::uint64_t, kStatusNames.size()> repeats{};
    std::uint64_t hedges = 0;

    std::uint64_t &of(int cls, Outcome::Kind kind) { return ended[cls][static_cast<std::size_t>(kind)]; }
    std::uint64_t sum(std::size_t kind) const {
        std::uint64_t all = 0;
        for (const auto &cls : ended)
            all += cls[kind];
        return all;
    }
};

} // namespace marblewood::core
