#include "app/predecessor.hpp"

#include "config/config.hpp"
#include "core/log.hpp"

#include <cstdlib>

namespace marblewood::app {

std::string handover_path() {
    const char *const folder = std::getenv("TMPDIR");
    return folder && *folder ? std::string(folder) + "/marblewood.handover" : "";
}

Predecessor::Predecessor(const std::string &path) {
    if (!path.empty())
        takeover_ = hot_restart::request_takeover(path);
}

void Predecessor::continue_clock(core::Clock &clock) const {
    if (!takeover_)
        return;
    const Json::Value &now = std::as_const(takeover_->parent.state)["now_us"];
    if (now.isInt64() && now.asInt64() > 0)
        clock.continue_from(now.asInt64());
}

net::Descriptor Predecessor::take_socket(const std::string &name) {
    if (!is_present())
        return net::Descriptor();
    const auto socket = takeover_->parent.sockets.find(name);
    return socket == takeover_->parent.sockets.end() ? net::Descriptor() : std::move(socket->second);
}

void Predecessor::restore(net::EndpointRegistry &endpoints, QuiesceState &quiesce, const core::Clock &clock) {
    if (!takeover_)
        return;
    try {
        const Json::Value &state = takeover_->parent.state;
        endpoints.restore(config::need(state, "fleet"));
        core::log("handover_state_restored list_revision={}", endpoints.revision());
        quiesce.active = config::flag_or(state, "quiesced", false);
        quiesce.since = clock.now() - config::integer_or(state, "quiesced_us", 0);
    } catch (const config::Error &error) {
        core::log("handover_state_rejected error=\"{}\"", error.what());
        takeover_->channel = net::Descriptor();
    }
}

void Predecessor::restore(net::resp::RequestIds &ids) const {
    if (!is_present())
        return;
    for (const Json::Value &id : std::as_const(takeover_->parent.state)["request_ids"])
        if (id.isString())
            ids.keep(id.asString());
}

std::string Predecessor::list_source() const {
    return config::text_or(takeover_->parent.state, "list_source", "");
}

std::string Predecessor::configured_discovery() const {
    return config::text_or(takeover_->parent.state, "discovery", "");
}

int Predecessor::client_count() const {
    return static_cast<int>(config::integer_or(takeover_->parent.state, "clients", 0));
}

} // namespace marblewood::app
