/// \file
/// Hot restart: a new process (the successor) takes over while the old one serves. The old one is called the
/// parent process here, though it does not fork the new one; seen from the successor it is the predecessor.
/// The parent process hands its state and
/// sockets, then its clients' connections, to a successor that is all set up; it keeps the requests that it
/// has accepted. If the successor ends, the parent serves again.
///
/// Both meet at a Unix socket in a directory that they share; only processes of the same user are believed.
/// Threads: all of it runs on the io_context's one thread.
#pragma once

#include "hot_restart/messages.hpp"

#include <functional>

namespace marblewood::hot_restart {

/// What a successor got from its parent process.
struct Takeover {
    ParentState parent;
    net::Descriptor channel; ///< on which the clients' connections follow
};

/// Asks the process that listens at `path` for its state. To be called before the event loop runs: it blocks,
/// for a bounded time. Empty where nobody answers, or not in a form that can be read: the caller then starts
/// alone.
std::optional<Takeover> request_takeover(const std::string &path);

/// What the process does at each step.
struct ProcessHooks {
    std::function<ParentState()> release_state; ///< stops accepting
    std::function<void()> hand_over_clients;    ///< begins to pass clients to send_client()
    std::function<void()> resume;               ///< the successor has ended: all is this process's again
    std::function<void(net::HandedOverClient client)>
        adopt_client; ///< a client of the parent, or one not handed over
    std::function<void()> parent_exited;
    /// Orders of operators, received by the successor.
    std::function<void(const std::string &id, bool cordoned)> set_cordoned;
    std::function<void(bool quiesced)> set_quiesced;
};

class HotRestart {
public:
    /// Listens at `path` for a successor from now on.
    HotRestart(asio::io_context &io, core::Deadlines &deadlines, std::string path, ProcessHooks hooks);

    /// Adopts the clients of the parent process, until it exits.
    void follow_parent(net::Descriptor channel);
    /// Hands a client's connection to the successor.
    void send_client(net::HandedOverClient client);
    /// Tells a parent process that still has requests what operators have ordered here.
    void forward_cordon(const std::string &id, bool cordoned);
    void forward_quiesce(bool quiesced);

    bool handed_over() const { return state_ == State::HandedOver; }
    /// Whether nothing waits to be sent to the successor.
    bool all_sent() const { return !successor_ || successor_->unsent().empty(); }

private:
    enum class State {
        Unavailable, ///< cannot listen for a successor
        Listening,
        HandedOver ///< a successor has the state
    };

    void listen();
    asio::awaitable<void> await_successor();
    /// Hands over, until the successor ends; false: it did not ask for the state.
    asio::awaitable<bool> serve(std::shared_ptr<PacketChannel> successor);
    asio::awaitable<bool> receive_request(PacketChannel &successor);
    void hand_over(const std::shared_ptr<PacketChannel> &successor);
    void take_back(PacketChannel &successor);
    void execute(const Packet &order);
    asio::awaitable<void> receive_clients(std::shared_ptr<PacketChannel> parent);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    const std::string path_;
    ProcessHooks hooks_;
    State state_ = State::Unavailable;
    std::optional<asio::posix::stream_descriptor> listener_;
    std::shared_ptr<PacketChannel> successor_;
    std::shared_ptr<PacketChannel> parent_;
};

} // namespace marblewood::hot_restart
