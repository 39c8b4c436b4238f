#include "app/process_handover.hpp"

#include "core/log.hpp"
#include "core/memory_usage.hpp"

#include <unistd.h>

namespace marblewood::app {
namespace {

constexpr Micros kTrimInterval = 20'000;
constexpr std::size_t kClientsPerTrim = 32;

} // namespace

ProcessHandover::ProcessHandover(const std::string &path, Parts parts, OperatorActions actions)
    : parts_(parts), actions_(std::move(actions)) {
    if (!path.empty())
        hot_restart_.emplace(parts_.io, parts_.deadlines, path, hooks());
}

hot_restart::ProcessHooks ProcessHandover::hooks() {
    hot_restart::ProcessHooks hooks;
    hooks.release_state = [this] { return release_state(); };
    hooks.hand_over_clients = [this] { hand_over_clients(); };
    hooks.resume = [this] { resume(); };
    hooks.adopt_client = [this](net::HandedOverClient client) {
        parts_.clients.resp().adopt(std::move(client));
    };
    hooks.parent_exited = [this] {
        share_limits(false, 0);
        share_request_ids(hot_restart_->handed_over());
    };
    hooks.set_cordoned = actions_.cordon;
    hooks.set_quiesced = actions_.quiesce;
    hooks.reload = actions_.reload;
    hooks.apply_list = [this](const std::string &text) {
        if (parts_.discovery)
            parts_.discovery->apply_relayed(text);
    };
    hooks.adopt_discovery_call = [this](const std::string &text, net::Descriptor connection) {
        adopt_discovery_call(text, std::move(connection));
    };
    hooks.keep_request_id = [this](const std::string &id) { parts_.clients.request_ids().keep(id); };
    return hooks;
}

void ProcessHandover::take_over(Predecessor &predecessor) {
    share_limits(true, predecessor.client_count());
    share_request_ids(true);
    hot_restart_->follow_parent(predecessor.take_channel());
    core::log("handover_from_predecessor_started");
}

void ProcessHandover::forward_cordon_to_predecessor(const std::string &node, bool cordoned) {
    if (hot_restart_)
        hot_restart_->forward_cordon(node, cordoned);
}

void ProcessHandover::forward_quiesce_to_predecessor(bool active) {
    if (hot_restart_)
        hot_restart_->forward_quiesce(active);
}

void ProcessHandover::forward_reload() {
    if (hot_restart_)
        hot_restart_->forward_reload();
}

void ProcessHandover::relay_list(const discovery::RelayedList &list) {
    if (hot_restart_ && hot_restart_->has_other_process())
        hot_restart_->send_list(discovery::encode(list));
}

void ProcessHandover::hand_over_discovery_calls() {
    if (!has_successor() || !parts_.discovery)
        return;
    for (discovery::HandedOverCall &call : parts_.discovery->release_calls()) {
        core::log("discovery_call_handed_over address={} since={}", call.host, call.known_revision);
        hot_restart_->send_discovery_call(discovery::encode(call), std::move(call.connection));
    }
}

void ProcessHandover::adopt_discovery_call(const std::string &text, net::Descriptor connection) {
    if (!parts_.discovery)
        return;
    try {
        parts_.discovery->adopt_call(discovery::decode_handed_over_call(text, std::move(connection)));
    } catch (const config::Error &error) {
        core::log("discovery_call_rejected reason=\"{}\"", error.what());
    }
}

/// Stops accepting connections and receiving from peers, and returns the state and sockets for the successor.
/// From then on only requests already accepted are sent to nodes.
hot_restart::ParentState ProcessHandover::release_state() {
    parts_.clients.pause_accepting();
    if (parts_.peers)
        parts_.peers->stop_receiving();
    hot_restart::ParentState released;
    released.state = state_for_successor();
    const auto add_socket = [&](const char *name, int socket) {
        released.sockets[name] = net::Descriptor(::dup(socket));
    };
    add_socket("clients", parts_.clients.resp().listener());
    if (net::Clients *const nvme = parts_.clients.nvme())
        add_socket("nvme", nvme->listener());
    if (parts_.peers)
        add_socket("peers", parts_.peers->descriptor());
    parts_.endpoints.drain_for_successor(true);
    core::log("handover_state_released list_revision={} open_requests={}", parts_.endpoints.revision(),
              parts_.endpoints.open_requests());
    share_limits(true, 0);
    share_request_ids(true);
    return released;
}

Json::Value ProcessHandover::state_for_successor() const {
    const Micros now = parts_.deadlines.clock.now();
    const auto quiesced_since = parts_.quiesce.active_since();
    Json::Value state;
    state["now_us"] = static_cast<Json::Int64>(now);
    state["quiesced"] = parts_.quiesce.active;
    state["quiesced_us"] = static_cast<Json::Int64>(quiesced_since ? now - *quiesced_since : 0);
    state["clients"] = parts_.sockets.clients();
    state["fleet"] = parts_.endpoints.handover_state();
    state["discovery"] = parts_.config.discovery;
    state["list_source"] = parts_.discovery ? parts_.discovery->list_source() : "";
    state["request_ids"] = Json::arrayValue;
    for (const std::string &id : parts_.clients.request_ids().all())
        state["request_ids"].append(id);
    return state;
}

void ProcessHandover::hand_over_clients() {
    parts_.clients.resp().hand_over([this](net::HandedOverClient client) {
        hot_restart_->send_client(std::move(client));
        if (++clients_sent_ % kClientsPerTrim == 0)
            core::trim_heap(); // the successor takes as much for them
    });
}

/// Serves normally again after the successor has exited.
void ProcessHandover::resume() {
    parts_.clients.resp().hand_over(nullptr);
    parts_.endpoints.drain_for_successor(false);
    share_limits(false, 0);
    share_request_ids(false);
    parts_.clients.resume_accepting();
    if (parts_.peers)
        parts_.peers->start_receiving();
}

/// Tells the other process of each request that this one takes, so that none runs at both.
void ProcessHandover::share_request_ids(bool shared) {
    parts_.clients.request_ids().on_opened = nullptr;
    if (shared)
        parts_.clients.request_ids().on_opened = [this](const std::string &id) {
            hot_restart_->send_request_id(id);
        };
}

/// Divides the limits on sockets and memory between two processes while both serve.
void ProcessHandover::share_limits(bool shared, int clients_elsewhere) {
    parts_.sockets.share(shared, clients_elsewhere);
    parts_.memory.set_shared(shared);
    trim_timer_.reset();
    if (shared)
        trim_heap();
}

/// Gives freed memory back again and again while both processes serve: each has only half of the limit.
void ProcessHandover::trim_heap() {
    core::trim_heap();
    trim_timer_ = parts_.deadlines.in(kTrimInterval, [this] { trim_heap(); });
}

} // namespace marblewood::app
