#include "net/resp/parser.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace marblewood::net::resp {
namespace {

std::optional<std::string_view> take_line(std::string_view &bytes) {
    const std::size_t end = bytes.substr(0, kMaxLineBytes).find("\r\n");
    if (end == std::string_view::npos) {
        if (bytes.size() >= kMaxLineBytes)
            throw Malformed("line too long");
        return std::nullopt;
    }
    const std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 2);
    return line;
}

long parse_length(std::string_view digits, std::size_t max, const char *what) {
    long number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc() || end != digits.data() + digits.size() || number < -1 ||
        number > static_cast<long>(max))
        throw Malformed(fmt::format("invalid {} length", what));
    return number;
}

} // namespace

std::optional<Value> Reader::take(std::string_view &bytes) {
    for (;;) {
        std::optional<Value> message;
        if (bulk_) {
            const std::string_view part = bytes.substr(0, bulk_length_ - bulk_received_);
            bulk_->text += part;
            bulk_received_ += part.size();
            bytes.remove_prefix(part.size());
            if (bulk_received_ < bulk_length_ || bytes.empty())
                return std::nullopt;
            if (!std::string_view("\r\n").starts_with(bytes.substr(0, 2)))
                // No line end follows the string, so it is longer than its announced length.
                throw Malformed("bulk string runs on");
            if (bytes.size() < 2)
                return std::nullopt;
            bytes.remove_prefix(2);
            message = complete_value(std::move(*std::exchange(bulk_, std::nullopt)));
        } else {
            if (bytes.empty())
                return std::nullopt;
            const char type = bytes.front();
            if (std::string_view("+-:$*").find(type) == std::string_view::npos)
                throw Misplaced("unexpected byte");
            std::string_view rest = bytes.substr(1);
            const auto head = take_line(rest);
            if (!head)
                return std::nullopt;
            bytes = rest;
            Value value;
            if (type == '$') {
                const long size = parse_length(*head, max_bulk_bytes_, "bulk");
                value.null = size < 0;
                if (size >= 0) {
                    bulk_length_ = static_cast<std::size_t>(size);
                    if ((message_bytes_ += bulk_length_) > max_bulk_bytes_ + kMaxOtherBulkBytes)
                        throw Malformed("message too long");
                    value.text.reserve(std::min(bulk_length_, kMaxClientBulkBytes));
                    bulk_received_ = 0;
                    bulk_ = std::move(value);
                    continue;
                }
            } else if (type == '*') {
                if (array_)
                    throw Misplaced("array within an array");
                const long size = parse_length(*head, kMaxArrayElements, "array");
                value.kind = Value::Kind::Array;
                value.null = size < 0;
                if (size > 0) {
                    elements_missing_ = static_cast<std::size_t>(size);
                    array_ = std::move(value);
                    continue;
                }
            } else {
                value.kind = type == '+'   ? Value::Kind::Simple
                             : type == '-' ? Value::Kind::Error
                                           : Value::Kind::Integer;
                value.text = *head;
            }
            message = complete_value(std::move(value));
        }
        if (message) {
            message_bytes_ = 0;
            return message;
        }
    }
}

// Handles a complete value. Returns the message that it completes: the value itself, or the array it belongs
// to.
std::optional<Value> Reader::complete_value(Value &&value) {
    if (!array_)
        return std::move(value);
    array_->elements.push_back(std::move(value));
    if (--elements_missing_ > 0)
        return std::nullopt;
    return std::exchange(array_, std::nullopt);
}

std::string Reader::unfinished() const {
    std::string out;
    if (array_) {
        out = fmt::format("*{}\r\n", array_->elements.size() + elements_missing_);
        for (const Value &value : array_->elements) {
            using Kind = Value::Kind;
            if (value.kind == Kind::Bulk && value.null)
                out += "$-1\r\n";
            else if (value.kind == Kind::Bulk)
                put_bulk(out, value.text);
            else
                out += (value.kind == Kind::Simple  ? "+"
                        : value.kind == Kind::Error ? "-"
                                                    : ":") +
                       value.text + "\r\n";
        }
    }
    if (bulk_)
        out += fmt::format("${}\r\n{}", bulk_length_, bulk_->text);
    return out;
}

const std::string *Reader::first_element() const {
    if (!array_ || array_->elements.empty())
        return nullptr;
    const Value &value = array_->elements.front();
    return value.kind == Value::Kind::Bulk && !value.null ? &value.text : nullptr;
}

std::optional<std::size_t> Reader::long_first_length() const {
    const bool in_first = bulk_ && (!array_ || array_->elements.empty());
    return in_first && bulk_length_ > kMaxClientBulkBytes ? std::optional(bulk_length_) : std::nullopt;
}
std::string Reader::take_first_part() {
    if (bulk_ && (!array_ || array_->elements.empty()))
        return std::exchange(bulk_->text, {});
    return array_ && !array_->elements.empty() ? std::exchange(array_->elements.front().text, {})
                                               : std::string();
}

void put_bulk(std::string &out, std::string_view text) {
    fmt::format_to(std::back_inserter(out), "${}\r\n", text.size());
    out.append(text).append("\r\n");
}

std::string command(const std::vector<std::string_view> &words) {
    std::string out = fmt::format("*{}\r\n", words.size());
    for (const std::string_view word : words)
        put_bulk(out, word);
    return out;
}

} // namespace marblewood::net::resp
