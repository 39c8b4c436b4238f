#include "app/broker.hpp"

#include "app/app.hpp"
#include "app/config_reload.hpp"
#include "app/graceful_shutdown.hpp"
#include "app/listeners.hpp"
#include "core/log.hpp"
#include "net/address.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/resource.h>
#include <unistd.h>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Descriptors reserved for connections to other brokers and the cell coordinator, if cells are configured.
constexpr int kReservedCellSockets = 32;
/// Lower bound of the socket budget after that reservation.
constexpr int kMinSocketBudget = 64;
/// A quarter of the configured memory may be used for requests and answers.
constexpr std::size_t kMemoryDivisor = 4;
/// One request may be queued for each of this many descriptors. Clients get at least a third of the
/// descriptors, and during a hot restart two processes queue requests.
constexpr std::size_t kSocketsPerQueuedRequest = 8;
constexpr std::size_t kMinQueuedRequests = 4;
constexpr Micros kMicrosPerMilli = 1'000;
/// For each megabyte of the configured memory, and of each kind; entries of all kinds take some 0.5 kB.
constexpr std::size_t kEntriesByNamePerMegabyte = 128;
/// The difference between the seeds of two dispatchers: 2^64 divided by the golden ratio, which spreads them.
constexpr std::uint64_t kSeedIncrement = 0x9e3779b97f4a7c15;

/// The configured number of sockets, limited to what the system allows (RLIMIT_NOFILE).
int socket_limit(const config::Config &config) {
    rlimit files{};
    if (::getrlimit(RLIMIT_NOFILE, &files) != 0)
        return config.sockets;
    return static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(config.sockets), files.rlim_cur));
}

std::optional<net::cells::Layout> read_cell_layout(const config::Operator &operator_config) {
    if (operator_config.cells.isNull())
        return std::nullopt;
    return net::cells::read_layout(operator_config.cells);
}

} // namespace

Broker::Broker(std::string config_path, config::Config config, const config::Operator &operator_config)
    : config_path_(std::move(config_path)), config_(std::move(config)), operator_config_(operator_config),
      socket_limit_(socket_limit(config_)), cell_layout_(read_cell_layout(operator_config_)),
      sockets_(cell_layout_ ? std::max(kMinSocketBudget, socket_limit_ - kReservedCellSockets)
                            : socket_limit_),
      memory_((config_.memory_mb << 20) / kMemoryDivisor),
      nvme_mapping_(net::nvme::read_mapping(operator_config_.nvme, config_.settings)),
      resp_port_(io_.get_executor(), deadlines_, memory_, sockets_, config_.settings),
      nvme_port_(io_.get_executor(), deadlines_, memory_, sockets_, config_.settings,
                 nvme_mapping_.block_bytes),
      ports_(resp_port_), random_(std::random_device{}()),
      admin_acceptor_(
          config_.control.empty()
              ? std::nullopt
              : std::optional(net::listen_at(io_, address<tcp::endpoint>(config_.control, "control")))),
      handover_path_(handover_path()), predecessor_(handover_path_),
      metrics_(config_.settings.classes.size()),
      front_end_services_{.request_handler = [this](const core::Request &request) -> core::RequestHandler & {
                              return handler_of(request);
                          },
                          .random_number = [this] { return random_(); },
                          .settings = config_.settings,
                          .deadlines = deadlines_,
                          .memory = memory_,
                          .quiesced = quiesce_.active,
                          .metrics = metrics_},
      endpoints_(node_names_, zone_names_, nvme_mapping_, resp_port_, nvme_port_, ports_, dispatchers_) {
    predecessor_.continue_clock(clock_);
    create_dispatchers();
    create_cell_router();
    watch_endpoints();
    use_distributors();
    confine_to_cell();
    open_peer_socket();
    load_known_endpoints();
    restore_predecessor_state();
    start_client_servers();
    start_admin();
    start_process_handover();
    if (cell_router_)
        cell_router_->start();
    core::log("broker_started name={} listen={} pid={} unix_ms={}", config_.name, config_.listen, ::getpid(),
              clock_.now() / kMicrosPerMilli);
}

void Broker::run(core::BlockedSignal &blocked_hangup) {
    reload_signals_.add(SIGHUP);
    await_reload_signal();
    blocked_hangup.unblock();
    GracefulShutdown shutdown(*termination_signals_, {.io = io_,
                                                      .deadlines = deadlines_,
                                                      .settings = config_.settings,
                                                      .dispatchers = dispatchers_,
                                                      .clients = *clients_,
                                                      .process_handover = *process_handover_});
    shutdown.await_signal();
    io_.run();
    core::log("process_ended connections_left={} connections_closed_unread={}", clients_->open_connections(),
              clients_->metrics().closed_unread);
    // Suspended coroutines in the io_context refer to other members, so that no order of destruction is safe
    // for all of them. No state remains to be saved, so the process exits without running destructors.
    std::fflush(nullptr);
    std::quick_exit(0);
}

void Broker::create_dispatchers() {
    if (!operator_config_.otlp.isNull())
        exporter_.emplace(io_, deadlines_, net::otlp::read_endpoint(operator_config_.otlp), config_.name,
                          config_.settings, metrics_, random_());
    core::DispatcherCallbacks callbacks;
    callbacks.send_peer_message = [this](std::optional<int> peer, const std::string &data) {
        send_to_peers(peer, data);
    };
    for (int index = 0; index < operator_config_.dispatchers; ++index) {
        core::RequestObserver *const observer = exporter_ ? &exporter_->observer() : nullptr;
        dispatchers_.push_back(std::make_unique<core::RequestDispatcher>(
            io_.get_executor(), deadlines_, memory_, metrics_, dispatcher_settings(index), ports_, callbacks,
            observer));
    }
}

/// Each dispatcher counts as a separate host in the decision module, which divides the plans' rates among
/// hosts.
Settings Broker::dispatcher_settings(int index) const {
    const int count = operator_config_.dispatchers;
    Settings settings = config_.settings;
    settings.hosts = config_.settings.hosts * count;
    settings.position = config_.settings.position * count + index;
    settings.seed = config_.settings.seed + static_cast<std::uint64_t>(index) * kSeedIncrement;
    // The module addresses other hosts by their index in the list of peers. This works only with one
    // dispatcher for each broker.
    settings.peers = config_.settings.peers && count == 1 && !config_.peer_listen.empty() &&
                     config_.peers.size() == static_cast<std::size_t>(config_.settings.hosts);
    settings.lends = operator_config_.lends;
    settings.max_queued_requests = std::max(
        kMinQueuedRequests, static_cast<std::size_t>(socket_limit_ / count) / kSocketsPerQueuedRequest);
    settings.max_entries_by_name =
        config_.memory_mb * kEntriesByNamePerMegabyte / static_cast<std::size_t>(count);
    return settings;
}

void Broker::create_cell_router() {
    if (!cell_layout_)
        return;
    const marblewood::cells::Broker *const self = cell_layout_->map.broker(config_.name);
    if (!self)
        throw config::Error(fmt::format("field 'cells': there is no broker named '{}'", config_.name));
    cell_router_.emplace(
        io_, deadlines_, memory_, sockets_, config_.settings, *cell_layout_, config_.name,
        net::listen_at(io_, address<tcp::endpoint>(self->link_address, "cells")), random_(),
        [this](const core::Request &request) -> core::RequestDispatcher & { return dispatcher_of(request); });
}

/// The dispatcher for a request; all requests of a volume go through the same one.
core::RequestDispatcher &Broker::dispatcher_of(const core::Request &request) {
    const auto volume = static_cast<std::uint64_t>(request.arrival.volume);
    return *dispatchers_[volume % dispatchers_.size()];
}

core::RequestHandler &Broker::handler_of(const core::Request &request) {
    if (cell_router_)
        return *cell_router_;
    return dispatcher_of(request);
}

void Broker::watch_endpoints() {
    if (config_.discovery.empty())
        return;
    const auto known_revision = config_.known.isNull() ? 0 : config::need_integer(config_.known, "revision");
    start_discovery({address<tcp::endpoint>(config_.discovery, "discovery"), config_.discovery},
                    known_revision);
}

void Broker::start_discovery(const discovery::SourceAddress &source, std::int64_t known_revision) {
    discovery_.emplace(
        io_, deadlines_, discovery::watch_options(config_.settings), source, known_revision,
        discovery::node_list(node_names_, zone_names_),
        [this](const discovery::ListResponse &response) { on_endpoints(response, ListOrigin::Discovery); });
}

/// If distributors are configured, the endpoint list is read from them instead of from discovery.
void Broker::use_distributors() {
    if (!operator_config_.distribution.isNull()) {
        config::Distribution distribution = read_distributors(operator_config_.distribution);
        if (!discovery_)
            throw config::Error(
                "missing field 'discovery': required with distributors, which are used in its place");
        distribution::DistributorSelector selector(std::move(distribution.distributors), config_.name,
                                                   distribution.locality, config_.settings.seed);
        if (distribution.documents)
            documents_.emplace(io_, deadlines_, selector, config_.name, config_.settings.seed,
                               [this](const config::Operations &operations, distribution::Revision) {
                                   endpoints_.set_fleet_cordons(operations.cordons);
                                   report_ready_nodes();
                               });
        discovery_->use_distributors(std::move(selector));
    }
    if (!discovery_)
        core::log("discovery_not_configured endpoints_from=known");
}

void Broker::on_endpoints(const discovery::ListResponse &response, ListOrigin origin) {
    if (response.revision != endpoints_.revision() || !response.update.entries.empty())
        log_applied_list(response, origin);
    endpoints_.apply(response);
    report_ready_nodes();
}

void Broker::report_ready_nodes() {
    if (cell_router_)
        cell_router_->set_ready_nodes(endpoints_.ready_nodes());
}

/// With cells configured, restricts this broker to the nodes of its own cell.
void Broker::confine_to_cell() {
    if (!cell_router_)
        return;
    cell_router_->on_nodes_changed = [this] {
        endpoints_.set_node_filter([this](const std::string &node) { return cell_router_->owns_node(node); });
        report_ready_nodes();
    };
    cell_router_->on_nodes_changed();
}

void Broker::open_peer_socket() {
    if (config_.peer_listen.empty() || !config_.settings.peers)
        return;
    std::vector<udp::endpoint> peers;
    for (const std::string &peer : config_.peers)
        peers.push_back(address<udp::endpoint>(peer, "peers"));
    std::optional<udp::endpoint> all_peers;
    if (!config_.peers_all.empty())
        all_peers = address<udp::endpoint>(config_.peers_all, "peers_all");
    const auto listen = address<udp::endpoint>(config_.peer_listen, "peer_listen");
    udp::socket socket(io_);
    if (auto inherited = predecessor_.take_socket("peers"); inherited.get() >= 0)
        socket.assign(listen.protocol(), inherited.release());
    else
        socket = udp::socket(io_, listen);
    peers_.emplace(std::move(socket), peers, all_peers,
                   [this](const PeerMessage &message) { on_peer_message(message); });
}

void Broker::send_to_peers(std::optional<int> peer, const std::string &data) {
    if (peers_)
        peers_->send(peer, data);
}

void Broker::on_peer_message(const PeerMessage &message) {
    for (const auto &dispatcher : dispatchers_)
        dispatcher->peer_message(message);
}

/// Loads the nodes listed in the configuration file, which are used until discovery has answered.
void Broker::load_known_endpoints() {
    discovery::ListResponse known;
    if (!config_.known.isNull())
        known = discovery::decode_node_list(config_.known, node_names_, zone_names_);
    known.update.kind = ListUpdate::Kind::Saved;
    on_endpoints(known, ListOrigin::Configuration);
}

/// The watch continues from the list that the predecessor had, which is in use from here on.
void Broker::restore_predecessor_state() {
    predecessor_.restore(endpoints_, quiesce_, clock_);
    if (discovery_ && predecessor_.is_present())
        discovery_->continue_from(endpoints_.revision(), predecessor_.list_source());
    // The predecessor may have reloaded the file after this process read it.
    const std::string discovery = predecessor_.is_present() ? predecessor_.configured_discovery() : "";
    if (!discovery.empty() && discovery != config_.discovery)
        reload();
}

/// Opens the NVMe/TCP listener first: it may have to wait until its address is free, and no connected client
/// should wait for that. Signal handlers are installed before clients can connect, so that clients get their
/// answers in a shutdown.
void Broker::start_client_servers() {
    std::optional<tcp::acceptor> nvme_listener;
    if (!nvme_mapping_.listen.empty())
        nvme_listener = open_listener(io_, net::Descriptor(), predecessor_.take_socket("nvme"),
                                      address<tcp::endpoint>(nvme_mapping_.listen, "nvme.listen"));
    termination_signals_.emplace(io_, SIGTERM, SIGINT);
    auto resp_listener = open_listener(io_, platform_listener(), predecessor_.take_socket("clients"),
                                       address<tcp::endpoint>(config_.listen, "listen"));
    clients_.emplace(io_, sockets_, front_end_services_, nvme_mapping_, std::move(resp_listener),
                     std::move(nvme_listener), config_.memory_mb * kEntriesByNamePerMegabyte);
    predecessor_.restore(clients_->request_ids());
}

void Broker::start_admin() {
    stats_.emplace(BrokerStats::Sources{.metrics = metrics_,
                                        .settings = config_.settings,
                                        .sockets = sockets_,
                                        .memory = memory_,
                                        .endpoints = endpoints_,
                                        .dispatchers = dispatchers_,
                                        .clients = *clients_,
                                        .discovery = discovery_,
                                        .documents = documents_,
                                        .peers = peers_,
                                        .cell_router = cell_router_});
    cost_log_.emplace(deadlines_, [this] { return stats_->costs(); });
    process_monitor_.emplace(deadlines_, [this] {
        ProcessState state = stats_->process_state();
        state.memory_limit_bytes = state.reserved_limit_bytes * kMemoryDivisor;
        return state;
    });
    if (admin_acceptor_)
        admin_.emplace(io_, deadlines_, std::move(*admin_acceptor_), admin_operations());
    clients_->apply(quiesce_);
}

admin::Operations Broker::admin_operations() {
    admin::Operations operations;
    operations.stats = [this] { return stats_->text(); };
    operations.cordon = [this](const std::string &node) { return set_cordoned(node, true); };
    operations.uncordon = [this](const std::string &node) { return set_cordoned(node, false); };
    operations.quiesce = [this](bool active) { set_quiesced(active); };
    operations.accepts_changes = [this] { return !process_handover_->has_successor(); };
    if (cell_router_)
        operations.cells = [this](std::string call, std::string body) {
            return cell_operation(std::move(call), std::move(body));
        };
    return operations;
}

/// Executes a call of the admin interface below /admin/cells and returns the HTTP status and text of the
/// reply. This broker answers "here" itself; all other calls are passed to the cell coordinator.
asio::awaitable<admin::Reply> Broker::cell_operation(std::string call, std::string body) {
    constexpr int kOk = 200;
    constexpr int kConflict = 409;
    constexpr int kUnavailable = 503;
    if (call == "here")
        co_return admin::Reply{kOk, cell_router_->status()};
    const auto reply = co_await cell_router_->call_coordinator(std::move(call), std::move(body));
    if (!reply)
        co_return admin::Reply{kUnavailable, "the keeper does not answer\n"};
    co_return admin::Reply{reply->ok ? kOk : kConflict, reply->text};
}

/// Cordons or uncordons a node. Returns false if no node has this id.
bool Broker::set_cordoned(const std::string &node, bool cordoned) {
    const bool known = cordoned ? endpoints_.cordon(node) : endpoints_.uncordon(node);
    report_ready_nodes();
    if (known)
        process_handover_->forward_cordon_to_predecessor(node, cordoned);
    return known;
}

void Broker::set_quiesced(bool active) {
    if (active && !quiesce_.active)
        quiesce_.since = clock_.now();
    quiesce_.active = active;
    clients_->apply(quiesce_);
    process_handover_->forward_quiesce_to_predecessor(active);
}

void Broker::start_process_handover() {
    process_handover_.emplace(
        handover_path_,
        ProcessHandover::Parts{.io = io_,
                               .deadlines = deadlines_,
                               .sockets = sockets_,
                               .memory = memory_,
                               .endpoints = endpoints_,
                               .clients = *clients_,
                               .peers = peers_,
                               .discovery = discovery_,
                               .quiesce = quiesce_,
                               .config = config_},
        ProcessHandover::OperatorActions{
            .cordon = [this](const std::string &node, bool cordoned) { set_cordoned(node, cordoned); },
            .quiesce = [this](bool active) { set_quiesced(active); },
            .reload = [this] { reload(); }});
    if (predecessor_.is_present())
        process_handover_->take_over(predecessor_);
    if (discovery_)
        discovery_->set_relay(
            [this](const discovery::RelayedList &list) { process_handover_->relay_list(list); });
}

void Broker::await_reload_signal() {
    reload_signals_.async_wait([this](const boost::system::error_code &error, int) {
        if (error)
            return;
        const bool taken = reload();
        ++(taken ? metrics_.reloads : metrics_.reloads_failed);
        process_handover_->forward_reload();
        await_reload_signal();
    });
}

bool Broker::reload() {
    return reload_config(config_path_, config_,
                         [this](const tcp::endpoint &address, const std::string &configured_text) {
                             set_discovery_address(address, configured_text);
                         });
}

void Broker::set_discovery_address(const tcp::endpoint &address, const std::string &configured_text) {
    if (!operator_config_.distribution.isNull()) {
        core::log("discovery_change_ignored reason=distributors_configured");
        return;
    }
    if (!discovery_)
        start_discovery({address, configured_text}, 0);
    discovery_->move_to({address, configured_text});
}

} // namespace marblewood::app
