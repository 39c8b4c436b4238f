#include "discovery/list_relay.hpp"

namespace marblewood::discovery {

std::string encode(const RelayedList &list) {
    Json::Value response;
    response["revision"] = static_cast<Json::Int64>(list.response.revision);
    response["complete"] = list.response.update.kind != ListUpdate::Kind::Changes;
    response["members"] = list.response.members;
    Json::Value encoded;
    encoded["source"] = list.source;
    encoded["since"] = static_cast<Json::Int64>(list.since);
    encoded["response"] = std::move(response);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, encoded);
}

RelayedList decode_relayed_list(const std::string &text,
                                const std::function<ListResponse(Json::Value)> &decode_response) {
    const Json::Value encoded = config::parse(text);
    RelayedList list;
    list.source = config::need_text(encoded, "source");
    list.since = config::need_integer(encoded, "since");
    list.response = decode_response(config::need(encoded, "response"));
    return list;
}

} // namespace marblewood::discovery
