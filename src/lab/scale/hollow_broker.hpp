// Hollow brokers: the shipped code for lists, membership facts, quotas on nodes that warm up and lent limits,
// on real sockets, with no clients and no nodes behind. Many share a process.
#pragma once

#include "config/distribution.hpp"
#include "gossip/gossip_transport.hpp"
#include "list_distribution/document_watch.hpp"
#include "net/endpoint_registry.hpp"

#include <map>

namespace marblewood::lab::scale {

namespace asio = boost::asio;

/// What all hollow brokers of a process are told.
struct HollowConfig {
    Settings settings;
    std::string discovery; // its address, where there are no distributors
    std::vector<distribution::Distributor> distributors;
    Json::Value known;      // in discovery's form; null: they begin with nothing
    int peer_port = 7946;   // for datagrams, at addresses of their own
    int hosts = 1;          // in the whole fleet
    bool documents = false; // they watch the configuration's, too
};

/// How one broker came to hold a revision of the list.
struct Adoption {
    std::int64_t revision = 0;
    Micros at = 0; // Unix time in us
};

class HollowBroker {
public:
    HollowBroker(asio::io_context &io, core::Deadlines &deadlines, const HollowConfig &config, int position,
                 const distribution::Locality &locality);

    const std::string &name() const { return name_; }
    const std::vector<Adoption> &adopted() const { return adopted_; }
    /// Answers after which it would have held a lower revision than before.
    int went_back() const { return went_back_; }
    /// The configuration's versions, in the same way.
    const std::vector<Adoption> &configured() const { return configured_; }
    /// Bytes both ways, calls and failures of all its watches.
    discovery::DiscoveryMetrics traffic() const;
    std::uint64_t datagrams() const { return peers_ ? peers_->datagrams_sent() : 0; }
    std::size_t nodes() const { return fleet_.size(); }

private:
    Settings own_settings(const HollowConfig &config, int position) const;
    void listen_to_peers(asio::io_context &io, const HollowConfig &config, int position);
    void told(const discovery::ListResponse &reading, Micros now);

    const std::string name_;
    config::Names nodes_, zones_;
    net::SocketBudget budget_;
    core::MemoryBudget memory_;
    const Settings settings_;
    core::Metrics figures_;
    const net::nvme::Mapping mapping_;
    net::resp::NodePort resp_port_;
    net::nvme::NodePort nvme_port_;
    net::Ports ports_;
    net::EndpointRegistry::Dispatchers dispatchers_;
    net::EndpointRegistry fleet_;
    std::optional<gossip::GossipTransport> peers_;
    std::optional<discovery::DiscoveryClient> discovery_;
    std::int64_t revision_ = 0;
    std::optional<list_distribution::DocumentWatch> documents_;
    std::vector<Adoption> adopted_, configured_;
    int went_back_ = 0;
};

/// Runs the hollow brokers that the file names until SIGTERM, then writes what they saw. The exit code.
int run_hollow_process(const std::string &file);

} // namespace marblewood::lab::scale
