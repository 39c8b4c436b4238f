#include "net/lists/codec.hpp"

#include <charconv>
#include <fmt/format.h>

namespace marblewood::net::lists {

namespace dist = marblewood::distribution;

namespace {

constexpr std::string_view kPath = "/v1/servers";

const char *word(dist::Phase phase) {
    switch (phase) {
    case dist::Phase::Up:
        return "up";
    case dist::Phase::Draining:
        return "draining";
    case dist::Phase::Removed:
        break;
    }
    return "removed";
}

dist::Phase phase(const std::string &text) {
    if (text == "up") return dist::Phase::Up;
    return text == "draining" ? dist::Phase::Draining : dist::Phase::Removed;
}

std::string compact(const Json::Value &value) {
    static const Json::StreamWriterBuilder writer = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return builder;
    }();
    return Json::writeString(writer, value);
}

dist::Member to_member(Json::Value row) {
    dist::Member member;
    member.id = row["id"].asString();
    member.phase = phase(row["phase"].asString());
    row.removeMember("phase");
    const std::string object = compact(row);
    member.text = object.substr(1, object.size() - 2); // without its braces
    return member;
}

std::int64_t number(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || value < 0)
        throw std::runtime_error("not a number");
    return value;
}

} // namespace

dist::Update to_update(const discovery::Reading &reading) {
    dist::Update update;
    update.revision = reading.revision;
    update.complete = reading.update.kind == ListUpdate::Kind::Full;
    for (const Json::Value &row : reading.members) update.members.push_back(to_member(row));
    return update;
}

std::string spell(const dist::Delta &delta) {
    std::string out =
        fmt::format(R"({{"revision":{},"complete":{},"members":[)", delta.revision, delta.complete);
    for (const dist::Delta::Entry &entry : delta.entries) {
        if (out.back() == '}') out += ',';
        out += fmt::format(R"({{{},"phase":"{}"}})", entry.text, word(entry.phase));
    }
    return out + "]}";
}

std::optional<Call> read_call(std::string_view target) {
    const std::size_t question = target.find('?');
    if (target.substr(0, question) != kPath) return std::nullopt;
    Call call;
    std::string_view rest = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        if (item.starts_with("since="))
            call.since = number(item.substr(6));
        else if (item.starts_with("timeout_ms="))
            call.wait = std::min(number(item.substr(11)), kLongestWait / 1000) * 1000;
    }
    return call;
}

} // namespace marblewood::net::lists
