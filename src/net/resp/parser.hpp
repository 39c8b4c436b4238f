// RESP2, read and written. The reader starts again from the front while a message is not whole.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::net::resp {

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kMostValue = 64 * 1024; // bytes of a bulk string
inline constexpr std::size_t kMostLine = 4096;
inline constexpr std::size_t kMostElements = 16;

struct Value {
    enum class Kind { Simple, Error, Integer, Bulk, Array } kind = Kind::Bulk;
    bool null = false;
    std::string text; // all but arrays
    std::vector<Value> elements;
};

// Takes one message off the front of `bytes`, or nothing while it is not whole. Throws Malformed as soon as
// no further byte can make it right.
std::optional<Value> take(std::string_view &bytes);

void put_bulk(std::string &out, std::string_view text);
std::string command(const std::vector<std::string_view> &words); // an array of bulk strings

} // namespace marblewood::net::resp
