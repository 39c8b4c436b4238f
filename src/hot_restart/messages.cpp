#include "hot_restart/messages.hpp"

#include "config/decode.hpp"

#include <cstdio>
#include <utility>

namespace marblewood::hot_restart {
namespace {

constexpr std::size_t kMaxTextBytes = std::size_t{16} << 20;

std::string to_compact_json(const Json::Value &value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

/// Divides a text into packets: all of type `part` but the last, which is of type `last`.
std::vector<Packet> encode_text(MessageType part, MessageType last, const std::string &text) {
    std::vector<Packet> packets;
    std::size_t offset = 0;
    for (; text.size() - offset >= kMaxPacketBytes; offset += kMaxPacketBytes - 1)
        packets.push_back(encode(part, text.substr(offset, kMaxPacketBytes - 1)));
    packets.push_back(encode(last, text.substr(offset)));
    return packets;
}

} // namespace

Packet encode(MessageType type, const std::string &text) {
    const bool is_bulk = type == MessageType::Client || type == MessageType::RequestId;
    return {static_cast<char>(type) + text, {}, is_bulk ? Priority::Bulk : Priority::Control};
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
    std::vector<Packet> packets =
        encode_text(MessageType::StatePart, MessageType::State, to_compact_json(state.state));
    packets.back().descriptors = std::move(descriptors);
    return packets;
}

std::vector<Packet> encode_list(const std::string &text) {
    return encode_text(MessageType::ListPart, MessageType::List, text);
}

std::optional<std::string> TextDecoder::add(const Packet &packet) {
    const MessageType type = type_of(packet);
    if (type != part_ && type != last_)
        throw MessageError("unexpected message");
    text_.append(packet.bytes, 1);
    if (text_.size() > kMaxTextBytes) {
        text_.clear();
        throw MessageError("text too large");
    }
    if (type == part_)
        return std::nullopt;
    return std::exchange(text_, {});
}

std::optional<ParentState> StateDecoder::add(Packet packet) {
    const auto text = text_.add(packet);
    if (!text)
        return std::nullopt;
    ParentState decoded;
    decoded.state = config::parse(*text);
    const Json::Value &names = config::need(decoded.state, "sockets");
    if (!names.isArray() || names.size() != packet.descriptors.size())
        throw MessageError("sockets do not match their names");
    for (Json::ArrayIndex n = 0; n < names.size(); ++n)
        decoded.sockets[names[n].asString()] = std::move(packet.descriptors[n]);
    return decoded;
}

} // namespace marblewood::hot_restart
