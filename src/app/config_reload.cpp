#include "app/config_reload.hpp"

#include "app/app.hpp"
#include "core/log.hpp"
#include "discovery/list_response.hpp"

namespace marblewood::app {

namespace {

using boost::asio::ip::tcp;

/// Checks that `known` can be decoded. The running process does not use it, as it has a newer list already.
void check_known_nodes(const config::Config &config) {
    if (config.known.isNull())
        return;
    config::Names nodes;
    config::Names zones;
    discovery::decode_node_list(config.known, nodes, zones);
}

/// Whether a change of this field is not worth a log line. `discovery` takes effect at once; `known` and
/// `seed` are used only at a start and may differ from one start to the next.
bool needs_no_restart(const std::string &field) {
    return field == "discovery" || field == "known" || field == "seed";
}

void log_changes_that_need_restart(const config::Config &reloaded, const config::Config &current) {
    for (const std::string &field : reloaded.file.getMemberNames()) {
        if (!needs_no_restart(field) && reloaded.file[field] != current.file[field])
            core::log("config_change_needs_restart field={}", field);
    }
}

} // namespace

bool reload_config(const std::string &path, config::Config &config,
                   const DiscoveryChanged &on_discovery_changed) {
    try {
        const config::Config reloaded = config::load(path);
        const auto discovery = address<tcp::endpoint>(reloaded.discovery, "discovery");
        address<tcp::endpoint>(reloaded.listen, "listen");
        check_known_nodes(reloaded);
        log_changes_that_need_restart(reloaded, config);
        core::log("config_reloaded discovery={}", reloaded.discovery);
        if (reloaded.discovery != config.discovery)
            on_discovery_changed(discovery, reloaded.discovery);
        config.discovery = reloaded.discovery;
        return true;
    } catch (const std::exception &error) {
        core::log("config_reload_failed error=\"{}\"", error.what());
        return false;
    }
}

} // namespace marblewood::app
