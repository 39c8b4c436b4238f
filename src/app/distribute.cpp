#include "app/app.hpp"

#include "config/distribution.hpp"
#include "core/log.hpp"
#include "net/clients.hpp"
#include "net/control/control.hpp"
#include "net/lists/codec.hpp"
#include "net/lists/list_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <random>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using net::discovery::Discovery;
using net::lists::ListServer;

std::string spell(const ListServer &server, const Discovery &parent) {
    std::string out;
    const auto gauge = [&out](std::string_view name, auto value) {
        out += fmt::format("distribution.{}:{}|g\n", name, value);
    };
    const auto count = [&out](std::string_view name, std::uint64_t value) {
        out += fmt::format("distribution.{}:{}|c\n", name, value);
    };
    const auto &log = server.log();
    gauge("revision", log.revision());
    gauge("oldest_revision", log.oldest());
    gauge("members", log.size());
    gauge("callers", server.delivery().callers());
    std::size_t current = 0;
    std::optional<distribution::Revision> lowest;
    for (const auto &[revision, callers] : server.delivery().revisions_held()) {
        if (!lowest) lowest = revision;
        if (revision >= log.revision()) current += callers;
    }
    gauge("callers_with_revision", current);
    gauge("lowest_revision_held", lowest.value_or(log.revision()));
    const auto &delivery = server.delivery().figures();
    count("calls", delivery.calls);
    count("answers_nothing", delivery.nothing);
    count("answers_changes", delivery.changes);
    count("answers_whole", delivery.whole);
    count("answers_behind", delivery.behind);
    count("put_off", delivery.put_off);
    const auto &figures = server.figures();
    count("accepted", figures.accepted);
    count("turned_away", figures.turned_away);
    count("malformed_calls", figures.malformed);
    count("received_bytes", figures.received_bytes);
    count("sent_bytes", figures.sent_bytes);
    gauge("peak_second_bytes", figures.peak_second_bytes);
    const auto &traffic = parent.traffic();
    count("parent_calls", traffic.calls);
    count("parent_sent_bytes", traffic.sent_bytes);
    count("parent_received_bytes", traffic.received_bytes);
    count("parent_failed", traffic.failed);
    count("parent_malformed", traffic.malformed);
    count("parent_older", traffic.older);
    count("parent_partial", traffic.partial);
    return out;
}

// How discovery is asked: as a service that many share, not an agent on this machine.
Settings parent_settings(std::uint64_t seed) {
    Settings settings;
    settings.ask_for_list = true;
    settings.seed = seed;
    return settings;
}

} // namespace

int distribute(const std::string &path) {
    const config::DistributorConfig config = config::load_distributor(path);
    for (const auto &parent : config.parents) address<tcp::endpoint>(parent.address, "parents.address");
    const auto listen = address<tcp::endpoint>(config.listen, "listen");
    std::optional<tcp::endpoint> control_at;
    if (!config.control.empty()) control_at = address<tcp::endpoint>(config.control, "control");

    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    std::random_device random;
    const std::uint64_t seed = static_cast<std::uint64_t>(random()) << 32 | random();
    ListServer server(io, deadlines, net::listen_at(io, listen), config.limits, config.most_removed,
                      config.most_callers);
    distribution::DistributorSelector selector(config.parents, config.name, config.locality, seed);
    config::Names nodes, zones; // of one answer at a time
    const auto told = [&](const net::discovery::Reading &reading) {
        nodes.forget_if([](std::uint32_t) { return true; });
        zones.forget_if([](std::uint32_t) { return true; });
        if (server.take(net::lists::to_update(reading)) == distribution::Taken::Older)
            core::log("an older list was not taken: {}", reading.revision);
    };
    const std::string first = selector.current().address;
    Discovery parent(io, deadlines, parent_settings(seed), address<tcp::endpoint>(first, "parents.address"),
                     first, net::discovery::kNothingKnown, nodes, zones, told);
    parent.use(std::move(selector));
    net::control::Operations operations;
    operations.stats = [&] { return spell(server, parent); };
    operations.acts = [] { return true; };
    std::optional<net::control::Control> control;
    if (control_at) control.emplace(io, deadlines, net::listen_at(io, *control_at), std::move(operations));
    core::log("distributor {} serves at {}", config.name, config.listen);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) io.stop();
    });
    io.run();
    core::log("ended");
    std::fflush(nullptr); // coroutines refer to what stands above: see serve()
    std::quick_exit(0);
}

} // namespace marblewood::app
