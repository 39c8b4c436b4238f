/// \file
/// A bounded, incremental parser and an encoder for RESP2.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::net::resp {

/// The input is not valid RESP2 or exceeds a limit.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};
/// No message or element can begin where one has to. If it is an element of an array, the announced length of
/// the element before it may be wrong.
struct Misplaced : Malformed {
    using Malformed::Malformed;
};

inline constexpr std::size_t kMaxClientBulkBytes = 64 * 1024;     ///< of a bulk string from a client
inline constexpr std::size_t kMaxNodeBulkBytes = 4 * 1024 * 1024; ///< from a node, whose values can be long
inline constexpr std::size_t kMaxLineBytes = 4096;
inline constexpr std::size_t kMaxArrayElements = 16;
inline constexpr std::size_t kMaxOtherBulkBytes =
    4 * kMaxLineBytes; ///< of all further bulk strings of a message

struct Value {
    enum class Kind { Simple, Error, Integer, Bulk, Array } kind = Kind::Bulk;
    bool null = false;
    std::string text;            ///< unless `kind` is Array
    std::vector<Value> elements; ///< if `kind` is Array
};

/// Parses messages from a stream of bytes. It keeps the parsed part of an incomplete message, so that no byte
/// is parsed twice however small the pieces arrive. Only an incomplete line stays in the caller's buffer.
class Reader {
public:
    explicit Reader(std::size_t max_bulk_bytes = kMaxClientBulkBytes) : max_bulk_bytes_(max_bulk_bytes) {}
    /// Removes bytes from the front until a message is complete; empty if `bytes` ends before that. Throws
    /// Malformed as soon as no further bytes can make the message valid.
    std::optional<Value> take(std::string_view &bytes);
    /// True if no part of a message has been parsed since the last complete message.
    bool is_between_messages() const { return !array_ && !bulk_; }
    /// The total length of the bulk strings of the incomplete message, as announced.
    std::size_t incomplete_bytes() const { return message_bytes_; }
    /// The announced length of the message's first bulk string, in an array or alone, if that string is being
    /// received and is longer than kMaxClientBulkBytes; else empty. Once a length has been returned, the
    /// caller may remove the string in parts with take_first_part() until the message is complete.
    std::optional<std::size_t> long_first_length() const;
    /// Removes and returns the received bytes of the incomplete message's first bulk string.
    std::string take_first_part();
    /// Whether the incomplete message is an array.
    bool is_in_array() const { return array_.has_value(); }
    /// Encodes the kept part of the incomplete message again.
    std::string unfinished() const;
    /// The first element of an incomplete array, if that element is complete and a bulk string; else null.
    const std::string *first_element() const;

private:
    std::optional<Value> complete_value(Value &&value);

    std::size_t max_bulk_bytes_;
    std::optional<Value> array_, bulk_; // incomplete
    // The number of elements that `array_` still lacks, and the announced length of `bulk_`.
    std::size_t elements_missing_ = 0, bulk_length_ = 0;
    std::size_t bulk_received_ = 0; // bytes of `bulk_`
    std::size_t message_bytes_ = 0; // see incomplete_bytes()
};

void put_bulk(std::string &out, std::string_view text);
/// Encodes an array of bulk strings.
std::string command(const std::vector<std::string_view> &words);

} // namespace marblewood::net::resp
