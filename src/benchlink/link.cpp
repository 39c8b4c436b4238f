#include "link.hpp"

#include "config/decode.hpp"
#include "core/backoff.hpp"
#include "wire.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <unordered_map>

namespace marblewood::benchlink {
namespace {

using Json::Value;
using namespace config;

// The index of a class or plan by its name; -1 if there is none.
template <typename Rows> int index_of(const Rows &rows, const std::string &name) {
    const auto at = std::find_if(rows.begin(), rows.end(), [&](const auto &row) { return row.name == name; });
    return at == rows.end() ? -1 : static_cast<int>(at - rows.begin());
}

std::string base64(const std::string &bytes) {
    static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (at + k < bytes.size() ? static_cast<unsigned char>(bytes[at + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            text += at + k > bytes.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
    return text;
}

std::string unbase64(const std::string &text) {
    std::string bytes;
    std::uint32_t bits = 0;
    int bit_count = 0;
    for (const char c : text) {
        if (c == '=')
            break;
        const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (digit < 0)
            throw std::runtime_error("malformed base64");
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        bit_count += 6;
        if (bit_count >= 8)
            bytes += static_cast<char>(bits >> (bit_count -= 8) & 0xff);
    }
    return bytes;
}

// Delays before a failed watch is opened again. Each call is work for discovery, which serves all instances.
constexpr Micros kMinWatchDelay = 1'500'000, kMaxWatchDelay = 6'000'000;
constexpr auto kWatchTimer = "watch"; // the names of the scheduler's timers are numbers

// One simulated broker: its scheduler, and the tables between the simulator's names and the scheduler's
// numbers.
struct Instance {
    Names nodes, zones;
    Settings settings;
    std::unordered_map<std::string, RequestId> requests;
    std::unordered_map<std::uint64_t, std::string> handles;
    std::uint64_t next_request = 1;
    std::optional<Scheduler> scheduler;
    bool faulted = false;
    core::Backoff backoff{kMinWatchDelay, kMaxWatchDelay, 0}; // for opening a failed watch again
};

class Link {
public:
    explicit Link(std::ostream &out) : out_(out) {}

    void event(const Value &message, const std::string &kind) {
        if (kind == wire::kEndpointList) {
            lists_[static_cast<int>(need_integer(message, "ref"))] = need(message, "rows");
            return;
        }
        const auto instance_id = need_integer(message, wire::kInstance);
        if (kind == wire::kStart) {
            Instance instance;
            try {
                instance.settings = read_settings(
                    need(message, "params"), static_cast<std::uint64_t>(integer_or(message, "init_seed", 0)));
                instance.scheduler.emplace(instance.settings);
                const Micros max_delay = instance.settings.list_poll_interval > 0
                                             ? instance.settings.list_poll_interval
                                             : kMaxWatchDelay;
                instance.backoff = core::Backoff(std::min(kMinWatchDelay, max_delay),
                                                 std::min(kMaxWatchDelay, max_delay), instance.settings.seed);
                if (instance.settings.poll_endpoint_list)
                    watch(instance_id);
            } catch (const std::invalid_argument &error) {
                report_fault(instance_id, error.what());
                instance.faulted = true;
            }
            instances_.insert_or_assign(instance_id, std::move(instance));
            return;
        }
        const auto found = instances_.find(instance_id);
        if (found == instances_.end())
            throw std::runtime_error("event '" + kind + "' for an instance that was not started");
        if (kind == wire::kStop) {
            instances_.erase(found);
            return;
        }
        Instance &to = found->second;
        const std::optional<Event> translated = translate(to, message, kind);
        if (!translated || to.faulted)
            return;
        actions_.clear();
        try {
            to.scheduler->handle(now, *translated, actions_);
        } catch (const std::exception &error) {
            report_fault(instance_id, error.what());
            to.faulted = true;
            return;
        }
        for (const Action &action : actions_)
            std::visit([&](const auto &a) { write(instance_id, to, a); }, action);
        if (kind == wire::kAttemptEnded || kind == wire::kClientDisconnected)
            forget(to, need_text(message, "handle"));
    }

    void reply() {
        Value end(Json::objectValue);
        end[wire::kTag] = wire::kReplyEnd;
        write_line(end);
        out_ << reply_.str() << std::flush;
        reply_.str("");
    }

    Micros now = 0;

private:
    std::optional<Event> translate(Instance &to, const Value &m, const std::string &kind) {
        if (kind == wire::kListUpdate)
            return update(to, m);
        if (kind == wire::kRequest)
            return request(to, m);
        if (kind == wire::kTimer) {
            const std::string name = need_text(m, "name");
            if (name != kWatchTimer)
                return TimerDue{std::stoull(name)};
            watch(need_integer(m, wire::kInstance));
            return std::nullopt;
        }
        if (kind == wire::kPeerMessage)
            return PeerMessage{static_cast<int>(need_integer(m, "neighbour")),
                               unbase64(need_text(m, "body"))};
        if (kind == wire::kProbeEnded) {
            const auto node = to.nodes.find(need_text(m, "server"));
            if (!node)
                return std::nullopt;
            return ProbeEnded{NodeId{*node}, status(m), time_or(m, "took", 0), report(m)};
        }
        if (kind != wire::kAttemptEnded && kind != wire::kStreamStarted && kind != wire::kClientDisconnected)
            throw std::runtime_error("unknown message '" + kind + "'");
        const auto known = to.requests.find(need_text(m, "handle"));
        if (kind == wire::kClientDisconnected) {
            if (known == to.requests.end())
                return std::nullopt;
            return ClientDisconnected{known->second};
        }
        const int attempt = static_cast<int>(need_integer(m, "copy"));
        if (kind == wire::kStreamStarted) {
            if (known == to.requests.end())
                return std::nullopt;
            return StreamStarted{known->second, attempt};
        }
        AttemptEnded ended;
        ended.attempt = attempt;
        ended.status = status(m);
        ended.latency = time_or(m, "took", 0);
        ended.closed = flag_or(m, "complete", false);
        ended.used = static_cast<int>(integer_or(m, "metered", 0));
        ended.remote_units = number_or(m, "others_got", 0);
        ended.report = report(m);
        if (known == to.requests.end())
            return std::nullopt;
        ended.id = known->second;
        return ended;
    }

    std::optional<Event> update(Instance &to, const Value &m) {
        if (need_text(m, "form") == wire::kListFailed) { // the last list stays in use
            Value timer = action(need_integer(m, wire::kInstance), wire::kSetTimer);
            timer["name"] = kWatchTimer;
            timer["from_now"] = ms(to.backoff.next());
            write_line(timer);
            return std::nullopt;
        }
        ListUpdate list;
        list.kind = word(wire::kListKind, need_text(m, "form"), "form of list");
        if (list.kind != ListUpdate::Kind::Saved)
            to.backoff.reset();
        const auto rows = lists_.find(static_cast<int>(need_integer(m, "ref")));
        if (rows == lists_.end())
            throw std::runtime_error("unknown list reference");
        for (const Value &row : rows->second) {
            list.entries.push_back(read_entry(row, wire::kEntry, to.nodes, to.zones));
        }
        return list;
    }

    std::optional<Event> request(Instance &to, const Value &m) {
        RequestArrived r;
        const auto handle = need_text(m, "handle");
        r.cls = index_of(to.settings.classes, need_text(m, "category"));
        r.plan = index_of(to.settings.plans, need_text(m, "contract"));
        if (r.cls < 0 || r.plan < 0)
            throw std::runtime_error("request of an unknown class or plan");
        r.id = RequestId{to.next_request++};
        if (!to.requests.try_emplace(handle, r.id).second)
            throw std::runtime_error("duplicate request id");
        to.handles.emplace(static_cast<std::uint64_t>(r.id), handle);
        r.time_left = need_time(m, "time_left");
        r.volume = VolumeId{static_cast<std::uint64_t>(integer_or(m, "owner", 0))};
        if (m.isMember("region") && !m["region"].isNull())
            r.key = DataKey{static_cast<std::uint64_t>(need_integer(m, "region"))};
        if (const auto shard = std::llround(number_or(m, "placement", -1)); shard >= 0)
            r.shard = ShardId{shard};
        r.units = number_or(m, "weight", 1);
        r.hosts = static_cast<int>(std::llround(number_or(m, "writers", 1)));
        r.write = flag_or(m, "is_write", false);
        r.retry = flag_or(m, "retry", false);
        return r;
    }

    static std::optional<LoadReport> report(const Value &m) {
        if (!m.isMember("report") || m["report"].isNull())
            return std::nullopt;
        const Value &figures = m["report"];
        if (!figures.isObject())
            throw std::runtime_error("load report is not an object");
        LoadReport load;
        for (const std::string &name : figures.getMemberNames())
            if (const Value &v = figures[name];
                !v.isNull() && set_figure(load, name, v.isNumeric() ? v.asDouble() : 0) && !v.isNumeric())
                throw Error("load report: '" + name + "' is not a number");
        return load;
    }

    static Status status(const Value &m) {
        return word(wire::kStatus, need_text(m, "disposition"), "outcome");
    }

    // Removes a request's handle unless the scheduler still tracks the request.
    static void forget(Instance &at, const std::string &handle) {
        const auto known = at.requests.find(handle);
        if (known == at.requests.end() || at.scheduler->tracks(known->second))
            return;
        at.handles.erase(static_cast<std::uint64_t>(known->second));
        at.requests.erase(known);
    }

    void write_line(const Value &value) {
        static const auto writer = [] {
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "";
            builder["precision"] = 17;
            return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
        }();
        writer->write(value, &reply_);
        reply_ << '\n';
    }
    void report_fault(std::int64_t instance_id, const char *text) {
        Value out = action(instance_id, wire::kFault);
        out["reason_text"] = text;
        write_line(out);
    }
    static Value action(std::int64_t instance_id, const char *kind) {
        Value out(Json::objectValue);
        out[wire::kTag] = kind;
        out[wire::kInstance] = Json::Int64(instance_id);
        return out;
    }
    static double ms(Micros t) { return static_cast<double>(t) / 1000; }
    static const std::string &handle(const Instance &from, RequestId id) {
        return from.handles.at(static_cast<std::uint64_t>(id));
    }
    static const std::string &server(const Instance &from, NodeId id) {
        return from.nodes.text(static_cast<std::uint32_t>(id));
    }

    void write(std::int64_t instance_id, Instance &from, const Send &a) {
        Value out = action(instance_id, wire::kSend);
        out["handle"] = handle(from, a.id);
        out["server"] = server(from, a.node);
        if (a.expires > 0)
            out["expire_at"] = ms(a.expires);
        write_line(out);
    }
    void write(std::int64_t instance_id, Instance &from, const Refuse &a) {
        Value out = action(instance_id, wire::kRefuse);
        const std::string name = handle(from, a.id);
        out["handle"] = name;
        if (a.retry_after > 0)
            out["come_back"] = ms(a.retry_after);
        write_line(out);
        forget(from, name);
    }
    void write(std::int64_t instance_id, Instance &from, const Fail &a) {
        Value out = action(instance_id, wire::kFail);
        const std::string name = handle(from, a.id);
        out["handle"] = name;
        write_line(out);
        forget(from, name);
    }
    void write(std::int64_t instance_id, Instance &from, const Cancel &a) {
        Value out = action(instance_id, wire::kCancel);
        out["handle"] = handle(from, a.id);
        out["copy"] = a.attempt;
        write_line(out);
    }
    void write(std::int64_t instance_id, Instance &from, const Probe &a) {
        Value out = action(instance_id, wire::kProbe);
        out["server"] = server(from, a.node);
        write_line(out);
    }
    void write(std::int64_t instance_id, Instance &from, const CloseIdle &a) {
        Value out = action(instance_id, wire::kCloseIdle);
        out["server"] = server(from, a.node);
        write_line(out);
    }
    void write(std::int64_t instance_id, Instance &, const SetTimer &a) {
        Value out = action(instance_id, wire::kSetTimer);
        out["name"] = std::to_string(a.token);
        out["from_now"] = ms(a.delay);
        write_line(out);
    }
    void watch(std::int64_t instance_id) {
        Value out = action(instance_id, wire::kWatchList);
        out["enable"] = true;
        write_line(out);
    }
    void write(std::int64_t instance_id, Instance &, const SendPeerMessage &a) {
        Value out = action(instance_id, wire::kSendPeerMessage);
        if (a.peer)
            out["neighbour_id"] = *a.peer;
        out["body"] = base64(a.data);
        write_line(out);
    }
    void write(std::int64_t instance_id, Instance &, const Log &a) {
        Value out = action(instance_id, wire::kLog);
        out["reason_text"] = a.text;
        write_line(out);
    }

    std::ostream &out_;
    std::ostringstream reply_;
    std::vector<Action> actions_;
    std::map<int, Value> lists_;
    std::map<std::int64_t, Instance> instances_;
};

} // namespace

void run(std::istream &in, std::ostream &out) {
    Link link(out);
    bool in_batch = false;
    std::string text;
    std::size_t number = 0;
    while (std::getline(in, text)) {
        ++number;
        try {
            if (text.empty())
                continue;
            const Value message = parse(text);
            if (!message.isObject())
                throw std::runtime_error("not an object");
            const auto kind = need_text(message, wire::kTag);
            if (kind == wire::kBatch) {
                if (in_batch)
                    throw std::runtime_error("a batch begins inside another");
                link.now = need_time(message, wire::kClock);
                in_batch = true;
            } else if (!in_batch) {
                throw std::runtime_error("'" + kind + "' outside a batch");
            } else if (kind == wire::kBatchEnd) {
                link.reply();
                in_batch = false;
            } else {
                link.event(message, kind);
            }
        } catch (const std::exception &error) {
            throw std::runtime_error("line " + std::to_string(number) + ": " + error.what());
        }
    }
    if (in_batch)
        throw std::runtime_error("the input ends inside a batch");
}

} // namespace marblewood::benchlink
