/// \file
/// The receiving side of a hot restart: what a running predecessor leaves to this process.
#pragma once

#include "app/client_servers.hpp"
#include "core/clock.hpp"
#include "hot_restart/hot_restart.hpp"
#include "net/endpoint_registry.hpp"

#include <optional>
#include <string>

namespace marblewood::app {

/// Where the processes of one broker meet, in $TMPDIR; empty: there is no hot restart.
std::string handover_path();

/// Used before the loop runs.
class Predecessor {
public:
    /// Asks the process that listens at `path`, for a bounded time. Nothing is inherited where none answers,
    /// or where `path` is empty.
    explicit Predecessor(const std::string &path);

    /// Whether its state and sockets are taken over.
    bool is_present() const { return takeover_ && takeover_->channel.get() >= 0; }
    /// Sets the clock to the predecessor's. The system clock may have been set since that one read it, and
    /// the times in its state must mean the same here.
    void continue_clock(core::Clock &clock) const;
    /// One of its sockets; empty: it left none of that name.
    net::Descriptor take_socket(const std::string &name);
    /// Takes over its endpoint list, cordons, quotas and quiesce state. If any of it is malformed, nothing
    /// more is inherited, and the predecessor goes on serving.
    void restore(net::EndpointRegistry &endpoints, QuiesceState &quiesce, const core::Clock &clock);
    /// How many client connections it has.
    int client_count() const;
    /// The channel over which its client connections come.
    net::Descriptor take_channel() { return std::move(takeover_->channel); }

private:
    std::optional<hot_restart::Takeover> takeover_;
};

} // namespace marblewood::app
