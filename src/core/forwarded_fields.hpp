/// \file
/// The fields of a request that are passed on to its node uninterpreted.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace marblewood::core {

/// A list of names and values, kept as the text in which they are sent, so that many short fields take no
/// more memory than they did on the wire. Names and values hold no comma, names no equals sign.
class ForwardedFields {
public:
    void add(std::string_view name, std::string_view value) {
        text_.append(",").append(name).append("=").append(value);
    }
    /// The value of the last field with this name; empty if there is none.
    std::optional<std::string_view> find(std::string_view name) const {
        std::optional<std::string_view> found;
        for_each([&](std::string_view field) {
            if (has_name(field, name))
                found = field.substr(name.size() + 2);
        });
        return found;
    }
    /// Removes all fields with this name.
    void remove(std::string_view name) {
        if (!find(name))
            return;
        std::string kept;
        for_each([&](std::string_view field) {
            if (!has_name(field, name))
                kept += field;
        });
        text_ = std::move(kept);
    }
    /// All fields in their order, each as ",NAME=VALUE".
    const std::string &text() const { return text_; }

private:
    template <typename Visit> void for_each(Visit visit) const {
        for (std::size_t at = 0; at < text_.size();) {
            const std::size_t end = std::min(text_.find(',', at + 1), text_.size());
            visit(std::string_view(text_).substr(at, end - at));
            at = end;
        }
    }
    // `field` begins with its comma.
    static bool has_name(std::string_view field, std::string_view name) {
        return field.size() > name.size() + 1 && field[name.size() + 1] == '=' &&
               field.substr(1, name.size()) == name;
    }

    std::string text_;
};

} // namespace marblewood::core
