/// \file
/// Conversions between the cells' types and protobuf, shared by frames and state files. Internal to the
/// codec.
#pragma once

#include "net/link/codec.hpp"

#include "cells.pb.h"

namespace marblewood::net::link {

inline std::uint64_t number(VolumeId volume) {
    return static_cast<std::uint64_t>(volume);
}

/// \throws DecodeError if `value` is above `last`, the enumeration's last member.
template <typename Enum> Enum enum_from_proto(std::uint32_t value, Enum last, const char *what) {
    if (value > static_cast<std::uint32_t>(last))
        throw DecodeError(DecodeFailure::OutOfRange, std::string("unknown ") + what);
    return static_cast<Enum>(value);
}

/// \throws DecodeError if the quantity is negative or not finite.
double quantity_from_proto(double value);

void to_proto(const marblewood::cells::Epoch &epoch, wire::Epoch *out);
marblewood::cells::Epoch from_proto(const wire::Epoch &in);

void to_proto(const marblewood::cells::TransferredQuota &quota, wire::TransferredQuota *out);
/// \throws DecodeError
marblewood::cells::TransferredQuota from_proto(const wire::TransferredQuota &in);

void to_proto(const marblewood::cells::CellMap &map, wire::CellMap *out);
/// \throws DecodeError if the map is not valid.
marblewood::cells::CellMap from_proto(const wire::CellMap &in);

} // namespace marblewood::net::link
