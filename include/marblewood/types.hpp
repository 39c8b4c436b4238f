/// \file
/// Identifiers and the unit of time that every part of the decision module shares.
#pragma once

#include <cstdint>

namespace marblewood {

/// A point in time (Unix time, on a clock that never goes back: core::Clock) or a span of time, in
/// microseconds. A plain integer, since settings, events and the wires all carry it and the module computes
/// ratios of it in floating point.
using Micros = std::int64_t;

enum class RequestId : std::uint64_t {};
enum class NodeId : std::uint32_t {};
enum class ShardId : std::int64_t {};
enum class VolumeId : std::uint64_t {};
/// Identifies the piece of data that a request reads or writes.
enum class DataKey : std::uint64_t {};
enum class ZoneId : std::uint32_t {};

} // namespace marblewood
