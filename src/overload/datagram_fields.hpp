/// \file
/// Encoding and decoding of numbers in the text datagrams that hosts exchange.
#pragma once

#include <charconv>
#include <iterator>
#include <string>
#include <string_view>
#include <system_error>

namespace marblewood::overload {

inline constexpr int kDecimal = 10;
inline constexpr int kHexadecimal = 16;

template <typename Number> void append_number(std::string &text, Number value, int base) {
    char digits[20]; // enough for a 64-bit number with its sign
    char *const end = std::to_chars(std::begin(digits), std::end(digits), value, base).ptr;
    text.append(std::begin(digits), end);
}

/// Removes a number, and one space if it follows, from the front of `rest`. Returns false and leaves `rest`
/// unchanged if `rest` does not begin with a number that fits into `Number`, or if the number is followed by
/// anything other than a space or the end.
template <typename Number> bool take_number(std::string_view &rest, Number &value, int base) {
    const char *const end = rest.data() + rest.size();
    const auto [next, error] = std::from_chars(rest.data(), end, value, base);
    if (error != std::errc() || (next != end && *next != ' '))
        return false;
    rest.remove_prefix(static_cast<std::size_t>(next - rest.data()));
    if (!rest.empty())
        rest.remove_prefix(1);
    return true;
}

} // namespace marblewood::overload
