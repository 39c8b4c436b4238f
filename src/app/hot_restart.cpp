#include "app/hot_restart.hpp"

#include "core/log.hpp"

#include <unistd.h>

namespace marblewood::app {

HotRestart::HotRestart(const std::string &path, Parts parts, OperatorActions actions)
    : parts_(parts), actions_(std::move(actions)) {
    if (!path.empty())
        handover_.emplace(parts_.io, parts_.deadlines, path, callbacks());
}

net::handover::Handover::Program HotRestart::callbacks() {
    net::handover::Handover::Program callbacks;
    callbacks.yield = [this] { return yield_to_successor(); };
    callbacks.pass = [this] { pass_clients_on(); };
    callbacks.recover = [this] { serve_again(); };
    callbacks.adopt = [this](net::Passed client) { parts_.clients.resp().adopt(std::move(client)); };
    callbacks.alone = [this] { share_limits(false, 0); };
    callbacks.cordon = actions_.cordon;
    callbacks.quiesce = actions_.quiesce;
    return callbacks;
}

void HotRestart::take_over(Predecessor &predecessor) {
    share_limits(true, predecessor.client_count());
    handover_->follow(predecessor.take_channel());
    core::log("handover_from_predecessor_started");
}

void HotRestart::tell_predecessor_cordon(const std::string &node, bool cordoned) {
    if (handover_)
        handover_->tell_predecessor(node, cordoned);
}

void HotRestart::tell_predecessor_quiesce(bool active) {
    if (handover_)
        handover_->tell_predecessor_quiesce(active);
}

/// Accepts no more, and sends only what it has already accepted.
net::handover::Inheritance HotRestart::yield_to_successor() {
    parts_.clients.pause_accepting();
    if (parts_.peers)
        parts_.peers->listen(false);
    net::handover::Inheritance inheritance;
    inheritance.state = state_for_successor();
    const auto leave_socket = [&](const char *name, int socket) {
        inheritance.sockets[name] = net::Descriptor(::dup(socket));
    };
    leave_socket("clients", parts_.clients.resp().listener());
    if (net::Clients *const nvme = parts_.clients.nvme())
        leave_socket("nvme", nvme->listener());
    if (parts_.peers)
        leave_socket("peers", parts_.peers->descriptor());
    parts_.endpoints.retire(true);
    share_limits(true, 0);
    return inheritance;
}

Json::Value HotRestart::state_for_successor() const {
    const Micros now = parts_.deadlines.clock.now();
    const auto quiesced_since = parts_.quiesce.active_since();
    Json::Value state;
    state["now_us"] = static_cast<Json::Int64>(now);
    state["quiesced"] = parts_.quiesce.active;
    state["quiesced_us"] = static_cast<Json::Int64>(quiesced_since ? now - *quiesced_since : 0);
    state["clients"] = parts_.sockets.clients();
    state["fleet"] = parts_.endpoints.state();
    return state;
}

void HotRestart::pass_clients_on() {
    parts_.clients.resp().hand_over([this](net::Passed client) { handover_->client(std::move(client)); });
}

/// The successor has gone.
void HotRestart::serve_again() {
    parts_.clients.resp().hand_over(nullptr);
    parts_.endpoints.retire(false);
    share_limits(false, 0);
    parts_.clients.resume_accepting();
    if (parts_.peers)
        parts_.peers->listen(true);
}

/// While two processes serve, each has its part of the limits on sockets and memory.
void HotRestart::share_limits(bool shared, int clients_elsewhere) {
    parts_.sockets.share(shared, clients_elsewhere);
    parts_.memory.set_shared(shared);
}

} // namespace marblewood::app
