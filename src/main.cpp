// marblewood: the broker. Only wires the parts together.
#include "config/config.hpp"
#include "core/planner.hpp"
#include "net/address.hpp"
#include "net/clients.hpp"
#include "net/discovery/discovery.hpp"
#include "net/peers/peers.hpp"
#include "net/resp/front.hpp"
#include "net/resp/node_port.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <sys/resource.h>

using namespace marblewood;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

template <typename Endpoint> Endpoint address(const std::string &text, const char *field) {
    if (const auto found = net::endpoint<Endpoint>(text)) return *found;
    throw config::Error(fmt::format("field '{}': '{}' is not an address and port", field, text));
}

int serve(const config::Config &config) {
    rlimit files{};
    int sockets = config.sockets; // the lower of what we are told and what the system allows
    if (getrlimit(RLIMIT_NOFILE, &files) == 0)
        sockets = static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(sockets), files.rlim_cur));

    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    net::SocketBudget budget(sockets);
    config::Names nodes, zones;
    net::resp::NodePort port(io.get_executor(), deadlines, budget, config.settings);

    std::optional<net::discovery::Discovery> discovery;
    std::optional<net::peers::Peers> peers;
    core::Surroundings around;
    around.watch_list = [&](bool on) { discovery ? discovery->watch(on) : void(); };
    around.fetch_list = [&] { discovery ? discovery->fetch() : void(); };
    around.tell_peers = [&](std::optional<int> peer, const std::string &data) {
        if (peers) peers->tell(peer, data);
    };
    core::Planner planner(io.get_executor(), deadlines, config.settings, port, around);

    const auto told = [&](const net::discovery::Reading &reading) {
        for (const auto &[node, at] : reading.addresses)
            if (const auto where = net::endpoint<tcp::endpoint>(at)) port.place(node, *where);
        planner.list(reading.update);
    };
    if (!config.discovery.empty())
        discovery.emplace(io, deadlines, address<tcp::endpoint>(config.discovery, "discovery"),
                          config.discovery,
                          config.known.isNull() ? 0 : config::need_integer(config.known, "revision"), nodes,
                          zones, told);
    if (!config.peer_listen.empty() && config.settings.peers) {
        std::vector<asio::ip::udp::endpoint> others;
        for (const std::string &peer : config.peers)
            others.push_back(address<asio::ip::udp::endpoint>(peer, "peers"));
        std::optional<asio::ip::udp::endpoint> all;
        if (!config.peers_all.empty()) all = address<asio::ip::udp::endpoint>(config.peers_all, "peers_all");
        peers.emplace(io, address<asio::ip::udp::endpoint>(config.peer_listen, "peer_listen"), others, all,
                      [&](PeerMessage message) { planner.peer_message(std::move(message)); });
    }
    net::discovery::Reading saved;
    if (!config.known.isNull()) saved = net::discovery::read(config.known, nodes, zones);
    saved.update.kind = ListUpdate::Kind::Saved;
    told(saved);

    const net::resp::Desk desk{[&](const core::Request &) -> core::Planner & { return planner; },
                               config.settings, deadlines};
    net::Clients clients(io, deadlines, budget, address<tcp::endpoint>(config.listen, "listen"),
                         [desk](net::Client &client) { return net::resp::serve(client, desk); });
    core::log("{} serves at {}", config.name, config.listen);

    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (error) return;
        core::log("draining, {} requests open", planner.open());
        clients.drain([&] { io.stop(); });
    });
    io.run();
    core::log("ended");
    return 0;
}

} // namespace

int main(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app{"marblewood, a broker between clients and storage nodes"};
    std::string path;
    app.add_option("--config", path, "configuration file; $BALANCER_CONFIG otherwise")
        ->envname("BALANCER_CONFIG");
    app.fallthrough();
    auto *version = app.add_subcommand("version", "print the version");
    auto *check = app.add_subcommand("check-config", "read the configuration and say what is wrong with it");
    app.add_subcommand("serve", "serve clients (the default)");
    app.require_subcommand(0, 1);
    CLI11_PARSE(app, argc, argv);
    try {
        if (*version) {
            fmt::print("marblewood {}\n", MARBLEWOOD_VERSION);
            return 0;
        }
        if (path.empty()) throw config::Error("no configuration: give --config or set BALANCER_CONFIG");
        const config::Config config = config::load(path);
        if (*check) {
            fmt::print("{}: in order\n", path);
            return 0;
        }
        return serve(config);
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood: {}\n", error.what());
        return 1;
    }
}
