#include "link.hpp"

#include "wire.hpp"

#include <algorithm>
#include <cmath>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>
#include <unordered_map>

namespace marblewood::benchlink {
namespace {

using nlohmann::json;

template <typename T, std::size_t N>
T word(const wire::Words<T, N> &words, const std::string &name, const char *what) {
    for (const auto &[text, value] : words)
        if (text == name) return value;
    throw std::runtime_error(std::string("unknown ") + what + " '" + name + "'");
}

const json &need(const json &object, const char *key) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null())
        throw std::runtime_error(std::string("missing field '") + key + "'");
    return *found;
}
template <typename T> T need_as(const json &object, const char *key) { return need(object, key).get<T>(); }
template <typename T> T get_or(const json &object, const char *key, T otherwise) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? otherwise : found->get<T>();
}
Micros micros(double milliseconds) { return std::llround(milliseconds * 1000); }
Micros need_time(const json &object, const char *key) { return micros(need_as<double>(object, key)); }
Micros time_or_zero(const json &object, const char *key) { return micros(get_or<double>(object, key, 0)); }

// Gives each text a small number, in the order of first sight.
class Names {
public:
    std::uint32_t number(const std::string &text) {
        const auto [it, fresh] = numbers_.try_emplace(text, static_cast<std::uint32_t>(texts_.size()));
        if (fresh) texts_.push_back(text);
        return it->second;
    }
    std::optional<std::uint32_t> find(const std::string &text) const {
        const auto it = numbers_.find(text);
        return it == numbers_.end() ? std::nullopt : std::optional(it->second);
    }
    const std::string &text(std::uint32_t number) const { return texts_.at(number); }

private:
    std::unordered_map<std::string, std::uint32_t> numbers_;
    std::vector<std::string> texts_;
};

Settings read_settings(const json &params, std::uint64_t seed, Names &classes, Names &plans) {
    const json none = json::object();
    const auto part = [&](const char *key) -> const json & {
        const auto found = params.find(key);
        return found == params.end() || found->is_null() ? none : *found;
    };
    Settings s;
    s.seed = seed;
    s.hosts = need_as<int>(params, "instances");
    s.position = get_or<int>(params, "position", 0);
    s.period = time_or_zero(params, "period");
    for (const json &c : need(params, "classes")) {
        if (classes.number(need_as<std::string>(c, "name")) != s.classes.size())
            throw std::runtime_error("class named twice");
        ClassSettings cls;
        cls.aim = need_time(c, "target");
        cls.deadline = need_time(c, "hard_limit");
        cls.worth = get_or<double>(c, "importance", 1);
        cls.late_worth = get_or<double>(c, "late_worth", 0);
        cls.effect = word(wire::kEffect, need_as<std::string>(c, "effect"), "effect");
        cls.group = word(wire::kGroup, get_or<std::string>(c, "group", "all"), "group");
        cls.repeat_window = time_or_zero(c, "dedup_window");
        cls.in_order = get_or<bool>(c, "by_arrival", false);
        cls.stream = get_or<bool>(c, "stream", false);
        s.classes.push_back(cls);
    }
    for (const json &p : part("policies")) {
        if (plans.number(need_as<std::string>(p, "name")) != s.plans.size())
            throw std::runtime_error("plan named twice");
        PlanSettings plan;
        plan.rate = get_or<double>(p, "nominal", 0);
        plan.reserve = get_or<double>(p, "reserve", 0);
        plan.weight = get_or<double>(p, "parts", 1);
        plan.price = get_or<double>(p, "pays", 1);
        plan.limit = get_or<double>(p, "ceiling_rate", 0);
        plan.limit_burst = get_or<double>(p, "burst", 0);
        plan.limit_slack = get_or<double>(p, "cap_slack", 0);
        s.plans.push_back(plan);
    }
    s.ask_for_list =
        word(wire::kMembership, get_or<std::string>(params, "membership_mode", "pushed"), "membership mode");

    const json &bounds = part("bounds");
    s.cancel = get_or<bool>(bounds, "cancel", false);
    s.probes = get_or<bool>(bounds, "probes", false);
    s.peers = get_or<bool>(bounds, "peers", false);
    s.second_copies = get_or<bool>(bounds, "may_duplicate", false);
    s.retry_after = get_or<bool>(bounds, "retry_after", false);
    s.max_attempts = get_or<int>(bounds, "max_attempts", 1);
    s.max_retry_after = time_or_zero(bounds, "max_retry_after");

    const json &rules = part("contract");
    s.answer_slack = time_or_zero(rules, "grace_to_answer");
    s.drain_grace = time_or_zero(rules, "drain_grace");
    s.ask_within = time_or_zero(rules, "must_ask_in");
    s.fall_window = time_or_zero(rules, "fall");
    s.warm_after = time_or_zero(rules, "cold");
    s.cold_from = get_or<double>(rules, "start_capacity", 1);
    s.order_settle = time_or_zero(rules, "key_rest");
    s.budget_free = get_or<double>(rules, "budget_free", 0);
    s.budget_share = get_or<double>(rules, "further_ratio", 0);
    s.budget_window = time_or_zero(rules, "resend_span");

    const json &family = part("family_info");
    s.cold_units = get_or<double>(family, "cold_bears", 0);
    s.most_units = get_or<double>(family, "largest", 1);
    s.mean_units = get_or<double>(family, "usual_units", 1);
    s.share_worth = get_or<double>(family, "fair_worth", 1);
    s.spare_worth = get_or<double>(family, "beyond_share", 1);
    s.meter = time_or_zero(family, "metering");
    s.tells_elsewhere = get_or<bool>(family, "says_others", false);
    return s;
}

std::string base64(const std::string &bytes) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (at + k < bytes.size() ? static_cast<unsigned char>(bytes[at + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            text += at + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return text;
}

std::string unbase64(const std::string &text) {
    std::string bytes;
    std::uint32_t bits = 0;
    int held = 0;
    for (const char c : text) {
        if (c == '=') break;
        const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (digit < 0) throw std::runtime_error("malformed base64");
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        held += 6;
        if (held >= 8) bytes += static_cast<char>(bits >> (held -= 8) & 0xff);
    }
    return bytes;
}

// One instance: its scheduler and the names that it knows things by.
struct Instance {
    Names nodes, zones, classes, plans;
    std::unordered_map<std::string, RequestId> requests;
    std::unordered_map<std::uint64_t, std::string> handles;
    std::uint64_t next_request = 1;
    std::optional<Scheduler> scheduler;
    bool broken = false;
};

class Link {
public:
    explicit Link(std::ostream &out) : out_(out) {}

    void event(const json &message, const std::string &kind) {
        if (kind == wire::kRoster) {
            lists_[need_as<int>(message, "ref")] = need(message, "rows");
            return;
        }
        const auto inst = need_as<std::int64_t>(message, wire::kInstance);
        if (kind == wire::kBoot) {
            Instance fresh;
            try {
                fresh.scheduler.emplace(read_settings(need(message, "params"),
                                                      get_or<std::uint64_t>(message, "init_seed", 0),
                                                      fresh.classes, fresh.plans));
            } catch (const std::invalid_argument &error) {
                give_in(inst, error.what());
                fresh.broken = true;
            }
            instances_.insert_or_assign(inst, std::move(fresh));
            return;
        }
        const auto found = instances_.find(inst);
        if (found == instances_.end())
            throw std::runtime_error("event '" + kind + "' for an instance that was not started");
        if (kind == wire::kStop) {
            instances_.erase(found);
            return;
        }
        Instance &to = found->second;
        const std::optional<Event> translated = translate(to, message, kind);
        if (!translated || to.broken) return;
        actions_.clear();
        try {
            to.scheduler->handle(now, *translated, actions_);
        } catch (const std::exception &error) {
            give_in(inst, error.what());
            to.broken = true;
            return;
        }
        for (const Action &action : actions_) std::visit([&](const auto &a) { write(inst, to, a); }, action);
        if (kind == wire::kOutcome || kind == wire::kLeft)
            forget(to, need_as<std::string>(message, "handle"));
    }

    void reply() {
        line({{wire::kTag, wire::kReplyEnd}});
        out_ << reply_ << std::flush;
        reply_.clear();
    }

    Micros now = 0;

private:
    std::optional<Event> translate(Instance &to, const json &m, const std::string &kind) {
        if (kind == wire::kUpdate) return update(to, m);
        if (kind == wire::kRequest) return request(to, m);
        if (kind == wire::kTimer) return TimerDue{std::stoull(need_as<std::string>(m, "name"))};
        if (kind == wire::kPeer)
            return PeerMessage{need_as<int>(m, "neighbour"), unbase64(need_as<std::string>(m, "body"))};
        if (kind == wire::kProbed) {
            const auto node = to.nodes.find(need_as<std::string>(m, "server"));
            if (!node) return std::nullopt;
            return ProbeEnded{NodeId{*node}, status(m), time_or_zero(m, "took"), report(m)};
        }
        if (kind != wire::kOutcome && kind != wire::kFirst && kind != wire::kLeft)
            throw std::runtime_error("unknown message '" + kind + "'");
        const auto known = to.requests.find(need_as<std::string>(m, "handle"));
        if (kind == wire::kLeft) {
            if (known == to.requests.end()) return std::nullopt;
            return ClientLeft{known->second};
        }
        const int attempt = need_as<int>(m, "copy");
        if (kind == wire::kFirst) {
            if (known == to.requests.end()) return std::nullopt;
            return StreamStarted{known->second, attempt};
        }
        AttemptEnded ended;
        ended.attempt = attempt;
        ended.status = status(m);
        ended.latency = time_or_zero(m, "took");
        ended.closed = get_or<bool>(m, "complete", false);
        ended.used = get_or<int>(m, "metered", 0);
        ended.elsewhere = get_or<double>(m, "others_got", 0);
        ended.report = report(m);
        if (known == to.requests.end()) return std::nullopt;
        ended.id = known->second;
        return ended;
    }

    std::optional<Event> update(Instance &to, const json &m) {
        ListUpdate list;
        list.kind = word(wire::kForm, need_as<std::string>(m, "form"), "form of list");
        if (list.kind == ListUpdate::Kind::Failed) return list;
        const auto rows = lists_.find(need_as<int>(m, "ref"));
        if (rows == lists_.end()) throw std::runtime_error("list that was not given");
        for (const json &row : rows->second) {
            NodeEntry entry;
            entry.node = NodeId{to.nodes.number(need_as<std::string>(row, "server"))};
            entry.zone = ZoneId{to.zones.number(get_or<std::string>(row, "site", ""))};
            entry.shard = ShardId{get_or<std::int64_t>(row, "cluster", 0)};
            entry.state = word(wire::kState, need_as<std::string>(row, "condition"), "condition");
            entry.started = time_or_zero(row, "boot_time");
            list.entries.push_back(entry);
        }
        return list;
    }

    std::optional<Event> request(Instance &to, const json &m) {
        RequestArrived r;
        const auto handle = need_as<std::string>(m, "handle");
        const auto cls = to.classes.find(need_as<std::string>(m, "category"));
        const auto plan = to.plans.find(need_as<std::string>(m, "contract"));
        if (!cls || !plan) throw std::runtime_error("request of an unknown class or plan");
        r.id = RequestId{to.next_request++};
        if (!to.requests.try_emplace(handle, r.id).second) throw std::runtime_error("request id given twice");
        to.handles.emplace(static_cast<std::uint64_t>(r.id), handle);
        r.cls = static_cast<int>(*cls);
        r.plan = static_cast<int>(*plan);
        r.time_left = need_time(m, "time_left");
        r.volume = VolumeId{get_or<std::uint64_t>(m, "owner", 0)};
        if (const auto key = m.find("region"); key != m.end() && !key->is_null())
            r.key = DataKey{key->get<std::uint64_t>()};
        if (const auto shard = std::llround(get_or<double>(m, "placement", -1)); shard >= 0)
            r.shard = ShardId{shard};
        r.units = get_or<double>(m, "weight", 1);
        r.hosts = static_cast<int>(std::llround(get_or<double>(m, "writers", 1)));
        r.write = get_or<bool>(m, "is_write", false);
        r.retry = get_or<bool>(m, "retry", false);
        return r;
    }

    static std::optional<LoadReport> report(const json &m) {
        const auto found = m.find("report");
        if (found == m.end() || found->is_null()) return std::nullopt;
        if (!found->is_object()) throw std::runtime_error("load report is not an object");
        const auto figure = [&](const char *key) -> std::optional<double> {
            const auto value = found->find(key);
            if (value == found->end() || value->is_null()) return std::nullopt;
            if (!value->is_number())
                throw std::runtime_error(std::string("load report: '") + key + "' is not a number");
            return value->get<double>();
        };
        LoadReport load{figure("busy"), figure("rif"), figure("q"), {}, figure("rate"), figure("fail_rate")};
        // A time that no clock holds is passed on as the longest one.
        if (const auto ms = figure("lat_ms")) load.service = micros(std::clamp(*ms, -1e12, 1e12));
        return load;
    }

    static Status status(const json &m) {
        return word(wire::kStatus, need_as<std::string>(m, "disposition"), "outcome");
    }

    // A handle is kept for as long as its scheduler can make something of it.
    static void forget(Instance &at, const std::string &handle) {
        const auto known = at.requests.find(handle);
        if (known == at.requests.end() || at.scheduler->knows(known->second)) return;
        at.handles.erase(static_cast<std::uint64_t>(known->second));
        at.requests.erase(known);
    }

    void line(const json &value) {
        reply_ += value.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    }
    void give_in(std::int64_t inst, const char *text) {
        line({{wire::kTag, wire::kFault}, {wire::kInstance, inst}, {"reason_text", text}});
    }
    json action(std::int64_t inst, const char *kind) { return {{wire::kTag, kind}, {wire::kInstance, inst}}; }
    static double ms(Micros t) { return static_cast<double>(t) / 1000; }
    static const std::string &handle(const Instance &from, RequestId id) {
        return from.handles.at(static_cast<std::uint64_t>(id));
    }
    static const std::string &server(const Instance &from, NodeId id) {
        return from.nodes.text(static_cast<std::uint32_t>(id));
    }

    void write(std::int64_t inst, Instance &from, const Send &a) {
        json out = action(inst, wire::kSend);
        out["handle"] = handle(from, a.id);
        out["server"] = server(from, a.node);
        if (a.expires > 0) out["expire_at"] = ms(a.expires);
        line(out);
    }
    void write(std::int64_t inst, Instance &from, const Refuse &a) {
        json out = action(inst, wire::kRefuse);
        const std::string name = handle(from, a.id);
        out["handle"] = name;
        if (a.retry_after > 0) out["come_back"] = ms(a.retry_after);
        line(out);
        forget(from, name);
    }
    void write(std::int64_t inst, Instance &from, const Fail &a) {
        json out = action(inst, wire::kFail);
        const std::string name = handle(from, a.id);
        out["handle"] = name;
        line(out);
        forget(from, name);
    }
    void write(std::int64_t inst, Instance &from, const Cancel &a) {
        json out = action(inst, wire::kCancel);
        out["handle"] = handle(from, a.id);
        out["copy"] = a.attempt;
        line(out);
    }
    void write(std::int64_t inst, Instance &from, const Probe &a) {
        json out = action(inst, wire::kProbe);
        out["server"] = server(from, a.node);
        line(out);
    }
    void write(std::int64_t inst, Instance &from, const CloseIdle &a) {
        json out = action(inst, wire::kClose);
        out["server"] = server(from, a.node);
        line(out);
    }
    void write(std::int64_t inst, Instance &, const SetTimer &a) {
        json out = action(inst, wire::kSetTimer);
        out["name"] = std::to_string(a.token);
        out["from_now"] = ms(a.delay);
        line(out);
    }
    void write(std::int64_t inst, Instance &, const WatchList &a) {
        json out = action(inst, wire::kWatch);
        out["enable"] = a.on;
        line(out);
    }
    void write(std::int64_t inst, Instance &, const FetchList &) { line(action(inst, wire::kFetch)); }
    void write(std::int64_t inst, Instance &, const TellPeers &a) {
        json out = action(inst, wire::kTell);
        if (a.peer) out["neighbour_id"] = *a.peer;
        out["body"] = base64(a.data);
        line(out);
    }
    void write(std::int64_t inst, Instance &, const Log &a) {
        json out = action(inst, wire::kLog);
        out["reason_text"] = a.text;
        line(out);
    }

    std::ostream &out_;
    std::string reply_;
    std::vector<Action> actions_;
    std::map<int, json> lists_;
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
            if (text.empty()) continue;
            const json message = json::parse(text);
            if (!message.is_object()) throw std::runtime_error("not an object");
            const auto kind = need_as<std::string>(message, wire::kTag);
            if (kind == wire::kBatch) {
                if (in_batch) throw std::runtime_error("a batch begins inside another");
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
    if (in_batch) throw std::runtime_error("the input ends inside a batch");
}

} // namespace marblewood::benchlink
