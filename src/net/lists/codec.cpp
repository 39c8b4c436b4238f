#include "net/lists/codec.hpp"

#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace marblewood::net::lists {

namespace dist = marblewood::distribution;

namespace {

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
    if (text == "up")
        return dist::Phase::Up;
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
    member.shard = config::integer_or(row, "cell", 0);
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

// A name as it may stand in a call.
std::string safe(std::string name) {
    constexpr std::size_t kLongest = 64;
    if (name.size() > kLongest)
        name.resize(kLongest);
    for (char &c : name)
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '.')
            c = '_';
    return name;
}

// "A:1,B:2": calls `take` with each pair; throws std::runtime_error where it is malformed.
template <typename Take> void read_pairs(std::string_view list, Take take) {
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t colon = item.rfind(':');
        if (colon == std::string_view::npos || colon == 0)
            throw std::runtime_error("not a pair");
        take(item.substr(0, colon), number(item.substr(colon + 1)));
    }
}

constexpr std::size_t kMostVersions = 8; // that a report tells apart, the newest ones
constexpr std::int64_t kMostBrokers = 1'000'000, kLongestLacking = 1'000'000'000'000; // ms

void read_report(std::string_view item, Report &report) {
    const auto subtree = [&report]() -> dist::SubtreeReport & {
        if (!report.subtree)
            report.subtree.emplace();
        return *report.subtree;
    };
    if (item.starts_with("caller=")) {
        report.caller = safe(std::string(item.substr(7)));
    } else if (item.starts_with("applied=")) {
        report.applied = number(item.substr(8));
    } else if (item.starts_with("below=")) {
        read_pairs(item.substr(6), [&](std::string_view version, std::int64_t brokers) {
            if (subtree().brokers.size() < kMostVersions)
                subtree().brokers[number(version)] +=
                    static_cast<std::size_t>(std::min(brokers, kMostBrokers));
        });
    } else if (item.starts_with("lacking=")) {
        read_pairs(item.substr(8), [&](std::string_view broker, std::int64_t ms) {
            if (subtree().lacking.size() < dist::ReportBook::kMostNamed)
                subtree().lacking.push_back(
                    {safe(std::string(broker)), std::min(ms, kLongestLacking) * 1000});
        });
    }
}

} // namespace

dist::Update to_update(const discovery::ListResponse &reading) {
    dist::Update update;
    update.revision = reading.revision;
    update.complete = reading.update.kind == ListUpdate::Kind::Full;
    for (const Json::Value &row : reading.members)
        update.members.push_back(to_member(row));
    return update;
}

std::string spell(const dist::Delta &delta) {
    std::string out =
        fmt::format(R"({{"revision":{},"complete":{},"members":[)", delta.revision, delta.complete);
    for (const dist::Delta::Entry &entry : delta.entries) {
        if (out.back() == '}')
            out += ',';
        out += fmt::format(R"({{{},"phase":"{}"}})", entry.text, word(entry.phase));
    }
    return out + "]}";
}

discovery::ListResponse read_documents(Json::Value answer) {
    discovery::ListResponse reading = discovery::decode_envelope(answer);
    for (const Json::Value &row : answer["members"]) {
        config::need_text(row, "id");
        config::need_text(row, "phase");
        if (!config::need(row, "document").isObject())
            throw config::Error("field 'document' is not an object");
    }
    reading.members = std::move(answer["members"]);
    return reading;
}

dist::Member document_member(const std::string &id, const Json::Value &document) {
    Json::Value row;
    row["id"] = id;
    row["phase"] = word(dist::Phase::Up);
    row["document"] = document;
    return to_member(std::move(row));
}

std::string spell(const Report &report) {
    std::string out = "caller=" + safe(report.caller);
    if (report.applied)
        out += fmt::format("&applied={}", *report.applied);
    if (!report.subtree)
        return out;
    std::vector<std::string> below, lacking;
    for (const auto &[version, brokers] : report.subtree->brokers)
        below.push_back(fmt::format("{}:{}", version, brokers));
    for (const dist::Lacking &one : report.subtree->lacking)
        lacking.push_back(fmt::format("{}:{}", safe(one.broker), one.for_us / 1000));
    if (below.size() > kMostVersions)
        below.erase(below.begin(), below.end() - kMostVersions);
    return out + fmt::format("&below={}&lacking={}", fmt::join(below, ","), fmt::join(lacking, ","));
}

std::optional<Call> read_call(std::string_view target) {
    const std::size_t question = target.find('?');
    const std::string_view path = target.substr(0, question);
    if (path != kNodesPath && path != kDocumentsPath)
        return std::nullopt;
    Call call;
    call.channel = path == kNodesPath ? Channel::Nodes : Channel::Documents;
    std::string_view rest = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        if (item.starts_with("since="))
            call.since = number(item.substr(6));
        else if (item.starts_with("timeout_ms="))
            call.wait = std::min(number(item.substr(11)), kLongestWait / 1000) * 1000;
        else
            read_report(item, call.report);
    }
    return call;
}

} // namespace marblewood::net::lists
