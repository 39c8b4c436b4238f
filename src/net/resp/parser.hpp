// RESP2, read and written.
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

inline constexpr std::size_t kMostValue = 64 * 1024;        // bytes of a bulk string of a client
inline constexpr std::size_t kMostAnswer = 4 * 1024 * 1024; // and of a node: some values are long
inline constexpr std::size_t kMostLine = 4096;
inline constexpr std::size_t kMostElements = 16;
inline constexpr std::size_t kMostBeside = 4 * kMostLine; // bytes of the other bulk strings of a message

struct Value {
    enum class Kind { Simple, Error, Integer, Bulk, Array } kind = Kind::Bulk;
    bool null = false;
    std::string text; // all but arrays
    std::vector<Value> elements;
};

// Reads messages off a stream of bytes. It keeps what it has read of a message that is not whole yet, so that
// no byte is looked at again however small the pieces come in; only the start of a line stays with the
// caller.
class Reader {
public:
    explicit Reader(std::size_t most_value = kMostValue) : most_(most_value) {}
    // Takes bytes off the front until a message is whole; nothing where they end before. Throws Malformed as
    // soon as no further byte can make it right.
    std::optional<Value> take(std::string_view &bytes);
    bool between() const { return !array_ && !bulk_; } // no part of a message is kept
    std::size_t kept() const { return size_; }         // bytes that it has room for
    // The length of an array's first string, while that comes and is longer than a client's may be. What is
    // there of it may be taken out from then on.
    std::optional<std::size_t> long_first() const;
    std::string part();
    std::string unfinished() const; // what it keeps, spelt again
    // The first element of an array that is not whole, once that is there and a string.
    const std::string *first() const;

private:
    std::optional<Value> ended(Value &&value);

    std::size_t most_;
    std::optional<Value> array_, bulk_;    // begun
    std::size_t missing_ = 0, length_ = 0; // elements of the one, bytes of the other
    std::size_t got_ = 0;                  // of those bytes
    std::size_t size_ = 0;
};

void put_bulk(std::string &out, std::string_view text);
std::string command(const std::vector<std::string_view> &words); // an array of bulk strings

} // namespace marblewood::net::resp
