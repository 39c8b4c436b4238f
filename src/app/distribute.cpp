/// \file
/// The sub-command `distribute`: runs a distributor.
#include "admin/admin_server.hpp"
#include "app/app.hpp"
#include "app/distributor_stats.hpp"
#include "config/distribution.hpp"
#include "config/operations.hpp"
#include "core/log.hpp"
#include "list_distribution/document_watch.hpp"
#include "list_distribution/list_codec.hpp"
#include "list_distribution/list_server.hpp"
#include "net/clients.hpp"

#include <algorithm>
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

tcp::endpoint listen_address(const config::DistributorConfig &config) {
    return address<tcp::endpoint>(config.listen, "listen");
}

discovery::SourceAddress source_address(const std::string &text, const char *field) {
    return {address<tcp::endpoint>(text, field), text};
}

tcp::endpoint admin_address(const config::DistributorConfig &config) {
    return address<tcp::endpoint>(config.control, "control");
}

/// A distributor: watches the endpoint list and the configuration documents at its parents, and serves both
/// to its callers. Everything runs on the thread that calls run(); `config` must outlive this object.
class DistributorProcess {
public:
    DistributorProcess(const config::DistributorConfig &config, std::uint64_t seed)
        : config_(config), server_(io_, deadlines_, net::listen_at(io_, listen_address(config)),
                                   {config.limits, config.most_removed, config.most_callers}) {
        watch_endpoint_list(seed);
        if (!config.document_file.empty())
            load_documents();
        if (!config.document_parents.empty())
            watch_documents(seed);
        if (!config.control.empty())
            start_admin();
    }

    /// Serves until SIGTERM or SIGINT.
    void run(core::BlockedSignal &blocked_hangup) {
        core::log("distributor_started name={} listen={}", config_.name, config_.listen);
        await_reload_signal();
        blocked_hangup.unblock();
        asio::signal_set termination_signals(io_, SIGTERM, SIGINT);
        termination_signals.async_wait([&](const boost::system::error_code &error, int) {
            if (!error)
                io_.stop();
        });
        io_.run();
        core::log("process_ended");
    }

private:
    distribution::DistributorSelector make_selector(const std::vector<distribution::Distributor> &parents,
                                                    std::uint64_t seed) const {
        return {parents, config_.name, config_.locality, seed};
    }

    void watch_endpoint_list(std::uint64_t seed) {
        auto parents = make_selector(config_.parents, seed);
        const std::string first_parent = parents.current().address;
        endpoint_list_watch_.emplace(
            io_, deadlines_, list_distribution::shared_service(seed),
            source_address(first_parent, "parents.address"), discovery::kNoRevision,
            discovery::node_list(node_names_, zone_names_),
            [this](const discovery::ListResponse &response) { on_endpoint_list(response); });
        endpoint_list_watch_->use_distributors(std::move(parents));
    }

    /// The numbers assigned to names are used only while a response is decoded. All are discarded
    /// after each one, so that none are kept for nodes that have left the list.
    void on_endpoint_list(const discovery::ListResponse &response) {
        node_names_.forget_if([](std::uint32_t) { return true; });
        zone_names_.forget_if([](std::uint32_t) { return true; });
        publish(Channel::Nodes, list_distribution::to_update(response));
    }

    void watch_documents(std::uint64_t seed) {
        auto parents = make_selector(config_.document_parents, seed);
        const std::string first_parent = parents.current().address;
        discovery::WatchedResource documents{list_distribution::kDocumentsPath,
                                             list_distribution::decode_documents,
                                             [this] { return report_to_parent(); }};
        documents_watch_.emplace(io_, deadlines_, list_distribution::shared_service(seed),
                                 source_address(first_parent, "documents.parents.address"),
                                 discovery::kNoRevision, std::move(documents),
                                 [this](const discovery::ListResponse &response) {
                                     publish(Channel::Documents, list_distribution::to_update(response));
                                 });
        documents_watch_->use_distributors(std::move(parents));
    }

    std::string report_to_parent() const {
        const auto subtree = server_.reports().subtree(clock_.now());
        return encode_query(list_distribution::Report{config_.name, std::nullopt, subtree});
    }

    void publish(Channel channel, const distribution::Update &update) {
        if (server_.publish(channel, update) == distribution::UpdateResult::Stale)
            core::log("update_ignored revision={} reason=not_newer", update.revision);
    }

    /// Publishes the documents in the document file. Throws config::Error for an invalid file and publishes
    /// nothing then.
    void load_documents() {
        const config::DocumentFile file = config::load_documents(config_.document_file);
        const distribution::Revision current = server_.log(Channel::Documents).revision();
        if (file.version <= current)
            throw config::Error(fmt::format("field 'version': {} is not greater than {}, the current version",
                                            file.version, current));
        publish(Channel::Documents,
                {file.version,
                 true,
                 {list_distribution::document_member(config::kOperationsDocument, file.operations)}});
        core::log("documents_loaded version={}", file.version);
    }

    void await_reload_signal() {
        reload_signals_.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            reload_documents();
            await_reload_signal();
        });
    }

    /// Reloads the document file. After an error, the current documents stay published.
    void reload_documents() {
        try {
            if (!config_.document_file.empty())
                load_documents();
        } catch (const std::exception &error) {
            core::log("documents_rejected error=\"{}\"", error.what());
        }
    }

    void start_admin() {
        admin::Operations operations;
        operations.stats = [this] {
            return distributor_stats(server_, endpoint_list_watch_->metrics(), clock_.now());
        };
        operations.accepts_changes = [] { return true; };
        admin_.emplace(io_, deadlines_, net::listen_at(io_, admin_address(config_)), std::move(operations));
    }

    const config::DistributorConfig &config_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    ListServer server_;
    config::Names node_names_;
    config::Names zone_names_;
    std::optional<DiscoveryClient> endpoint_list_watch_;
    std::optional<DiscoveryClient> documents_watch_;
    std::optional<admin::AdminServer> admin_;
    asio::signal_set reload_signals_{io_, SIGHUP};
};

/// Raises the descriptor limit as far as the system allows, then reduces the configured number of callers to
/// what that limit supports, as each caller needs a descriptor.
void limit_callers_to_descriptors(config::DistributorConfig &config) {
    constexpr std::size_t kReservedDescriptors = 64; // listeners, parents, admin connections, the log
    rlimit files{};
    if (::getrlimit(RLIMIT_NOFILE, &files) != 0)
        return;
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    const std::size_t supported =
        std::max<std::size_t>(files.rlim_cur, 2 * kReservedDescriptors) - kReservedDescriptors;
    if (config.most_callers <= supported)
        return;
    core::log("most_callers_reduced configured={} supported={}", config.most_callers, supported);
    config.most_callers = supported;
}

/// Checks all addresses before any socket is opened. Throws config::Error.
void check_addresses(const config::DistributorConfig &config) {
    for (const auto &parent : config.parents)
        address<tcp::endpoint>(parent.address, "parents.address");
    for (const auto &parent : config.document_parents)
        address<tcp::endpoint>(parent.address, "documents.parents.address");
    listen_address(config);
    if (!config.control.empty())
        admin_address(config);
}

std::uint64_t random_seed() {
    std::random_device random;
    return static_cast<std::uint64_t>(random()) << 32 | random();
}

} // namespace

int distribute(const std::string &path, core::BlockedSignal &blocked_hangup) {
    config::DistributorConfig config = config::load_distributor(path);
    check_addresses(config);
    limit_callers_to_descriptors(config);
    // Never destroyed, because suspended coroutines in its io_context refer to its members (see Broker::run).
    auto *const process = new DistributorProcess(config, random_seed());
    process->run(blocked_hangup);
    std::fflush(nullptr);
    std::quick_exit(0);
}

} // namespace marblewood::app
