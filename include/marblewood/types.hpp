/// \file
/// The identifiers and the time type that all parts of the decision module use.
#pragma once

#include <cstdint>

namespace marblewood {

/// A point in time (Unix time, from the monotonic clock core::Clock) or a time span, in microseconds. It is a
/// plain integer because settings, events and wire formats carry it and the module computes floating-point
/// ratios of it.
using Micros = std::int64_t;

enum class RequestId : std::uint64_t {};
enum class NodeId : std::uint32_t {};
enum class ShardId : std::int64_t {};
enum class VolumeId : std::uint64_t {};
/// Identifies the piece of data that a request reads or writes.
enum class DataKey : std::uint64_t {};
enum class ZoneId : std::uint32_t {};

} // namespace marblewood
