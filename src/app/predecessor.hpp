/// \file
/// The receiving side of a hot restart: the state and sockets that a running predecessor hands to this
/// process.
#pragma once

#include "app/client_servers.hpp"
#include "core/clock.hpp"
#include "hot_restart/hot_restart.hpp"
#include "net/endpoint_registry.hpp"

#include <optional>
#include <string>

namespace marblewood::app {

/// Path of the Unix socket, in $TMPDIR, at which a successor connects to its predecessor. Empty if $TMPDIR is
/// not set: hot restart is then disabled.
std::string handover_path();

/// The connection to a predecessor process, if there is one. Used only before the event loop runs.
class Predecessor {
public:
    /// Requests the state of the process that listens at `path`; blocks for a bounded time. Nothing is taken
    /// over if no process answers or `path` is empty.
    explicit Predecessor(const std::string &path);

    /// Whether there is a predecessor whose state and sockets are taken over.
    bool is_present() const { return takeover_ && takeover_->channel.get() >= 0; }
    /// Sets the clock to the predecessor's time. The system clock may have been adjusted since the
    /// predecessor read it, and the times in the predecessor's state must keep their meaning.
    void continue_clock(core::Clock &clock) const;
    /// Takes one of the predecessor's sockets; empty if it handed over none of that name.
    net::Descriptor take_socket(const std::string &name);
    /// Restores the predecessor's endpoint list, cordons, quotas and quiesce state. If any of it is
    /// malformed, the channel is closed: nothing else is taken over, and the predecessor continues to serve.
    void restore(net::EndpointRegistry &endpoints, QuiesceState &quiesce, const core::Clock &clock);
    /// Keeps the ids of the predecessor's requests.
    void restore(net::resp::RequestIds &ids) const;
    /// Whose sequence of revisions the predecessor's list belongs to; empty if it did not say.
    std::string list_source() const;
    /// The address of discovery in the predecessor's configuration; empty if it did not say.
    std::string configured_discovery() const;
    /// The number of the predecessor's client connections.
    int client_count() const;
    /// Takes the channel over which the predecessor sends its client connections.
    net::Descriptor take_channel() { return std::move(takeover_->channel); }

private:
    std::optional<hot_restart::Takeover> takeover_;
};

} // namespace marblewood::app
