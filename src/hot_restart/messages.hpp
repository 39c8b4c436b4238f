/// \file
/// The messages of a hot restart. Their bytes are fixed: processes of different versions exchange them
/// (tests/fixtures/hot_restart/).
#pragma once

#include "hot_restart/packet_channel.hpp"
#include "net/clients.hpp"

#include <json/json.h>
#include <map>
#include <stdexcept>

namespace marblewood::hot_restart {

/// What a packet is: its first byte.
enum class MessageType : char {
    Request = 'T',   ///< successor: asks for the state
    StatePart = 'P', ///< parent: a part of the state
    State = 'S',     ///< parent: the last part, with the sockets
    Client = 'C',    ///< parent: a client's connection
    Cordon = 'D',    ///< successor: an operator has cordoned a node
    Uncordon = 'U',  ///< successor: an operator has put it back
    Quiesce = 'Q',   ///< successor: operators send clients away
    Resume = 'R'     ///< successor: clients are taken again
};

/// A message that does not have the form above; the text says what is wrong.
struct MessageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// What a parent process leaves: its state, and its listening and UDP sockets by their names.
struct ParentState {
    Json::Value state;
    std::map<std::string, net::Descriptor> sockets;
};

inline MessageType type_of(const Packet &packet) {
    return static_cast<MessageType>(packet.bytes.front());
}

Packet encode(MessageType type, const std::string &text = "");
Packet encode_client(net::HandedOverClient client);
/// Empty where the packet is no such message.
std::optional<net::HandedOverClient> decode_client(Packet &packet);

/// The packets that carry a state, in their order.
std::vector<Packet> encode_state(ParentState state);

/// Joins the packets of a state.
class StateDecoder {
public:
    /// Adds a packet; the state, once complete. Throws MessageError, or config::Error for its JSON.
    std::optional<ParentState> add(Packet packet);

private:
    std::string text_;
};

} // namespace marblewood::hot_restart
