// Decodes JSON straight into the module's Settings and NodeEntry, for the broker and the bench's adapter
// alike.
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

// A field is missing or wrong; the text names it.
struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <typename T, std::size_t N> using Words = std::array<std::pair<std::string_view, T>, N>;
template <typename T, std::size_t N>
T word(const Words<T, N> &words, const std::string &name, const char *field) {
    for (const auto &[text, value] : words)
        if (text == name)
            return value;
    throw Error(std::string("field '") + field + "': unknown word '" + name + "'");
}

Json::Value parse(const char *begin, const char *end); // throws Error
inline Json::Value parse(const std::string &text) {
    return parse(text.data(), text.data() + text.size());
}

// Typed access; all throw Error naming the field. The `_or` forms take a missing or null field.
const Json::Value &need(const Json::Value &object, const char *field);
std::string need_text(const Json::Value &object, const char *field);
double need_number(const Json::Value &object, const char *field);
std::int64_t need_integer(const Json::Value &object, const char *field);
std::string text_or(const Json::Value &object, const char *field, const std::string &otherwise);
double number_or(const Json::Value &object, const char *field, double otherwise);
std::int64_t integer_or(const Json::Value &object, const char *field, std::int64_t otherwise);
bool flag_or(const Json::Value &object, const char *field, bool otherwise);
Micros micros(double milliseconds);
inline Micros need_time(const Json::Value &o, const char *field) {
    return micros(need_number(o, field));
}
inline Micros time_or(const Json::Value &o, const char *f, Micros otherwise) {
    return o.isMember(f) && !o[f].isNull() ? micros(need_number(o, f)) : otherwise;
}

// Gives each text a number, in the order of first sight. A number is never given again.
class Names {
public:
    std::uint32_t number(const std::string &text) {
        const auto [it, fresh] = numbers_.try_emplace(text, next_);
        if (fresh)
            texts_[next_++] = text;
        return it->second;
    }
    std::optional<std::uint32_t> find(const std::string &text) const {
        const auto it = numbers_.find(text);
        return it == numbers_.end() ? std::nullopt : std::optional(it->second);
    }
    const std::string &text(std::uint32_t number) const { return texts_.at(number); }
    template <typename F> void forget_if(F gone) { // names come without end where nodes are replaced
        std::erase_if(texts_, [&](const auto &entry) {
            if (!gone(entry.first))
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

// How a list calls the parts of an entry: discovery and the bench's wire differ only in words.
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

// Puts a figure of a load report where it belongs, under either of its names; false: it is none we know.
bool set_figure(LoadReport &load, std::string_view name, double value);

} // namespace marblewood::config
