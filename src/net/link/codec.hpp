// Cells' messages and states as bytes, by protobuf (cells.proto), and back. Reading throws Unreadable on what
// is malformed, of another version, or out of range.
#pragma once

#include "cells/keeper.hpp"

#include <stdexcept>

namespace marblewood::net::link {

struct Unreadable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr std::uint32_t kVersion = 1;

struct Call { // an operator's, passed on to the keeper
    std::uint64_t number = 0;
    std::string what, body;
};
struct Reply {
    std::uint64_t number = 0;
    bool ok = false;
    std::string text;
};
using Body = std::variant<marblewood::cells::Message, Call, Reply>;
struct Frame {
    std::string from; // a broker's name; empty: the keeper
    Body body;
};

std::string encode(const Frame &frame);
Frame decode(std::string_view bytes);

// Sealed with a hash, so that a torn or spoilt file is told from a whole one.
std::string encode(const marblewood::cells::Resident::State &state);
std::string encode(const marblewood::cells::Keeper::State &state);
marblewood::cells::Resident::State decode_resident(std::string_view bytes);
marblewood::cells::Keeper::State decode_keeper(std::string_view bytes);

} // namespace marblewood::net::link
