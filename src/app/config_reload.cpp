#include "app/config_reload.hpp"

#include "app/app.hpp"
#include "core/log.hpp"
#include "discovery/list_response.hpp"

namespace marblewood::app {

namespace {

using boost::asio::ip::tcp;

/// `known` must be readable, although the running process has a newer list already.
void check_known_nodes(const config::Config &config) {
    if (config.known.isNull())
        return;
    config::Names nodes;
    config::Names zones;
    discovery::decode_node_list(config.known, nodes, zones);
}

/// `discovery` moves at once; `known` and `seed` matter only at a start and may differ from one to the next.
bool may_change_without_notice(const std::string &field) {
    return field == "discovery" || field == "known" || field == "seed";
}

void log_fields_that_need_restart(const config::Config &fresh, const config::Config &current) {
    for (const std::string &field : fresh.file.getMemberNames()) {
        if (!may_change_without_notice(field) && fresh.file[field] != current.file[field])
            core::log("config_change_needs_restart field={}", field);
    }
}

} // namespace

void reload_config(const std::string &path, config::Config &config, core::Metrics &metrics,
                   const DiscoveryMoved &on_discovery_moved) {
    try {
        const config::Config fresh = config::load(path);
        const auto discovery = address<tcp::endpoint>(fresh.discovery, "discovery");
        address<tcp::endpoint>(fresh.listen, "listen");
        check_known_nodes(fresh);
        log_fields_that_need_restart(fresh, config);
        core::log("config_reloaded discovery={}", fresh.discovery);
        if (fresh.discovery != config.discovery)
            on_discovery_moved(discovery, fresh.discovery);
        config.discovery = fresh.discovery;
        ++metrics.reloads;
    } catch (const std::exception &error) {
        ++metrics.reloads_failed;
        core::log("config_reload_failed error=\"{}\"", error.what());
    }
}

} // namespace marblewood::app
