#include "app/app.hpp"

#include "admin/admin_server.hpp"
#include "config/distribution.hpp"
#include "config/operations.hpp"
#include "core/log.hpp"
#include "list_distribution/document_watch.hpp"
#include "list_distribution/list_codec.hpp"
#include "list_distribution/list_server.hpp"
#include "net/clients.hpp"

#include <boost/asio/signal_set.hpp>
#include <random>
#include <sys/resource.h>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using discovery::DiscoveryClient;
using list_distribution::Channel;
using list_distribution::ListServer;

class Figures {
public:
    void gauge(std::string_view name, auto value) { put(name, value, 'g'); }
    void count(std::string_view name, std::uint64_t value) { put(name, value, 'c'); }
    std::string text;

private:
    void put(std::string_view name, auto value, char kind) {
        text += fmt::format("distribution.{}:{}|{}\n", name, value, kind);
    }
};

void put_callers(Figures &figures, const ListServer &server) {
    const auto &log = server.log(Channel::Nodes);
    const auto &delivery = server.delivery(Channel::Nodes);
    std::size_t current = 0;
    std::optional<distribution::Revision> lowest;
    for (const auto &[revision, callers] : delivery.revisions_held()) {
        if (!lowest)
            lowest = revision;
        if (revision >= log.revision())
            current += callers;
    }
    figures.gauge("callers", server.callers());
    figures.gauge("callers_with_revision", current);
    figures.gauge("lowest_revision_held", lowest.value_or(log.revision()));
}

void put_answers(Figures &figures, const ListServer &server) {
    distribution::DeliveryFigures sum;
    for (const Channel channel : {Channel::Nodes, Channel::Documents}) {
        const auto &delivery = server.delivery(channel).figures();
        sum.calls += delivery.calls;
        sum.nothing += delivery.nothing;
        sum.changes += delivery.changes;
        sum.behind += delivery.behind;
        sum.put_off += delivery.put_off;
    }
    figures.count("calls", sum.calls);
    figures.count("answers_nothing", sum.nothing);
    figures.count("answers_changes", sum.changes);
    figures.count("answers_whole", server.delivery(Channel::Nodes).figures().whole);
    figures.count("documents.answers_whole", server.delivery(Channel::Documents).figures().whole);
    figures.count("answers_behind", sum.behind);
    figures.count("put_off", sum.put_off);
}

void put_traffic(Figures &figures, const ListServer &server, const discovery::DiscoveryMetrics &parent) {
    const auto &own = server.metrics();
    figures.count("accepted", own.accepted);
    figures.count("turned_away", own.rejected);
    figures.count("malformed_calls", own.malformed);
    figures.count("received_bytes", own.received_bytes);
    figures.count("sent_bytes", own.sent_bytes);
    figures.gauge("peak_second_bytes", own.peak_second_bytes);
    figures.count("parent_calls", parent.calls);
    figures.count("parent_sent_bytes", parent.sent_bytes);
    figures.count("parent_received_bytes", parent.received_bytes);
    figures.count("parent_failed", parent.failed);
    figures.count("parent_malformed", parent.malformed);
    figures.count("parent_older", parent.stale);
    figures.count("parent_partial", parent.incomplete);
}

// How far the configuration's newest version has come: who has it, who has not, and for how long (ms).
void put_documents(Figures &figures, const ListServer &server, Micros now) {
    const auto summary = server.reports().summary(now);
    figures.gauge("documents.version", server.log(Channel::Documents).revision());
    figures.gauge("documents.brokers", summary.brokers);
    figures.gauge("documents.brokers_with_version", summary.current);
    for (const auto &one : summary.lacking)
        figures.gauge("documents.lacking_ms." + one.broker, one.for_us / 1000);
}

// The distributor as a whole: what it watches, and what it serves.
class DistributorProcess {
public:
    DistributorProcess(const config::DistributorConfig &config, std::uint64_t seed)
        : config_(config), server_(io_, deadlines_, net::listen_at(io_, listen_address(config)),
                                   {config.limits, config.most_removed, config.most_callers}) {
        watch_nodes(seed);
        if (!config.document_file.empty())
            load_documents();
        if (!config.document_parents.empty())
            watch_documents(seed);
        if (!config.control.empty())
            serve_control();
    }

    void run(core::HeldSignal &hangup) {
        core::log("distributor {} serves at {}", config_.name, config_.listen);
        await_hangup();
        hangup.release();
        asio::signal_set signals(io_, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code &error, int) {
            if (!error)
                io_.stop();
        });
        io_.run();
        core::log("ended");
    }

private:
    static tcp::endpoint listen_address(const config::DistributorConfig &config) {
        return address<tcp::endpoint>(config.listen, "listen");
    }
    distribution::DistributorSelector selector(const std::vector<distribution::Distributor> &parents,
                                               std::uint64_t seed) const {
        return {parents, config_.name, config_.locality, seed};
    }

    void watch_nodes(std::uint64_t seed) {
        auto parents = selector(config_.parents, seed);
        const std::string first = parents.current().address;
        nodes_watch_.emplace(
            io_, deadlines_, list_distribution::shared_service(seed),
            discovery::SourceAddress{address<tcp::endpoint>(first, "parents.address"), first},
            discovery::kNoRevision, discovery::node_list(nodes_, zones_),
            [this](const discovery::ListResponse &reading) {
                nodes_.forget_if([](std::uint32_t) { return true; }); // names of one answer at a time
                zones_.forget_if([](std::uint32_t) { return true; });
                take(Channel::Nodes, list_distribution::to_update(reading));
            });
        nodes_watch_->use_distributors(std::move(parents));
    }

    void watch_documents(std::uint64_t seed) {
        auto parents = selector(config_.document_parents, seed);
        const std::string first = parents.current().address;
        discovery::WatchedResource feed{
            list_distribution::kDocumentsPath, list_distribution::decode_documents, [this] {
                const auto below = server_.reports().subtree(clock_.now());
                return encode_query(list_distribution::Report{config_.name, std::nullopt, below});
            }};
        documents_watch_.emplace(
            io_, deadlines_, list_distribution::shared_service(seed),
            discovery::SourceAddress{address<tcp::endpoint>(first, "documents.parents.address"), first},
            discovery::kNoRevision, std::move(feed), [this](const discovery::ListResponse &reading) {
                take(Channel::Documents, list_distribution::to_update(reading));
            });
        documents_watch_->use_distributors(std::move(parents));
    }

    void take(Channel channel, const distribution::Update &update) {
        if (server_.publish(channel, update) == distribution::Taken::Older)
            core::log("revision {} is not above the one that is held", update.revision);
    }

    // The file is taken whole or not at all; throws config::Error.
    void load_documents() {
        const config::DocumentFile file = config::load_documents(config_.document_file);
        const distribution::Revision held = server_.log(Channel::Documents).revision();
        if (file.version <= held)
            throw config::Error(
                fmt::format("field 'version': {} is not above {}, which is in force", file.version, held));
        take(Channel::Documents,
             {file.version,
              true,
              {list_distribution::document_member(config::kOperationsDocument, file.operations)}});
        core::log("documents: version {}", file.version);
    }

    void await_hangup() {
        hangups_.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            try {
                if (!config_.document_file.empty())
                    load_documents();
            } catch (const std::exception &wrong) { // what is served stays
                core::log("documents: not taken: {}", wrong.what());
            }
            await_hangup();
        });
    }

    void serve_control() {
        admin::Operations operations;
        operations.stats = [this] { return stats(); };
        operations.accepts_changes = [] { return true; };
        control_.emplace(io_, deadlines_,
                         net::listen_at(io_, address<tcp::endpoint>(config_.control, "control")),
                         std::move(operations));
    }

    std::string stats() const {
        const auto &log = server_.log(Channel::Nodes);
        Figures figures;
        figures.gauge("revision", log.revision());
        figures.gauge("oldest_revision", log.oldest());
        figures.gauge("members", log.size());
        put_callers(figures, server_);
        put_answers(figures, server_);
        put_traffic(figures, server_, nodes_watch_->metrics());
        put_documents(figures, server_, clock_.now());
        return figures.text;
    }

    const config::DistributorConfig &config_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    ListServer server_;
    config::Names nodes_, zones_;
    std::optional<DiscoveryClient> nodes_watch_, documents_watch_;
    std::optional<admin::AdminServer> control_;
    asio::signal_set hangups_{io_, SIGHUP};
};

// A caller needs a descriptor: as many as the system allows are taken up, and no more callers than those
// bear.
void fit_to_descriptors(config::DistributorConfig &config) {
    constexpr std::size_t kSpare = 64; // listeners, parents, control's callers, the log
    rlimit files{};
    if (::getrlimit(RLIMIT_NOFILE, &files) != 0)
        return;
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    const std::size_t most = std::max<std::size_t>(files.rlim_cur, 2 * kSpare) - kSpare;
    if (config.most_callers <= most)
        return;
    core::log("field 'most_callers': {}, where the system's limit of descriptors bears {}",
              config.most_callers, most);
    config.most_callers = most;
}

// All addresses, before anything is opened.
void check_addresses(const config::DistributorConfig &config) {
    for (const auto &parent : config.parents)
        address<tcp::endpoint>(parent.address, "parents.address");
    for (const auto &parent : config.document_parents)
        address<tcp::endpoint>(parent.address, "documents.parents.address");
    address<tcp::endpoint>(config.listen, "listen");
    if (!config.control.empty())
        address<tcp::endpoint>(config.control, "control");
}

} // namespace

int distribute(const std::string &path, core::HeldSignal &hangup) {
    config::DistributorConfig config = config::load_distributor(path);
    check_addresses(config);
    fit_to_descriptors(config);
    std::random_device random;
    const std::uint64_t seed = static_cast<std::uint64_t>(random()) << 32 | random();
    // Its loop holds coroutines that refer to it, so it is never destroyed: see serve().
    auto *const process = new DistributorProcess(config, seed);
    process->run(hangup);
    std::fflush(nullptr);
    std::quick_exit(0);
}

} // namespace marblewood::app
