#include "config/decode.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace marblewood::config {
namespace {

constexpr Words<Idempotency, 3> kEffects{{{"idempotent", Idempotency::Idempotent},
                                          {"deduplicated", Idempotency::WithKey},
                                          {"at_most_once", Idempotency::NotIdempotent}}};
constexpr Words<DeduplicationScope, 3> kGroups{{{"all", DeduplicationScope::All},
                                                {"zone", DeduplicationScope::Zone},
                                                {"cell", DeduplicationScope::Cell}}};
constexpr Words<bool, 2> kMembership{{{"pushed", false}, {"on_request", true}}};

[[noreturn]] void wrong(const char *field, const char *what) {
    throw Error(std::string("field '") + field + "' " + what);
}
bool given(const Json::Value &object, const char *field) {
    if (!object.isObject())
        wrong(field, "stands in something that is no object");
    return object.isMember(field) && !object[field].isNull();
}

} // namespace

Json::Value parse(const char *begin, const char *end) {
    static const auto builder = [] {
        Json::CharReaderBuilder b;
        Json::CharReaderBuilder::strictMode(&b.settings_);
        b["failIfExtra"] = true;
        b["stackLimit"] = 32; // hostile nesting must not exhaust the stack
        b["strictRoot"] = false;
        return b;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(begin, end, &value, &errors))
            return value;
    } catch (const Json::Exception &error) {
        errors = error.what();
    }
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    throw Error("malformed JSON: " + errors);
}

const Json::Value &need(const Json::Value &object, const char *field) {
    if (!given(object, field))
        throw Error(std::string("missing field '") + field + "'");
    return object[field];
}
std::string need_text(const Json::Value &object, const char *field) {
    const Json::Value &v = need(object, field);
    if (!v.isString())
        wrong(field, "is not a text");
    return v.asString();
}
double need_number(const Json::Value &object, const char *field) {
    const Json::Value &v = need(object, field);
    if (!v.isNumeric())
        wrong(field, "is not a number");
    return v.asDouble();
}
std::int64_t need_integer(const Json::Value &object, const char *field) {
    const Json::Value &v = need(object, field);
    if (!v.isNumeric())
        wrong(field, "is not a number");
    if (v.isInt64())
        return v.asInt64();
    if (v.isUInt64())
        return static_cast<std::int64_t>(v.asUInt64());
    const double d = v.asDouble();
    if (!(std::abs(d) < 9e18))
        wrong(field, "is out of range");
    return std::llround(d);
}
std::string text_or(const Json::Value &object, const char *field, const std::string &otherwise) {
    return given(object, field) ? need_text(object, field) : otherwise;
}
double number_or(const Json::Value &object, const char *field, double otherwise) {
    return given(object, field) ? need_number(object, field) : otherwise;
}
std::int64_t integer_or(const Json::Value &object, const char *field, std::int64_t otherwise) {
    return given(object, field) ? need_integer(object, field) : otherwise;
}
bool flag_or(const Json::Value &object, const char *field, bool otherwise) {
    if (!given(object, field))
        return otherwise;
    if (!object[field].isBool())
        wrong(field, "is neither true nor false");
    return object[field].asBool();
}
Micros micros(double milliseconds) { // a time that no clock holds is taken as the longest one
    return std::llround(std::clamp(std::isnan(milliseconds) ? 0 : milliseconds, -1e14, 1e14) * 1000);
}

Settings read_settings(const Json::Value &params, std::uint64_t seed) {
    const auto part = [&](const char *key) {
        return given(params, key) ? params[key] : Json::Value(Json::objectValue);
    };
    const auto list = [&](const char *key) {
        const Json::Value rows = given(params, key) ? params[key] : Json::Value(Json::arrayValue);
        if (!rows.isArray())
            wrong(key, "is not a list");
        return rows;
    };
    Settings s;
    s.seed = seed;
    s.hosts = static_cast<int>(need_integer(params, "instances"));
    s.position = static_cast<int>(integer_or(params, "position", 0));
    s.period = time_or(params, "period", 0);
    need(params, "classes");
    for (const Json::Value &c : list("classes")) {
        ClassSettings cls;
        cls.name = need_text(c, "name");
        for (const ClassSettings &other : s.classes)
            if (other.name == cls.name)
                wrong("classes", "names a class twice");
        cls.latency_objective = need_time(c, "target");
        cls.deadline = need_time(c, "hard_limit");
        cls.priority_weight = number_or(c, "importance", 1);
        cls.late_priority_factor = number_or(c, "late_worth", 0);
        cls.idempotency = word(kEffects, need_text(c, "effect"), "effect");
        cls.deduplication_scope = word(kGroups, text_or(c, "group", "all"), "group");
        cls.deduplication_window = time_or(c, "dedup_window", 0);
        cls.in_order = flag_or(c, "by_arrival", false);
        cls.stream = flag_or(c, "stream", false);
        s.classes.push_back(std::move(cls));
    }
    for (const Json::Value &p : list("policies")) {
        PlanSettings plan;
        plan.name = need_text(p, "name");
        for (const PlanSettings &other : s.plans)
            if (other.name == plan.name)
                wrong("policies", "names a plan twice");
        plan.rate = number_or(p, "nominal", 0);
        plan.reserve = number_or(p, "reserve", 0);
        plan.weight = number_or(p, "parts", 1);
        plan.priority_factor = number_or(p, "pays", 1);
        plan.limit = number_or(p, "ceiling_rate", 0);
        plan.limit_burst = number_or(p, "burst", 0);
        plan.limit_slack = number_or(p, "cap_slack", 0);
        s.plans.push_back(std::move(plan));
    }
    s.poll_endpoint_list = word(kMembership, text_or(params, "membership_mode", "pushed"), "membership_mode");

    const Json::Value bounds = part("bounds");
    s.cancel = flag_or(bounds, "cancel", false);
    s.probes = flag_or(bounds, "probes", false);
    s.peers = flag_or(bounds, "peers", false);
    s.hedging = flag_or(bounds, "may_duplicate", false);
    s.retry_after = flag_or(bounds, "retry_after", false);
    s.max_attempts = static_cast<int>(integer_or(bounds, "max_attempts", 1));
    s.max_retry_after = time_or(bounds, "max_retry_after", 0);
    s.connect_timeout = time_or(bounds, "connect_timeout", 0);
    s.idle_close = time_or(bounds, "idle_close", 0);

    const Json::Value rules = part("contract");
    s.answer_slack = time_or(rules, "grace_to_answer", 0);
    s.drain_grace = time_or(rules, "drain_grace", 0);
    s.list_poll_interval = time_or(rules, "must_ask_in", 0);
    s.slow_start_window = time_or(rules, "fall", 0);
    s.slow_start_duration = time_or(rules, "cold", 0);
    s.slow_start_initial_fraction = number_or(rules, "start_capacity", 1);
    s.ordering_settle_time = time_or(rules, "key_rest", 0);
    s.retry_budget_free = number_or(rules, "budget_free", 0);
    s.retry_budget_fraction = number_or(rules, "further_ratio", 0);
    s.retry_budget_window = time_or(rules, "resend_span", 0);

    const Json::Value family = part("family_info");
    s.slow_start_units = number_or(family, "cold_bears", 0);
    s.max_request_units = number_or(family, "largest", 1);
    s.mean_request_units = number_or(family, "usual_units", 1);
    s.share_priority_factor = number_or(family, "fair_worth", 1);
    s.surplus_priority_factor = number_or(family, "beyond_share", 1);
    s.meter = time_or(family, "metering", 0);
    s.reports_remote_units = flag_or(family, "says_others", false);
    return s;
}

NodeEntry read_entry(const Json::Value &row, const EntryWords &words, Names &nodes, Names &zones) {
    NodeEntry entry;
    const std::string id = need_text(row, words.id);
    entry.node = NodeId{nodes.number(id)};
    entry.stable_id = XXH3_64bits(id.data(), id.size());
    entry.zone = ZoneId{zones.number(text_or(row, words.zone, ""))};
    entry.shard = ShardId{integer_or(row, words.cell, 0)};
    entry.state = word(words.states, need_text(row, words.state), words.state);
    entry.started = time_or(row, words.started, 0);
    return entry;
}

bool set_figure(LoadReport &load, std::string_view name, double value) {
    if (name == "rif" || name == "inflight")
        load.inflight = value;
    else if (name == "q" || name == "queue")
        load.queue = value;
    else if (name == "busy" || name == "util")
        load.busy = value;
    else if (name == "rate" || name == "qps")
        load.rate = value;
    else if (name == "fail_rate" || name == "eps")
        load.failures = value;
    else if (name == "lat_ms" || name == "latency_ms")
        load.service = micros(std::clamp(value, -1e12, 1e12));
    else
        return false;
    return true;
}

} // namespace marblewood::config
