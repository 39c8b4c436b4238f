#include "net/resp/parser.hpp"

#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace marblewood::net::resp {
namespace {

std::optional<std::string_view> line(std::string_view &bytes) {
    const std::size_t end = bytes.substr(0, kMostLine).find("\r\n");
    if (end == std::string_view::npos) {
        if (bytes.size() >= kMostLine) throw Malformed("line too long");
        return std::nullopt;
    }
    const std::string_view found = bytes.substr(0, end);
    bytes.remove_prefix(end + 2);
    return found;
}

long count(std::string_view digits, std::size_t most, const char *what) {
    long number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc() || end != digits.data() + digits.size() || number < -1 ||
        number > static_cast<long>(most))
        throw Malformed(fmt::format("invalid {} length", what));
    return number;
}

std::optional<Value> take(std::string_view &bytes, int depth) {
    if (bytes.empty()) return std::nullopt;
    const char type = bytes.front();
    if (std::string_view("+-:$*").find(type) == std::string_view::npos) throw Malformed("unexpected byte");
    std::string_view rest = bytes.substr(1);
    const auto head = line(rest);
    if (!head) return std::nullopt;
    Value value;
    if (type == '$') {
        const long size = count(*head, kMostValue, "bulk");
        value.null = size < 0;
        if (size >= 0) {
            const auto length = static_cast<std::size_t>(size);
            if (rest.size() < length + 2) return std::nullopt;
            if (rest.substr(length, 2) != "\r\n") throw Malformed("bulk string runs on");
            value.text = rest.substr(0, length);
            rest.remove_prefix(length + 2);
        }
    } else if (type == '*') {
        if (depth > 1) throw Malformed("nested too deep");
        value.kind = Value::Kind::Array;
        const long size = count(*head, kMostElements, "array");
        value.null = size < 0;
        for (long n = 0; n < size; ++n) {
            auto element = take(rest, depth + 1);
            if (!element) return std::nullopt;
            value.elements.push_back(std::move(*element));
        }
    } else {
        value.kind = type == '+'   ? Value::Kind::Simple
                     : type == '-' ? Value::Kind::Error
                                   : Value::Kind::Integer;
        value.text = *head;
    }
    bytes = rest;
    return value;
}

} // namespace

std::optional<Value> take(std::string_view &bytes) { return take(bytes, 0); }

void put_bulk(std::string &out, std::string_view text) {
    fmt::format_to(std::back_inserter(out), "${}\r\n", text.size());
    out.append(text).append("\r\n");
}

std::string command(const std::vector<std::string_view> &words) {
    std::string out = fmt::format("*{}\r\n", words.size());
    for (const std::string_view word : words) put_bulk(out, word);
    return out;
}

} // namespace marblewood::net::resp
