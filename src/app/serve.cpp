#include "app/app.hpp"

#include "admin/admin_server.hpp"
#include "admin/statistics.hpp"
#include "core/request_dispatcher.hpp"
#include "gossip/gossip_transport.hpp"
#include "hot_restart/hot_restart.hpp"
#include "list_distribution/document_watch.hpp"
#include "net/address.hpp"
#include "net/cells/residence.hpp"
#include "net/clients.hpp"
#include "net/costs.hpp"
#include "net/endpoint_registry.hpp"
#include "net/nvme/front.hpp"
#include "net/otlp/exporter.hpp"
#include "net/resp/front.hpp"

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sys/resource.h>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Micros kLook = 1'000;  // us between looks at what is still to go over to a successor
constexpr int kLinkSockets = 32; // descriptors for brokers and keeper, where there are cells
// After SIGTERM the end is forced no sooner than the longest deadline, counted as kLongest at the most, and
// kGrace more. What is answered by then is not lost: requests are taken until shortly before.
constexpr Micros kLongest = 3'000'000, kGrace = 700'000;
constexpr Micros kSpare = 150'000;    // us of it that are left unused
constexpr Micros kLetGo = 400'000;    // us before that end at which connections are let go, between requests
constexpr Micros kWithdraw = 200'000; // us before it at which what is still open is answered
// One descriptor in so many is for a client whose request waits here. Clients have a third of them or more,
// and at a handover two processes hold requests.
constexpr std::size_t kHeldSockets = 8;
constexpr std::size_t kHeldPart = 4; // a quarter of the memory is for what clients send and are owed

// Reads the file again, whole: what is wrong with any of it leaves the broker as it is. Discovery moves; all
// else is bound to what runs already and is taken up at the next start.
void reload(const std::string &path, config::Config &config, core::Figures &figures,
            const std::function<void(const tcp::endpoint &, const std::string &)> &move) {
    try {
        config::Config fresh = config::load(path);
        const auto discovery = address<tcp::endpoint>(fresh.discovery, "discovery");
        address<tcp::endpoint>(fresh.listen, "listen");
        if (!fresh.known.isNull()) { // must be readable, but is older than what discovery has told
            config::Names nodes, zones;
            discovery::decode_node_list(fresh.known, nodes, zones);
        }
        for (const std::string &name : fresh.file.getMemberNames())
            if (name != "discovery" && name != "known" && name != "seed" &&
                fresh.file[name] != config.file[name])
                core::log("configuration: field '{}' has changed, which counts from the next start", name);
        core::log("configuration read again: discovery at {}", fresh.discovery);
        if (fresh.discovery != config.discovery)
            move(discovery, fresh.discovery);
        config.discovery = fresh.discovery;
        ++figures.loaded;
    } catch (const std::exception &error) {
        ++figures.invalid;
        core::log("configuration not taken: {}", error.what());
    }
}

// The clients' listening socket that the platform holds for every process of this broker.
net::Descriptor passed_socket() {
    const char *const text = std::getenv("BALANCER_PASSED_SOCKET");
    if (!text || !*text)
        return net::Descriptor();
    int fd = -1;
    const auto [end, error] = std::from_chars(text, text + std::strlen(text), fd);
    if (error != std::errc() || *end || fd < 3)
        throw config::Error(fmt::format("$BALANCER_PASSED_SOCKET: '{}' is not a descriptor", text));
    return net::Descriptor(fd);
}

// The platform's socket, or the predecessor's, or one of our own.
tcp::acceptor listener(asio::io_context &io, net::Descriptor platform, net::Descriptor predecessor,
                       const tcp::endpoint &at) {
    if (platform.get() >= 0)
        return net::listen_with(io, std::move(platform));
    if (predecessor.get() >= 0)
        return net::listen_with(io, std::move(predecessor));
    return net::listen_at(io, at);
}

} // namespace

int serve(const std::string &path, config::Config config, const config::Operator &added,
          core::HeldSignal &hangup) {
    rlimit files{};
    int sockets = config.sockets; // the lower of what we are told and what the system allows
    if (getrlimit(RLIMIT_NOFILE, &files) == 0)
        sockets = static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(sockets), files.rlim_cur));

    asio::io_context io(1);
    core::Clock clock;
    std::optional<net::cells::Layout> layout;
    if (!added.cells.isNull())
        layout = net::cells::read_layout(added.cells);
    core::Deadlines deadlines(io, clock);
    net::SocketBudget budget(layout ? std::max(64, sockets - kLinkSockets) : sockets);
    core::Memory memory((config.memory_mb << 20) / kHeldPart);
    config::Names nodes, zones;
    const net::nvme::Mapping mapping = net::nvme::read_mapping(added.nvme, config.settings);
    net::resp::NodePort resp_port(io.get_executor(), deadlines, memory, budget, config.settings);
    net::nvme::NodePort nvme_port(io.get_executor(), deadlines, budget, config.settings, mapping.block_bytes);
    net::Ports ports(resp_port);
    std::mt19937_64 random(std::random_device{}());

    std::optional<tcp::acceptor> control_listener; // all that may fail comes before a predecessor is asked
    if (!config.control.empty())
        control_listener = net::listen_at(io, address<tcp::endpoint>(config.control, "control"));
    const char *const folder = std::getenv("TMPDIR");
    const std::string meeting = folder && *folder ? std::string(folder) + "/marblewood.handover" : "";
    std::optional<hot_restart::Takeover> legacy;
    if (!meeting.empty())
        legacy = hot_restart::request_takeover(meeting);
    // The wall clock may have been set since the predecessor read it. Its times mean the same here and there.
    if (legacy && legacy->parent.state["now_us"].isInt64() && legacy->parent.state["now_us"].asInt64() > 0)
        clock.continue_from(legacy->parent.state["now_us"].asInt64());
    const auto inherited = [&](const char *name) {
        if (!legacy || legacy->channel.get() < 0)
            return net::Descriptor();
        const auto found = legacy->parent.sockets.find(name);
        return found == legacy->parent.sockets.end() ? net::Descriptor() : std::move(found->second);
    };

    std::optional<discovery::DiscoveryClient> discovery;
    std::optional<list_distribution::DocumentWatch> documents;
    std::optional<gossip::GossipTransport> peers;
    core::DispatcherCallbacks around;
    around.send_peer_message = [&](std::optional<int> peer, const std::string &data) {
        if (peers)
            peers->send(peer, data);
    };
    // Each dispatcher is a host of its own to the module, so that what hosts share out is shared out once
    // more.
    net::EndpointRegistry::Dispatchers dispatchers;
    core::Figures figures(config.settings.classes.size());
    std::optional<net::otlp::Exporter> exporter;
    if (!added.otlp.isNull())
        exporter.emplace(io, deadlines, net::otlp::read_endpoint(added.otlp), config.name, config.settings,
                         figures, random());
    for (int n = 0; n < added.dispatchers; ++n) {
        Settings own = config.settings;
        own.hosts = config.settings.hosts * added.dispatchers;
        own.position = config.settings.position * added.dispatchers + n;
        own.seed = config.settings.seed + static_cast<std::uint64_t>(n) * 0x9e3779b97f4a7c15;
        // Hosts that talk are numbered as the peers are: not where several decide in one process.
        own.peers = config.settings.peers && added.dispatchers == 1 && !config.peer_listen.empty() &&
                    config.peers.size() == static_cast<std::size_t>(config.settings.hosts);
        own.lends = added.lends;
        own.max_queued_requests =
            std::max<std::size_t>(4, static_cast<std::size_t>(sockets / added.dispatchers) / kHeldSockets);
        dispatchers.push_back(std::make_unique<core::RequestDispatcher>(
            io.get_executor(), deadlines, memory, figures, own, ports, around,
            exporter ? &exporter->observer() : nullptr));
    }
    bool away = false;     // quiesced
    Micros away_since = 0; // when operators asked for it, by our clock
    const auto usual = [&](const core::Request &r)
        -> core::RequestDispatcher & { // a volume always goes through the same one
        return *dispatchers[static_cast<std::uint64_t>(r.facts.volume) % dispatchers.size()];
    };
    std::optional<net::cells::Residence> residence;
    if (layout) {
        const marblewood::cells::Broker *const own = layout->map.broker(config.name);
        if (!own)
            throw config::Error(fmt::format("field 'cells': no broker is called '{}'", config.name));
        residence.emplace(io, deadlines, memory, budget, config.settings, *layout, config.name,
                          net::listen_at(io, address<tcp::endpoint>(own->link, "cells")), random(), usual);
    }
    const core::FrontEndServices services{[&](const core::Request &r) -> core::RequestHandler & {
                                              return residence
                                                         ? static_cast<core::RequestHandler &>(*residence)
                                                         : usual(r);
                                          },
                                          [&] { return random(); },
                                          config.settings,
                                          deadlines,
                                          memory,
                                          away,
                                          figures};

    net::EndpointRegistry fleet(nodes, zones, mapping, resp_port, nvme_port, ports, dispatchers);
    const auto told = [&](const discovery::ListResponse &reading) {
        fleet.apply(reading);
        if (residence)
            residence->ready_nodes(fleet.ready_nodes());
    };
    if (!config.discovery.empty())
        discovery.emplace(
            io, deadlines, discovery::watch_options(config.settings),
            discovery::SourceAddress{address<tcp::endpoint>(config.discovery, "discovery"), config.discovery},
            config.known.isNull() ? 0 : config::need_integer(config.known, "revision"),
            discovery::node_list(nodes, zones), told);
    if (!added.distribution.isNull()) {
        config::Distribution distribution = read_distributors(added.distribution);
        if (!discovery)
            throw config::Error("field 'discovery' is missing: distributors are asked in its place");
        distribution::DistributorSelector selector(std::move(distribution.distributors), config.name,
                                                   distribution.locality, config.settings.seed);
        if (distribution.documents)
            documents.emplace(io, deadlines, selector, config.name, config.settings.seed,
                              [&](const config::Operations &operations, distribution::Revision) {
                                  fleet.set_fleet_cordons(operations.cordons);
                                  if (residence)
                                      residence->ready_nodes(fleet.ready_nodes());
                              });
        discovery->use_distributors(std::move(selector));
    }
    if (!discovery)
        core::log("configuration: no 'discovery': the nodes in 'known' are all there are, and none drains");
    if (residence) {
        residence->confined = [&] {
            fleet.set_node_filter([&](const std::string &id) { return residence->allows(id); });
            residence->ready_nodes(fleet.ready_nodes());
        };
        residence->confined();
    }
    if (!config.peer_listen.empty() && config.settings.peers) {
        std::vector<asio::ip::udp::endpoint> others;
        for (const std::string &peer : config.peers)
            others.push_back(address<asio::ip::udp::endpoint>(peer, "peers"));
        std::optional<asio::ip::udp::endpoint> all;
        if (!config.peers_all.empty())
            all = address<asio::ip::udp::endpoint>(config.peers_all, "peers_all");
        const auto at = address<asio::ip::udp::endpoint>(config.peer_listen, "peer_listen");
        asio::ip::udp::socket socket(io);
        if (auto kept = inherited("peers"); kept.get() >= 0)
            socket.assign(at.protocol(), kept.release());
        else
            socket = asio::ip::udp::socket(io, at);
        peers.emplace(std::move(socket), others, all, [&](const PeerMessage &message) {
            for (const auto &dispatcher : dispatchers)
                dispatcher->peer_message(message);
        });
    }
    discovery::ListResponse saved;
    if (!config.known.isNull())
        saved = discovery::decode_node_list(config.known, nodes, zones);
    saved.update.kind = ListUpdate::Kind::Saved;
    told(saved);
    if (legacy) {
        try {
            fleet.restore(config::need(legacy->parent.state, "fleet"));
            away = config::flag_or(legacy->parent.state, "quiesced", false);
            away_since = clock.now() - config::integer_or(legacy->parent.state, "quiesced_us", 0);
        } catch (const config::Error &error) { // nothing of it is taken; the predecessor serves on
            core::log("handover: {}", error.what());
            legacy->channel = net::Descriptor();
        }
    }

    net::resp::OpenIds open;
    net::ClientFigures client_figures;
    std::optional<tcp::acceptor> nvme_listener; // may have to wait, which nobody should who has connected
    if (!mapping.listen.empty())
        nvme_listener = listener(io, net::Descriptor(), inherited("nvme"),
                                 address<tcp::endpoint>(mapping.listen, "nvme.listen"));
    // From here on requests may be written to connections that wait: a signal to end finds them answered.
    asio::signal_set signals(io, SIGTERM, SIGINT);
    net::Clients clients(
        io, deadlines, budget, client_figures,
        listener(io, passed_socket(), inherited("clients"), address<tcp::endpoint>(config.listen, "listen")),
        [&](net::Client &client) { return net::resp::serve(client, services, open); });
    net::nvme::Controllers controllers;
    std::optional<net::Clients> nvme_clients;
    if (nvme_listener)
        nvme_clients.emplace(
            io, deadlines, budget, client_figures, std::move(*nvme_listener),
            [&](net::Client &client) { return net::nvme::serve(client, services, mapping, controllers); });
    const auto costs = [&] {
        net::Costs c;
        for (std::size_t kind = 0; kind < 3; ++kind)
            c.requests += figures.sum(kind);
        c.probes = figures.probes;
        c.connections = budget.opened();
        c.list_calls = discovery ? discovery->metrics().calls : 0;
        c.failed = figures.sum(static_cast<std::size_t>(core::Outcome::Kind::Failed));
        c.broken = figures.broken;
        c.turned_away = figures.turned_away;
        c.refused = figures.sum(static_cast<std::size_t>(core::Outcome::Kind::Refused));
        c.unsent = figures.unsent;
        c.datagrams = peers ? peers->datagrams_sent() : 0;
        c.datagram_bytes = peers ? peers->bytes_sent() : 0;
        for (const auto &dispatcher : dispatchers) {
            const net::Counts more = net::counts(dispatcher->overload());
            for (std::size_t n = 0; n < more.size(); ++n)
                c.overload[n] = {more[n].first, c.overload[n].second + more[n].second};
        }
        return c;
    };
    const net::CostLog cost_log(deadlines, costs);
    admin::Operations operations;
    operations.stats = [&] {
        std::size_t open_clients = clients.open(), closing_clients = clients.closing();
        if (nvme_clients) {
            open_clients += nvme_clients->open();
            closing_clients += nvme_clients->closing();
        }
        std::string text =
            admin::format_statistics(figures, config.settings,
                                     {fleet.open_requests(), fleet.size(), fleet.avoided_nodes(), costs(),
                                      client_figures, open_clients, closing_clients});
        if (documents)
            text += fmt::format("balancer.configuration_version:{}|g\nbalancer.configuration_refused:{}|c\n",
                                documents->applied_version(), documents->rejected());
        if (residence)
            text += residence->stats();
        return text;
    };
    std::optional<hot_restart::HotRestart> handover;
    const auto cordon = [&](const std::string &id, bool out) {
        const bool known = out ? fleet.cordon(id) : fleet.uncordon(id);
        if (residence)
            residence->ready_nodes(fleet.ready_nodes());
        if (known && handover)
            handover->forward_cordon(id, out);
        return known;
    };
    operations.cordon = [&](const std::string &id) { return cordon(id, true); };
    operations.uncordon = [&](const std::string &id) { return cordon(id, false); };
    if (residence)
        operations.cells = [&](std::string what, std::string body) -> asio::awaitable<admin::Reply> {
            if (what == "here")
                co_return admin::Reply{200, residence->spell()};
            const auto reply = co_await residence->ask_keeper(std::move(what), std::move(body));
            if (!reply)
                co_return admin::Reply{503, "the keeper does not answer\n"};
            co_return admin::Reply{reply->ok ? 200 : 409, reply->text};
        };
    const auto send_away = [&] {
        const auto since = away ? std::optional(away_since) : std::nullopt;
        clients.quiesce(since);
        if (nvme_clients)
            nvme_clients->quiesce(since);
    };
    const auto quiesce = [&](bool on) {
        if (on && !away)
            away_since = clock.now();
        away = on;
        send_away();
        if (handover)
            handover->forward_quiesce(on);
    };
    operations.quiesce = quiesce;
    operations.accepts_changes = [&] { return !handover || !handover->handed_over(); };
    std::optional<admin::AdminServer> control;
    if (control_listener)
        control.emplace(io, deadlines, std::move(*control_listener), std::move(operations));
    send_away();

    // From one process to the next: see docs/design.md.
    const auto share = [&](bool shared, int clients_elsewhere) {
        budget.share(shared, clients_elsewhere);
        memory.share(shared);
    };
    const auto accept = [&](bool on) {
        for (net::Clients *part : {&clients, nvme_clients ? &*nvme_clients : nullptr})
            if (part)
                on ? part->resume() : part->pause();
        if (peers)
            on ? peers->start_receiving() : peers->stop_receiving();
    };
    hot_restart::ProcessHooks program;
    program.release_state = [&] {
        hot_restart::ParentState all;
        accept(false);
        all.state["now_us"] = static_cast<Json::Int64>(clock.now());
        all.state["quiesced"] = away;
        all.state["quiesced_us"] = static_cast<Json::Int64>(away ? clock.now() - away_since : 0);
        all.state["clients"] = budget.clients();
        all.state["fleet"] = fleet.handover_state();
        const auto give = [&](const char *name, int socket) {
            all.sockets[name] = net::Descriptor(::dup(socket));
        };
        give("clients", clients.listener());
        if (nvme_clients)
            give("nvme", nvme_clients->listener());
        if (peers)
            give("peers", peers->descriptor());
        fleet.drain_for_successor(true);
        share(true, 0);
        return all;
    };
    program.hand_over_clients = [&] {
        clients.hand_over([&](net::Passed passed) { handover->send_client(std::move(passed)); });
    };
    program.resume = [&] {
        clients.hand_over(nullptr);
        fleet.drain_for_successor(false);
        share(false, 0);
        accept(true);
    };
    program.adopt_client = [&](net::Passed passed) { clients.adopt(std::move(passed)); };
    program.parent_exited = [&] { share(false, 0); };
    program.set_cordoned = [&](const std::string &id, bool out) { cordon(id, out); };
    program.set_quiesced = quiesce;
    if (!meeting.empty())
        handover.emplace(io, deadlines, meeting, std::move(program));
    if (legacy && legacy->channel.get() >= 0) {
        share(true, static_cast<int>(config::integer_or(legacy->parent.state, "clients", 0)));
        handover->follow_parent(std::move(legacy->channel));
        core::log("took over from a predecessor");
    }
    if (residence)
        residence->start();
    core::log("{} serves at {}", config.name, config.listen);

    asio::signal_set hangups(io, SIGHUP);
    const std::function<void()> await_hangup = [&] {
        hangups.async_wait([&](const boost::system::error_code &error, int) {
            if (error)
                return;
            reload(path, config, figures, [&](const tcp::endpoint &at, const std::string &host) {
                if (!added.distribution.isNull())
                    return core::log("distributors are asked in place of discovery, wherever it is");
                if (!discovery)
                    discovery.emplace(io, deadlines, discovery::watch_options(config.settings),
                                      discovery::SourceAddress{at, host}, 0,
                                      discovery::node_list(nodes, zones), told);
                discovery->move_to({at, host});
            });
            await_hangup();
        });
    };
    await_hangup();
    hangup.release();
    core::Deadlines::Entry last_look;
    const std::function<void()> stop = [&] { // once all that goes over has gone
        if (!handover || handover->all_sent())
            return io.stop();
        last_look = deadlines.in(kLook, stop);
    };
    const std::function<void()> await_further_signals = [&] { // they change nothing
        signals.async_wait([&](const boost::system::error_code &error, int number) {
            if (error)
                return;
            core::log("signal {}: draining already", number);
            await_further_signals();
        });
    };
    signals.async_wait([&](const boost::system::error_code &error, int number) {
        if (error)
            return;
        await_further_signals();
        const auto done = [&, left = std::make_shared<int>(nvme_clients ? 2 : 1)] {
            if (--*left == 0)
                stop();
        };
        Micros longest = 0;
        for (const ClassSettings &c : config.settings.classes)
            longest = std::max(longest, c.deadline);
        const Micros now = clock.now();
        const Micros end = now + std::min(longest, kLongest) + kGrace - kSpare;
        core::log("draining: signal {}; connections are let go in {} ms, requests withdrawn in {} ms, all is "
                  "over in {} ms",
                  number, (end - kLetGo - now) / 1000, (end - kWithdraw - now) / 1000, (end - now) / 1000);
        for (const auto &dispatcher : dispatchers)
            dispatcher->end_by(end);
        clients.drain(end - kLetGo, end - kWithdraw, done);
        if (nvme_clients)
            nvme_clients->drain(end - kLetGo, end - kWithdraw, done);
    });
    io.run();
    core::log("ended: {} clients' connections left, {} shut down over bytes that were not taken",
              clients.open() + (nvme_clients ? nvme_clients->open() : 0), client_figures.closed_unread);
    // Watches and idle connections still have coroutines in the io_context, which refer to what stands above.
    // Neither order of destruction suits both, and there is nothing left to save: leave without it.
    std::fflush(nullptr);
    std::quick_exit(0);
}

} // namespace marblewood::app
