/// \file
/// Holds messages back until the state that they speak of is durable.
#pragma once

#include "net/link/peer_transport.hpp"
#include "net/link/state_file.hpp"

namespace marblewood::net::link {

/// Runs on the loop of both; not thread-safe. The transport and the file must outlive it.
class Outbox {
public:
    static constexpr std::size_t kMaxHeldMessages = 8192; ///< Beyond, the oldest is dropped.

    Outbox(PeerTransport &transport, StateFile &file);

    /// Saves a state; messages posted from now on wait for it.
    void save(std::string state);
    /// Sends a message once every state saved before is durable.
    void post(std::string peer, FrameBody body);

private:
    struct HeldMessage {
        std::uint64_t required_state;
        std::string peer;
        FrameBody body;
    };
    void send_ready();

    PeerTransport &transport_;
    StateFile &file_;
    std::uint64_t newest_state_ = 0;
    std::deque<HeldMessage> held_;
};

} // namespace marblewood::net::link
