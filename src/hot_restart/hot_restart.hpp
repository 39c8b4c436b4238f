/// \file
/// Hot restart: a new process (the successor) takes over while the old one keeps serving. The old process is
/// called the parent process here, although it does not fork the new one; on the
/// successor's side (src/app/) it is called the predecessor. The parent hands its state and sockets, and then
/// its client connections, to the successor. It keeps the requests that it has already accepted. If the
/// successor exits, the parent serves normally again.
///
/// The processes connect through a Unix socket in a directory that they share. Each accepts only a process of
/// the same user. Threads: everything runs on the io_context's single thread.
#pragma once

#include "hot_restart/messages.hpp"

#include <functional>

namespace marblewood::hot_restart {

/// What a successor has received from its parent process.
struct Takeover {
    ParentState parent;
    net::Descriptor channel; ///< the connection over which the client connections follow
};

/// Requests the state of the process that listens at `path`. Blocks for a bounded time, so it has to be
/// called before the event loop runs. Returns nothing if no process answers or its answer is malformed; the
/// caller then starts without a predecessor.
std::optional<Takeover> request_takeover(const std::string &path);

/// Functions of the process that the hot restart calls at each step.
struct ProcessHooks {
    std::function<ParentState()> release_state; ///< stops accepting, returns what to hand over
    std::function<void()> hand_over_clients;    ///< starts to pass client connections to send_client()
    std::function<void()> resume;               ///< the successor has exited: serve normally again
    std::function<void(net::HandedOverClient client)> adopt_client; ///< from the parent, or returned unsent
    std::function<void()> parent_exited;
    /// Operator commands that the successor has received and forwarded.
    std::function<void(const std::string &id, bool cordoned)> set_cordoned;
    std::function<void(bool quiesced)> set_quiesced;
    std::function<void()> reload; ///< the configuration, as the other process has been told to
    std::function<void(const std::string &id)> keep_request_id; ///< of a request that the other process has
    std::function<void(const std::string &text)> apply_list;    ///< that the other process has been told of
    /// Continues a call to discovery that the parent had begun.
    std::function<void(const std::string &text, net::Descriptor connection)> adopt_discovery_call;
};

/// Both sides of a hot restart: hands over to a successor, and takes over the clients of a parent process.
class HotRestart {
public:
    /// Starts to listen for a successor at `path`.
    HotRestart(asio::io_context &io, core::Deadlines &deadlines, std::string path, ProcessHooks hooks);

    /// Starts to adopt client connections that the parent process sends over `channel`, until it exits.
    void follow_parent(net::Descriptor channel);
    /// Sends a client connection to the successor.
    void send_client(net::HandedOverClient client);
    /// Forwards an operator command to the parent process, if it is still running.
    void forward_cordon(const std::string &id, bool cordoned);
    void forward_quiesce(bool quiesced);
    /// Has the other processes, successor and parent, reload their configuration.
    void forward_reload();
    /// Tells the other processes, successor and parent, the id of a request that this one has taken. An id
    /// is left out while kMaxQueuedRequestIds packets wait, as in a flood of requests.
    void send_request_id(const std::string &id);

    /// Tells the other processes, successor and parent, of a list that discovery has told this one of.
    void send_list(const std::string &text);

    /// Sends a call to discovery that is not answered yet to the successor.
    void send_discovery_call(const std::string &text, net::Descriptor connection);

    /// Whether another process serves the same broker.
    bool has_other_process() const { return successor_ || parent_; }
    bool handed_over() const { return state_ == State::HandedOver; }
    /// Whether nothing is queued for sending to the successor.
    bool all_sent() const { return !successor_ || successor_->unsent().empty(); }

private:
    enum class State {
        Unavailable, ///< cannot listen for a successor
        Listening,
        HandedOver ///< a successor has received the state
    };

    void listen();
    asio::awaitable<void> await_successor();
    /// Hands over to a successor and returns once it has exited. Returns false if the peer did not request
    /// the state.
    asio::awaitable<bool> serve_successor(std::shared_ptr<PacketChannel> successor);
    asio::awaitable<bool> receive_request(PacketChannel &successor);
    void hand_over(const std::shared_ptr<PacketChannel> &successor);
    void resume_after_successor(PacketChannel &successor);
    void execute_command(const Packet &command);
    void receive_reload(const std::shared_ptr<PacketChannel> &next);
    void receive_list(TextDecoder &decoder, const Packet &packet, const std::shared_ptr<PacketChannel> &next);
    static void send_list_to(PacketChannel &process, const std::string &text);
    asio::awaitable<void> receive_clients(std::shared_ptr<PacketChannel> parent);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    const std::string path_;
    ProcessHooks hooks_;
    State state_ = State::Unavailable;
    std::optional<asio::posix::stream_descriptor> listener_;
    std::shared_ptr<PacketChannel> successor_;
    std::shared_ptr<PacketChannel> parent_;
    TextDecoder list_of_successor_{MessageType::ListPart, MessageType::List};
    TextDecoder list_of_parent_{MessageType::ListPart, MessageType::List};
};

} // namespace marblewood::hot_restart
