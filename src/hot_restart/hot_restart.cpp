#include "hot_restart/hot_restart.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sys/socket.h>
#include <sys/time.h>

namespace marblewood::hot_restart {
namespace {

/// Time limit for a connected process to send its request for the state.
constexpr Micros kRequestTimeout = 500'000;
constexpr std::size_t kMaxQueuedRequestIds = 256;
/// A process that takes no packets for so long that this many wait is told of no further lists.
constexpr std::ptrdiff_t kMaxQueuedControlPackets = 64;
/// Time limit for each packet of the state. A parent that is short of CPU time answers late, and a successor
/// that stopped waiting would have to exit, because the parent still holds the listening addresses. Waiting
/// does no harm, as the parent serves meanwhile.
constexpr timeval kStateTimeout{5, 0};

void set_timeouts(int socket) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &kStateTimeout, sizeof kStateTimeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &kStateTimeout, sizeof kStateTimeout);
}

/// Throws MessageError or config::Error.
ParentState receive_state(int socket) {
    StateDecoder decoder;
    while (auto packet = receive_packet(socket))
        if (auto state = decoder.add(std::move(*packet)))
            return std::move(*state);
    throw MessageError("did not receive the complete state");
}

} // namespace

std::optional<Takeover> request_takeover(const std::string &path) {
    net::Descriptor channel = connect_to(path);
    if (channel.get() < 0)
        return std::nullopt;
    set_timeouts(channel.get());
    if (!is_same_user(channel.get()) || !send_packet(channel.get(), encode(MessageType::Request)))
        return std::nullopt;
    try {
        return Takeover{receive_state(channel.get()), std::move(channel)};
    } catch (const std::exception &error) {
        core::log("hot_restart_state_rejected reason=\"{}\"", error.what());
        return std::nullopt;
    }
}

HotRestart::HotRestart(asio::io_context &io, core::Deadlines &deadlines, std::string path, ProcessHooks hooks)
    : io_(io), deadlines_(deadlines), path_(std::move(path)), hooks_(std::move(hooks)) {
    listen();
}

void HotRestart::listen() {
    net::Descriptor listener = listen_at(path_);
    if (listener.get() < 0) {
        state_ = State::Unavailable;
        core::log("hot_restart_listen_failed path={}", path_);
        return;
    }
    state_ = State::Listening;
    listener_.emplace(io_, listener.release());
    listener_->non_blocking(true);
    asio::co_spawn(io_, await_successor(), asio::detached);
}

asio::awaitable<void> HotRestart::await_successor() {
    while (state_ == State::Listening) {
        boost::system::error_code error;
        co_await listener_->async_wait(asio::posix::descriptor_base::wait_read,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        net::Descriptor peer(::accept4(listener_->native_handle(), nullptr, nullptr, SOCK_CLOEXEC));
        if (peer.get() < 0 || !is_same_user(peer.get()))
            continue;
        const bool was_successor =
            co_await serve_successor(std::make_shared<PacketChannel>(io_.get_executor(), std::move(peer)));
        if (was_successor)
            co_return; // listen() has already spawned another await_successor()
    }
}

asio::awaitable<bool> HotRestart::serve_successor(std::shared_ptr<PacketChannel> successor) {
    const bool requested = co_await receive_request(*successor);
    if (!requested)
        co_return false;
    hand_over(successor);
    while (const auto command = co_await successor->receive())
        execute_command(*command);
    resume_after_successor(*successor);
    co_return true;
}

asio::awaitable<bool> HotRestart::receive_request(PacketChannel &successor) {
    const auto timeout = deadlines_.in(kRequestTimeout, [&] { successor.close(); });
    const auto request = co_await successor.receive();
    co_return request && request->bytes == encode(MessageType::Request).bytes;
}

void HotRestart::hand_over(const std::shared_ptr<PacketChannel> &successor) {
    state_ = State::HandedOver;
    successor_ = successor;
    list_of_successor_ = TextDecoder(MessageType::ListPart, MessageType::List);
    listener_.reset(); // the successor listens at this path from now on
    for (Packet &packet : encode_state(hooks_.release_state()))
        successor->send(std::move(packet));
    core::log("hot_restart_handed_over");
    hooks_.hand_over_clients();
}

void HotRestart::resume_after_successor(PacketChannel &successor) {
    successor_ = nullptr;
    core::log("hot_restart_successor_lost action=resume");
    listen();
    hooks_.resume();
    for (Packet &packet : successor.unsent())
        if (auto client = decode_client(packet))
            hooks_.adopt_client(std::move(*client));
}

void HotRestart::execute_command(const Packet &command) {
    const std::string id = command.bytes.substr(1);
    switch (type_of(command)) {
    case MessageType::Cordon:
        return hooks_.set_cordoned(id, true);
    case MessageType::Uncordon:
        return hooks_.set_cordoned(id, false);
    case MessageType::Quiesce:
        return hooks_.set_quiesced(true);
    case MessageType::Resume:
        return hooks_.set_quiesced(false);
    case MessageType::RequestId:
        return hooks_.keep_request_id(id);
    case MessageType::Reload:
        return receive_reload(parent_);
    case MessageType::ListPart:
    case MessageType::List:
        return receive_list(list_of_successor_, command, parent_);
    default:
        return; // unknown message types are ignored
    }
}

void HotRestart::forward_cordon(const std::string &id, bool cordoned) {
    if (parent_)
        parent_->send(encode(cordoned ? MessageType::Cordon : MessageType::Uncordon, id));
}

void HotRestart::forward_quiesce(bool quiesced) {
    if (parent_)
        parent_->send(encode(quiesced ? MessageType::Quiesce : MessageType::Resume));
}

void HotRestart::forward_reload() {
    for (const auto &process : {successor_, parent_})
        if (process)
            process->send(encode(MessageType::Reload));
}

/// Reloads, and passes the message on to `next`, if there is one.
void HotRestart::receive_reload(const std::shared_ptr<PacketChannel> &next) {
    hooks_.reload();
    if (next)
        next->send(encode(MessageType::Reload));
}

void HotRestart::send_request_id(const std::string &id) {
    for (const auto &process : {successor_, parent_})
        if (process && process->unsent().size() < kMaxQueuedRequestIds)
            process->send(encode(MessageType::RequestId, id));
}

void HotRestart::send_list(const std::string &text) {
    for (const auto &process : {successor_, parent_})
        if (process)
            send_list_to(*process, text);
}

void HotRestart::send_list_to(PacketChannel &process, const std::string &text) {
    if (std::ranges::count(process.unsent(), Priority::Control, &Packet::priority) >
        kMaxQueuedControlPackets) {
        core::log("hot_restart_list_dropped reason=queue_full");
        return;
    }
    for (Packet &packet : encode_list(text))
        process.send(std::move(packet));
}

/// Adds a packet of a list. A complete list is applied and passed on to `next`, if there is one: with three
/// processes the middle one stands between the others.
void HotRestart::receive_list(TextDecoder &decoder, const Packet &packet,
                              const std::shared_ptr<PacketChannel> &next) {
    try {
        const auto text = decoder.add(packet);
        if (!text)
            return;
        hooks_.apply_list(*text);
        if (next)
            send_list_to(*next, *text);
    } catch (const MessageError &error) {
        core::log("hot_restart_list_rejected reason=\"{}\"", error.what());
    }
}

void HotRestart::send_discovery_call(const std::string &text, net::Descriptor connection) {
    if (!successor_)
        return;
    Packet packet = encode(MessageType::DiscoveryCall, text);
    if (packet.bytes.size() > kMaxPacketBytes) {
        core::log("hot_restart_discovery_call_dropped reason=too_long bytes={}", packet.bytes.size());
        return;
    }
    packet.descriptors.push_back(std::move(connection));
    successor_->send(std::move(packet));
}

void HotRestart::send_client(net::HandedOverClient client) {
    if (successor_)
        successor_->send(encode_client(std::move(client)));
}

void HotRestart::follow_parent(net::Descriptor channel) {
    parent_ = std::make_shared<PacketChannel>(io_.get_executor(), std::move(channel));
    asio::co_spawn(io_, receive_clients(parent_), asio::detached);
}

asio::awaitable<void> HotRestart::receive_clients(std::shared_ptr<PacketChannel> parent) {
    while (auto packet = co_await parent->receive()) {
        const MessageType type = type_of(*packet);
        if (type == MessageType::RequestId)
            hooks_.keep_request_id(packet->bytes.substr(1));
        else if (type == MessageType::ListPart || type == MessageType::List)
            receive_list(list_of_parent_, *packet, successor_);
        else if (type == MessageType::Reload)
            receive_reload(successor_);
        else if (type == MessageType::DiscoveryCall && packet->descriptors.size() == 1)
            hooks_.adopt_discovery_call(packet->bytes.substr(1), std::move(packet->descriptors.front()));
        else if (auto client = decode_client(*packet))
            hooks_.adopt_client(std::move(*client));
    }
    core::log("hot_restart_parent_exited");
    parent_ = nullptr;
    hooks_.parent_exited();
}

} // namespace marblewood::hot_restart
