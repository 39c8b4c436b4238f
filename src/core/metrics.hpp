/// \file
/// Counters since the start of the process, and the names that metrics and log lines use for attempt
/// statuses.
#pragma once

#include "core/request.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace marblewood::core {

/// The external names of the Status enumerators, in their order. Metrics and log lines use them.
inline constexpr std::array<std::string_view, 8> kStatusNames{
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};

constexpr std::string_view name(Status status) {
    return kStatusNames[static_cast<std::size_t>(status)];
}

/// Counters reported by the admin interface and telemetry. Used only on the event loop's thread.
struct Metrics {
    static constexpr std::size_t kOutcomeKinds = 3;

    explicit Metrics(std::size_t classes) : completed(classes) {}

    std::vector<std::array<std::uint64_t, kOutcomeKinds>> completed; ///< requests by class and Outcome::Kind
    std::uint64_t attempts_written = 0;   ///< attempts whose request was completely written to a node
    std::uint64_t reloads = 0;            ///< successful reloads of the configuration file
    std::uint64_t reloads_failed = 0;     ///< reloads of the configuration file that were rejected
    std::uint64_t probes = 0;             ///< health checks sent to nodes
    std::uint64_t malformed_requests = 0; ///< answered -ERR by the RESP2 front end; not in `completed`
    std::uint64_t streams_broken = 0;     ///< streamed values cut short; in `completed` as failed
    std::uint64_t refused_unsent = 0;     ///< refused before any attempt; in `completed` as refused
    std::uint64_t refused_closing = 0;    ///< part of `refused_unsent`: the client connection was closing
    std::uint64_t answered_early = 0;     ///< answered due to answer_now(), as the connection had to close
    std::uint64_t hedges = 0; ///< attempts started while another one was in flight; at present always 0
    /// Attempts started after all earlier ones had ended, by the status of the attempt that ended last.
    std::array<std::uint64_t, kStatusNames.size()> retries{};

    std::uint64_t &completed_as(int cls, Outcome::Kind kind) {
        return completed[static_cast<std::size_t>(cls)][static_cast<std::size_t>(kind)];
    }
    /// The number of completed requests with the outcome `kind`, over all classes.
    std::uint64_t total(Outcome::Kind kind) const {
        std::uint64_t sum = 0;
        for (const auto &by_kind : completed)
            sum += by_kind[static_cast<std::size_t>(kind)];
        return sum;
    }
    /// The number of completed requests, with any outcome.
    std::uint64_t total() const {
        return total(Outcome::Kind::Served) + total(Outcome::Kind::Refused) + total(Outcome::Kind::Failed);
    }
};

} // namespace marblewood::core
