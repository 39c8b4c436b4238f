/// \file
/// Holds messages back until the states saved before them are durable.
#pragma once

#include "net/link/peer_transport.hpp"
#include "net/link/state_file.hpp"

namespace marblewood::net::link {

/// Runs on the I/O context's thread of the transport and the file; not thread-safe. Both must outlive it.
class Outbox {
public:
    static constexpr std::size_t kMaxHeldMessages = 8192; ///< Above this, the oldest is dropped.

    Outbox(PeerTransport &transport, StateFile &file);

    /// Saves a state. Messages posted later are sent only once it is durable.
    void save(std::string state);
    /// Sends a message once all states saved earlier are durable.
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
