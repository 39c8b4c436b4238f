/// \file
/// Counters since the start of the process, and the names of attempt statuses in metrics and log lines.
#pragma once

#include "core/request.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace marblewood::core {

/// The external names of Status, in its order; metrics and log lines use them.
inline constexpr std::array<std::string_view, 8> kStatusNames{
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};

constexpr std::string_view name(Status status) {
    return kStatusNames[static_cast<std::size_t>(status)];
}

/// Counters that the admin interface and telemetry report. Used on the loop's thread alone.
struct Metrics {
    static constexpr std::size_t kOutcomeKinds = 3;

    explicit Metrics(std::size_t classes) : completed(classes) {}

    std::vector<std::array<std::uint64_t, kOutcomeKinds>> completed; ///< requests by class and Outcome::Kind
    std::uint64_t attempts_written = 0;   ///< attempts that were written whole to a node
    std::uint64_t reloads = 0;            ///< configuration files read again and applied
    std::uint64_t reloads_failed = 0;     ///< configuration files read again and rejected
    std::uint64_t probes = 0;             ///< health checks sent to nodes
    std::uint64_t malformed_requests = 0; ///< that the RESP2 front end answered -ERR; not in `completed`
    std::uint64_t streams_broken = 0;     ///< streamed values cut short, in `completed` as failed
    std::uint64_t refused_unsent = 0;     ///< refused before any attempt, in `completed` as refused
    std::uint64_t refused_closing = 0;    ///< of those: because the client's connection was about to end
    std::uint64_t answered_early = 0;     ///< answered by answer_now(), as the connection had to end
    std::uint64_t hedges = 0; ///< attempts started while another one was in flight; none at present
    /// Attempts started after the last one had ended, by the status of that one.
    std::array<std::uint64_t, kStatusNames.size()> retries{};

    std::uint64_t &completed_as(int cls, Outcome::Kind kind) {
        return completed[static_cast<std::size_t>(cls)][static_cast<std::size_t>(kind)];
    }
    /// Requests that ended as `kind`, over all classes.
    std::uint64_t total(Outcome::Kind kind) const {
        std::uint64_t sum = 0;
        for (const auto &by_kind : completed)
            sum += by_kind[static_cast<std::size_t>(kind)];
        return sum;
    }
    /// Requests that ended, in whatever way.
    std::uint64_t total() const {
        return total(Outcome::Kind::Served) + total(Outcome::Kind::Refused) + total(Outcome::Kind::Failed);
    }
};

} // namespace marblewood::core
