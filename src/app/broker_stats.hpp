/// \file
/// The broker's metrics as reported by the admin interface and the log.
#pragma once

#include "app/client_servers.hpp"
#include "app/process_monitor.hpp"
#include "core/memory_budget.hpp"
#include "core/metrics.hpp"
#include "discovery/discovery_client.hpp"
#include "gossip/gossip_transport.hpp"
#include "list_distribution/document_watch.hpp"
#include "net/cells/cell_router.hpp"
#include "net/costs.hpp"
#include "net/endpoint_registry.hpp"
#include "net/sockets.hpp"

#include <optional>
#include <string>

namespace marblewood::app {

/// Collects metrics from all parts of the broker, which must outlive this object.
class BrokerStats {
public:
    struct Sources {
        const core::Metrics &metrics;
        const Settings &settings;
        const net::SocketBudget &sockets;
        const core::MemoryBudget &memory;
        const net::EndpointRegistry &endpoints;
        const net::EndpointRegistry::Dispatchers &dispatchers;
        ClientServers &clients;
        const std::optional<discovery::DiscoveryClient> &discovery;
        const std::optional<list_distribution::DocumentWatch> &documents;
        const std::optional<gossip::GossipTransport> &peers;
        const std::optional<net::cells::CellRouter> &cell_router;
    };

    explicit BrokerStats(Sources sources) : sources_(sources) {}
    /// Counts of the load that the broker puts on other hosts, for the log and as part of text().
    net::Costs costs() const;
    /// The state of the process. Restarts the count of bytes received from each client.
    ProcessState process_state() const;
    /// All metrics in StatsD format, one per line.
    std::string text() const;

private:
    Sources sources_;
};

} // namespace marblewood::app
