#include "hot_restart/messages.hpp"

#include "config/decode.hpp"

#include <cstdio>

namespace marblewood::hot_restart {
namespace {

constexpr std::size_t kMaxStateBytes = std::size_t{16} << 20;

std::string to_compact_json(const Json::Value &value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

} // namespace

Packet encode(MessageType type, const std::string &text) {
    return {static_cast<char>(type) + text, {}};
}

Packet encode_client(net::HandedOverClient client) {
    Packet packet =
        encode(MessageType::Client, fmt::format("{} {:d} {} ", client.front, client.asked, client.since));
    packet.bytes += client.bytes;
    packet.descriptors.push_back(std::move(client.descriptor));
    return packet;
}

std::optional<net::HandedOverClient> decode_client(Packet &packet) {
    if (packet.descriptors.size() != 1 || type_of(packet) != MessageType::Client)
        return std::nullopt;
    int asked = 0;
    int header_bytes = 0;
    long long since = 0;
    char front[16] = {};
    const int fields_parsed =
        std::sscanf(packet.bytes.c_str() + 1, "%15s %d %lld%n", front, &asked, &since, &header_bytes);
    const std::size_t body_offset =
        static_cast<std::size_t>(header_bytes) + 2; // after the type byte and the space that ends the header
    if (fields_parsed != 3 || packet.bytes.size() < body_offset)
        return std::nullopt;
    net::HandedOverClient client;
    client.front = front;
    client.asked = asked != 0;
    client.since = since;
    client.bytes = packet.bytes.substr(body_offset);
    client.descriptor = std::move(packet.descriptors.front());
    return client;
}

std::vector<Packet> encode_state(ParentState state) {
    std::vector<net::Descriptor> descriptors;
    for (auto &[name, socket] : state.sockets) {
        state.state["sockets"].append(name);
        descriptors.push_back(std::move(socket));
    }
    const std::string text = to_compact_json(state.state);
    std::vector<Packet> packets;
    std::size_t offset = 0;
    for (; text.size() - offset >= kMaxPacketBytes; offset += kMaxPacketBytes - 1)
        packets.push_back(encode(MessageType::StatePart, text.substr(offset, kMaxPacketBytes - 1)));
    packets.push_back(encode(MessageType::State, text.substr(offset)));
    packets.back().descriptors = std::move(descriptors);
    return packets;
}

std::optional<ParentState> StateDecoder::add(Packet packet) {
    const MessageType type = type_of(packet);
    if (type != MessageType::StatePart && type != MessageType::State)
        throw MessageError("unexpected message");
    text_.append(packet.bytes, 1);
    if (text_.size() > kMaxStateBytes)
        throw MessageError("state too large");
    if (type == MessageType::StatePart)
        return std::nullopt;
    ParentState decoded;
    decoded.state = config::parse(text_);
    const Json::Value &names = config::need(decoded.state, "sockets");
    if (!names.isArray() || names.size() != packet.descriptors.size())
        throw MessageError("sockets do not match their names");
    for (Json::ArrayIndex n = 0; n < names.size(); ++n)
        decoded.sockets[names[n].asString()] = std::move(packet.descriptors[n]);
    return decoded;
}

} // namespace marblewood::hot_restart
