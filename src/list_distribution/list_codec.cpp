#include "list_distribution/list_codec.hpp"

#include <fmt/format.h>

namespace marblewood::list_distribution {
namespace {

using distribution::Phase;

const char *name_of(Phase phase) {
    switch (phase) {
    case Phase::Up:
        return "up";
    case Phase::Draining:
        return "draining";
    case Phase::Removed:
        break;
    }
    return "removed";
}

Phase phase_of(const std::string &name) {
    if (name == "up")
        return Phase::Up;
    return name == "draining" ? Phase::Draining : Phase::Removed;
}

std::string compact(const Json::Value &value) {
    static const Json::StreamWriterBuilder writer = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return builder;
    }();
    return Json::writeString(writer, value);
}

distribution::Member to_member(Json::Value row) {
    distribution::Member member;
    member.id = row["id"].asString();
    member.phase = phase_of(row["phase"].asString());
    member.shard = config::integer_or(row, "cell", 0);
    row.removeMember("phase");
    const std::string object = compact(row);
    member.text = object.substr(1, object.size() - 2); // without its braces
    return member;
}

} // namespace

distribution::Update to_update(const discovery::ListResponse &response) {
    distribution::Update update;
    update.revision = response.revision;
    update.complete = response.update.kind == ListUpdate::Kind::Full;
    for (const Json::Value &row : response.members)
        update.members.push_back(to_member(row));
    return update;
}

discovery::ListResponse decode_documents(Json::Value response) {
    discovery::ListResponse decoded = discovery::decode_envelope(response);
    for (const Json::Value &row : response["members"]) {
        config::need_text(row, "id");
        config::need_text(row, "phase");
        if (!config::need(row, "document").isObject())
            throw config::Error("field 'document' is not an object");
    }
    decoded.members = std::move(response["members"]);
    return decoded;
}

distribution::Member document_member(const std::string &id, const Json::Value &document) {
    Json::Value row;
    row["id"] = id;
    row["phase"] = name_of(Phase::Up);
    row["document"] = document;
    return to_member(std::move(row));
}

std::string encode(const distribution::Delta &delta) {
    std::string body =
        fmt::format(R"({{"revision":{},"complete":{},"members":[)", delta.revision, delta.complete);
    for (const distribution::Delta::Entry &entry : delta.entries) {
        if (body.back() == '}')
            body += ',';
        body += fmt::format(R"({{{},"phase":"{}"}})", entry.text, name_of(entry.phase));
    }
    return body + "]}";
}

} // namespace marblewood::list_distribution
