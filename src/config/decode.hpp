/// \file
/// Decodes JSON into the scheduler's Settings and NodeEntry, for both the broker and the benchmark's adapter.
#pragma once

#include "marblewood/scheduler.hpp"

#include <array>
#include <json/json.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace marblewood::config {

/// A field is missing or invalid; the message names it.
struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The texts that stand for the values of an enumeration.
template <typename T, std::size_t N> using Words = std::array<std::pair<std::string_view, T>, N>;
/// The value with the given text. Throws Error naming the field if there is none.
template <typename T, std::size_t N>
T word(const Words<T, N> &words, const std::string &name, const char *field) {
    for (const auto &[text, value] : words)
        if (text == name)
            return value;
    throw Error(std::string("field '") + field + "': unknown value '" + name + "'");
}

/// Throws Error.
Json::Value parse(const char *begin, const char *end);
inline Json::Value parse(const std::string &text) {
    return parse(text.data(), text.data() + text.size());
}

// Typed access to a field. All throw Error naming the field. The `_or` functions return the default if the
// field is missing or null.
const Json::Value &need(const Json::Value &object, const char *field);
std::string need_text(const Json::Value &object, const char *field);
double need_number(const Json::Value &object, const char *field);
std::int64_t need_integer(const Json::Value &object, const char *field);
std::string text_or(const Json::Value &object, const char *field, const std::string &otherwise);
double number_or(const Json::Value &object, const char *field, double otherwise);
std::int64_t integer_or(const Json::Value &object, const char *field, std::int64_t otherwise);
bool flag_or(const Json::Value &object, const char *field, bool otherwise);
/// Clamps values out of the range of a time.
Micros micros(double milliseconds);
inline Micros need_time(const Json::Value &o, const char *field) {
    return micros(need_number(o, field));
}
inline Micros time_or(const Json::Value &o, const char *f, Micros otherwise) {
    return o.isMember(f) && !o[f].isNull() ? micros(need_number(o, f)) : otherwise;
}

/// Assigns a number to each name, in the order in which the names are first used. Numbers are never reused.
class Names {
public:
    std::uint32_t number(const std::string &text) {
        const auto [found, inserted] = numbers_.try_emplace(text, next_);
        if (inserted)
            texts_[next_++] = text;
        return found->second;
    }
    std::optional<std::uint32_t> find(const std::string &text) const {
        const auto found = numbers_.find(text);
        return found == numbers_.end() ? std::nullopt : std::optional(found->second);
    }
    const std::string &text(std::uint32_t number) const { return texts_.at(number); }
    /// Drops the names whose number satisfies the predicate. Without this, the names would grow without bound
    /// where nodes are replaced by new ones.
    template <typename F> void forget_if(F predicate) {
        std::erase_if(texts_, [&](const auto &entry) {
            if (!predicate(entry.first))
                return false;
            numbers_.erase(entry.second);
            return true;
        });
    }

private:
    std::uint32_t next_ = 0;
    std::unordered_map<std::string, std::uint32_t> numbers_;
    std::unordered_map<std::uint32_t, std::string> texts_;
};

Settings read_settings(const Json::Value &params, std::uint64_t seed);

/// The field names and states of an entry in a list. Discovery and the benchmark's protocol differ only in
/// these.
struct EntryWords {
    const char *id, *zone, *cell, *state, *started;
    Words<NodeState, 3> states;
};
inline constexpr EntryWords kDiscoveryEntry{
    "id",
    "locality",
    "cell",
    "phase",
    "up_since_ms",
    {{{"up", NodeState::Ready}, {"draining", NodeState::Draining}, {"removed", NodeState::Gone}}}};
NodeEntry read_entry(const Json::Value &row, const EntryWords &words, Names &nodes, Names &zones);

/// Sets the value of a load report that has this name; most values have two names. Returns false if the name
/// is unknown.
bool set_figure(LoadReport &load, std::string_view name, double value);

} // namespace marblewood::config
