/// \file
/// Encoding of the messages of a hot restart. The format is fixed, because processes of different versions
/// exchange these messages (see tests/fixtures/hot_restart/).
#pragma once

#include "hot_restart/packet_channel.hpp"
#include "net/clients.hpp"

#include <json/json.h>
#include <map>
#include <stdexcept>

namespace marblewood::hot_restart {

/// The type of a message, sent as the first byte of its packet.
enum class MessageType : char {
    Request = 'T',   ///< from the successor: requests the state
    StatePart = 'P', ///< from the parent: a part of the state, but not the last one
    State = 'S',     ///< from the parent: the last part of the state, with the sockets
    Client = 'C',    ///< from the parent: a client connection
    Cordon = 'D',    ///< from the successor: an operator has cordoned a node
    Uncordon = 'U',  ///< from the successor: an operator has uncordoned a node
    Quiesce = 'Q',   ///< from the successor: an operator has quiesced the broker
    Resume = 'R',    ///< from the successor: an operator has ended the quiesce
    RequestId = 'I', ///< from either: the id of a request that it has taken
    Reload = 'H',    ///< from either: the configuration file has to be read again
    ListPart = 'M',  ///< from either: a part of a list, but not the last one
    DiscoveryCall =
        'W',   ///< from the parent: a call to discovery that is not answered yet, with its connection
    List = 'L' ///< from either: the last part of a list that discovery has told it of
};

/// Thrown for a malformed message; the text describes the error.
struct MessageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// What a parent process hands over: its state, and its listening and UDP sockets by name.
struct ParentState {
    Json::Value state;
    std::map<std::string, net::Descriptor> sockets;
};

inline MessageType type_of(const Packet &packet) {
    return static_cast<MessageType>(packet.bytes.front());
}

Packet encode(MessageType type, const std::string &text = "");
Packet encode_client(net::HandedOverClient client);
/// Decodes a client connection; empty if the packet is not a well-formed Client message.
std::optional<net::HandedOverClient> decode_client(Packet &packet);

/// Encodes a state as a sequence of packets.
std::vector<Packet> encode_state(ParentState state);

/// Encodes a list as a sequence of packets. `text` is what the discovery client relays.
std::vector<Packet> encode_list(const std::string &text);

/// Joins a text from its sequence of packets.
class TextDecoder {
public:
    /// Decodes packets of type `part`, and `last` for the last of a text.
    TextDecoder(MessageType part, MessageType last) : part_(part), last_(last) {}
    /// Adds a packet. Returns the text after the last packet, nothing before. Throws MessageError for an
    /// invalid packet, after which the next one begins a new text.
    std::optional<std::string> add(const Packet &packet);

private:
    MessageType part_;
    MessageType last_;
    std::string text_;
};

/// Decodes a state from its sequence of packets.
class StateDecoder {
public:
    /// Adds a packet. Returns the state after the last packet, nothing before. Throws MessageError for an
    /// invalid packet and config::Error for invalid JSON.
    std::optional<ParentState> add(Packet packet);

private:
    TextDecoder text_{MessageType::StatePart, MessageType::State};
};

} // namespace marblewood::hot_restart
