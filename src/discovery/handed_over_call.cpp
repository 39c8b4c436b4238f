#include "discovery/handed_over_call.hpp"

namespace marblewood::discovery {

// A line of JSON, and behind it what has been received, byte for byte.
std::string encode(const HandedOverCall &call) {
    Json::Value header;
    header["host"] = call.host;
    header["known_revision"] = static_cast<Json::Int64>(call.known_revision);
    header["complete"] = call.complete;
    header["deadline_us"] = static_cast<Json::Int64>(call.deadline);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, header) + "\n" + call.received;
}

HandedOverCall decode_handed_over_call(const std::string &text, net::Descriptor connection) {
    const std::size_t header_end = text.find('\n');
    if (header_end == std::string::npos)
        throw config::Error("a call without the end of its header");
    const Json::Value header = config::parse(text.substr(0, header_end));
    HandedOverCall call;
    call.host = config::need_text(header, "host");
    call.known_revision = config::need_integer(header, "known_revision");
    call.complete = config::flag_or(header, "complete", false);
    call.deadline = config::need_integer(header, "deadline_us");
    call.received = text.substr(header_end + 1);
    call.connection = std::move(connection);
    return call;
}

} // namespace marblewood::discovery
