/// \file
/// The broker process: creates its parts, connects them and runs the event loop.
#pragma once

#include "admin/admin_server.hpp"
#include "app/broker_stats.hpp"
#include "app/client_servers.hpp"
#include "app/list_log.hpp"
#include "app/predecessor.hpp"
#include "app/process_handover.hpp"
#include "config/config.hpp"
#include "core/blocked_signal.hpp"
#include "core/request_dispatcher.hpp"
#include "gossip/gossip_transport.hpp"
#include "list_distribution/document_watch.hpp"
#include "net/cells/cell_router.hpp"
#include "net/costs.hpp"
#include "net/endpoint_registry.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/node_port.hpp"
#include "net/otlp/exporter.hpp"
#include "net/resp/node_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <optional>
#include <random>
#include <string>

namespace marblewood::app {

/// Everything runs on the thread that calls run(). The members are declared in the order in which they are
/// created; each refers only to members declared above it, except where a comment says otherwise.
class Broker {
public:
    /// Creates all parts and starts to accept clients. Throws config::Error naming the invalid setting, or
    /// boost::system::system_error if a listening address cannot be used.
    Broker(std::string config_path, config::Config config, const config::Operator &operator_config);

    /// Serves until SIGTERM or SIGINT, then shuts down (see GracefulShutdown) and exits the process.
    /// `blocked_hangup` is unblocked once SIGHUP has a handler.
    [[noreturn]] void run(core::BlockedSignal &blocked_hangup);

private:
    // Steps of the construction, in order.
    void create_dispatchers();
    void create_cell_router();
    void watch_endpoints();
    void start_discovery(const discovery::SourceAddress &source, std::int64_t known_revision);
    void use_distributors();
    void confine_to_cell();
    void open_peer_socket();
    void load_known_endpoints();
    void restore_predecessor_state();
    void start_client_servers();
    void start_admin();
    void start_process_handover();

    Settings dispatcher_settings(int index) const;
    core::RequestDispatcher &dispatcher_of(const core::Request &request);
    core::RequestHandler &handler_of(const core::Request &request);

    void on_endpoints(const discovery::ListResponse &response, ListOrigin origin);
    void report_ready_nodes();
    void send_to_peers(std::optional<int> peer, const std::string &data);
    void on_peer_message(const PeerMessage &message);

    admin::Operations admin_operations();
    boost::asio::awaitable<admin::Reply> cell_operation(std::string call, std::string body);
    bool set_cordoned(const std::string &node, bool cordoned);
    void set_quiesced(bool active);

    void await_reload_signal();
    bool reload();
    void set_discovery_address(const boost::asio::ip::tcp::endpoint &address,
                               const std::string &configured_text);

    const std::string config_path_;
    config::Config config_;
    const config::Operator &operator_config_;
    const int socket_limit_;

    boost::asio::io_context io_{1};
    core::Clock clock_;
    const std::optional<net::cells::Layout> cell_layout_;
    core::Deadlines deadlines_{io_, clock_};
    net::SocketBudget sockets_;
    core::MemoryBudget memory_;
    config::Names node_names_;
    config::Names zone_names_;
    const net::nvme::Mapping nvme_mapping_;
    net::resp::NodePort resp_port_;
    net::nvme::NodePort nvme_port_;
    net::Ports ports_;
    std::mt19937_64 random_;

    // Opened before the predecessor is asked for its state: if the address is in use, this process fails to
    // start without having interrupted the predecessor.
    std::optional<boost::asio::ip::tcp::acceptor> admin_acceptor_;
    const std::string handover_path_;
    Predecessor predecessor_;

    std::optional<discovery::DiscoveryClient> discovery_; // created after endpoints_, to which it reports
    // Created after endpoints_, in which it sets the cordons that the configuration documents contain.
    std::optional<list_distribution::DocumentWatch> documents_;
    std::optional<gossip::GossipTransport> peers_; // passes the messages that it receives to dispatchers_
    net::EndpointRegistry::Dispatchers dispatchers_;
    core::Metrics metrics_;
    std::optional<net::otlp::Exporter> exporter_;
    QuiesceState quiesce_;
    std::optional<net::cells::CellRouter> cell_router_;
    const core::FrontEndServices front_end_services_;
    net::EndpointRegistry endpoints_;

    std::optional<boost::asio::signal_set> termination_signals_;
    std::optional<ClientServers> clients_;
    std::optional<BrokerStats> stats_;
    std::optional<net::CostLog> cost_log_;
    std::optional<ProcessMonitor> process_monitor_;
    std::optional<admin::AdminServer> admin_;
    std::optional<ProcessHandover> process_handover_;
    boost::asio::signal_set reload_signals_{io_};
};

} // namespace marblewood::app
