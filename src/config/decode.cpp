#include "config/decode.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace marblewood::config {
namespace {

constexpr Words<Idempotency, 3> kIdempotencyNames{{{"idempotent", Idempotency::Idempotent},
                                                   {"deduplicated", Idempotency::WithKey},
                                                   {"at_most_once", Idempotency::NotIdempotent}}};
constexpr Words<DeduplicationScope, 3> kDeduplicationScopeNames{{{"all", DeduplicationScope::All},
                                                                 {"zone", DeduplicationScope::Zone},
                                                                 {"cell", DeduplicationScope::Cell}}};
/// Whether the endpoint list has to be polled.
constexpr Words<bool, 2> kMembershipModes{{{"pushed", false}, {"on_request", true}}};

[[noreturn]] void throw_field_error(const char *field, const char *what) {
    throw Error(std::string("field '") + field + "' " + what);
}
bool has_value(const Json::Value &object, const char *field) {
    if (!object.isObject())
        throw_field_error(field, "has a parent that is not an object");
    return object.isMember(field) && !object[field].isNull();
}

} // namespace

Json::Value parse(const char *begin, const char *end) {
    static const auto builder = [] {
        Json::CharReaderBuilder b;
        Json::CharReaderBuilder::strictMode(&b.settings_);
        b["failIfExtra"] = true;
        b["stackLimit"] = 32; // malicious nesting must not exhaust the stack
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
    if (!has_value(object, field))
        throw Error(std::string("missing field '") + field + "'");
    return object[field];
}
std::string need_text(const Json::Value &object, const char *field) {
    const Json::Value &v = need(object, field);
    if (!v.isString())
        throw_field_error(field, "is not a string");
    return v.asString();
}
double need_number(const Json::Value &object, const char *field) {
    const Json::Value &v = need(object, field);
    if (!v.isNumeric())
        throw_field_error(field, "is not a number");
    return v.asDouble();
}
std::int64_t need_integer(const Json::Value &object, const char *field) {
    const Json::Value &v = need(object, field);
    if (!v.isNumeric())
        throw_field_error(field, "is not a number");
    if (v.isInt64())
        return v.asInt64();
    if (v.isUInt64())
        return static_cast<std::int64_t>(v.asUInt64());
    const double number = v.asDouble();
    if (!(std::abs(number) < 9e18))
        throw_field_error(field, "is out of range");
    return std::llround(number);
}
std::string text_or(const Json::Value &object, const char *field, const std::string &otherwise) {
    return has_value(object, field) ? need_text(object, field) : otherwise;
}
double number_or(const Json::Value &object, const char *field, double otherwise) {
    return has_value(object, field) ? need_number(object, field) : otherwise;
}
std::int64_t integer_or(const Json::Value &object, const char *field, std::int64_t otherwise) {
    return has_value(object, field) ? need_integer(object, field) : otherwise;
}
bool flag_or(const Json::Value &object, const char *field, bool otherwise) {
    if (!has_value(object, field))
        return otherwise;
    if (!object[field].isBool())
        throw_field_error(field, "is neither true nor false");
    return object[field].asBool();
}
Micros micros(double milliseconds) { // clamped, so that the result fits into Micros
    return std::llround(std::clamp(std::isnan(milliseconds) ? 0 : milliseconds, -1e14, 1e14) * 1000);
}

namespace {

/// The object in a field; an empty one if the field is missing or null.
Json::Value object_or_empty(const Json::Value &params, const char *field) {
    return has_value(params, field) ? params[field] : Json::Value(Json::objectValue);
}

/// The list in a field; an empty one if the field is missing or null.
Json::Value list_or_empty(const Json::Value &params, const char *field) {
    Json::Value rows = has_value(params, field) ? params[field] : Json::Value(Json::arrayValue);
    if (!rows.isArray())
        throw_field_error(field, "is not a list");
    return rows;
}

template <typename Row> bool has_name(const std::vector<Row> &rows, const std::string &name) {
    return std::ranges::find(rows, name, &Row::name) != rows.end();
}

// Only the functions below map the field names of the settings to the members of Settings.

ClassSettings read_class(const Json::Value &row, const std::vector<ClassSettings> &earlier) {
    ClassSettings cls;
    cls.name = need_text(row, "name");
    if (has_name(earlier, cls.name))
        throw_field_error("classes", "contains a duplicate class name");
    cls.latency_objective = need_time(row, "target");
    cls.deadline = need_time(row, "hard_limit");
    cls.priority_weight = number_or(row, "importance", 1);
    cls.late_priority_factor = number_or(row, "late_worth", 0);
    cls.idempotency = word(kIdempotencyNames, need_text(row, "effect"), "effect");
    cls.deduplication_scope = word(kDeduplicationScopeNames, text_or(row, "group", "all"), "group");
    cls.deduplication_window = time_or(row, "dedup_window", 0);
    cls.in_order = flag_or(row, "by_arrival", false);
    cls.stream = flag_or(row, "stream", false);
    return cls;
}

PlanSettings read_plan(const Json::Value &row, const std::vector<PlanSettings> &earlier) {
    PlanSettings plan;
    plan.name = need_text(row, "name");
    if (has_name(earlier, plan.name))
        throw_field_error("policies", "contains a duplicate plan name");
    plan.rate = number_or(row, "nominal", 0);
    plan.reserve = number_or(row, "reserve", 0);
    plan.weight = number_or(row, "parts", 1);
    plan.priority_factor = number_or(row, "pays", 1);
    plan.limit = number_or(row, "ceiling_rate", 0);
    plan.limit_burst = number_or(row, "burst", 0);
    plan.limit_slack = number_or(row, "cap_slack", 0);
    return plan;
}

/// The features that the deployment allows a host to use, and their limits.
void read_bounds(const Json::Value &bounds, Settings &settings) {
    settings.cancel = flag_or(bounds, "cancel", false);
    settings.probes = flag_or(bounds, "probes", false);
    settings.peers = flag_or(bounds, "peers", false);
    settings.hedging = flag_or(bounds, "may_duplicate", false);
    settings.retry_after = flag_or(bounds, "retry_after", false);
    settings.max_attempts = static_cast<int>(integer_or(bounds, "max_attempts", 1));
    settings.max_retry_after = time_or(bounds, "max_retry_after", 0);
    settings.connect_timeout = time_or(bounds, "connect_timeout", 0);
    settings.idle_close = time_or(bounds, "idle_close", 0);
}

/// The agreements between the fleet and its nodes and clients.
void read_contract(const Json::Value &contract, Settings &settings) {
    settings.answer_slack = time_or(contract, "grace_to_answer", 0);
    settings.drain_grace = time_or(contract, "drain_grace", 0);
    settings.list_poll_interval = time_or(contract, "must_ask_in", 0);
    settings.slow_start_window = time_or(contract, "fall", 0);
    settings.slow_start_duration = time_or(contract, "cold", 0);
    settings.slow_start_initial_fraction = number_or(contract, "start_capacity", 1);
    settings.ordering_settle_time = time_or(contract, "key_rest", 0);
    settings.retry_budget_free = number_or(contract, "budget_free", 0);
    settings.retry_budget_fraction = number_or(contract, "further_ratio", 0);
    settings.retry_budget_window = time_or(contract, "resend_span", 0);
}

/// The units of work and their accounting.
void read_family_info(const Json::Value &family, Settings &settings) {
    settings.slow_start_units = number_or(family, "cold_bears", 0);
    settings.max_request_units = number_or(family, "largest", 1);
    settings.mean_request_units = number_or(family, "usual_units", 1);
    settings.share_priority_factor = number_or(family, "fair_worth", 1);
    settings.surplus_priority_factor = number_or(family, "beyond_share", 1);
    settings.meter = time_or(family, "metering", 0);
    settings.reports_remote_units = flag_or(family, "says_others", false);
}

} // namespace

Settings read_settings(const Json::Value &params, std::uint64_t seed) {
    Settings settings;
    settings.seed = seed;
    settings.hosts = static_cast<int>(need_integer(params, "instances"));
    settings.position = static_cast<int>(integer_or(params, "position", 0));
    settings.period = time_or(params, "period", 0);
    need(params, "classes");
    for (const Json::Value &row : list_or_empty(params, "classes"))
        settings.classes.push_back(read_class(row, settings.classes));
    for (const Json::Value &row : list_or_empty(params, "policies"))
        settings.plans.push_back(read_plan(row, settings.plans));
    settings.poll_endpoint_list =
        word(kMembershipModes, text_or(params, "membership_mode", "pushed"), "membership_mode");
    read_bounds(object_or_empty(params, "bounds"), settings);
    read_contract(object_or_empty(params, "contract"), settings);
    read_family_info(object_or_empty(params, "family_info"), settings);
    return settings;
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
