// Between discovery's JSON and the log's own types, and the calls that a distributor answers.
#pragma once

#include "distribution/delivery.hpp"
#include "net/discovery/discovery.hpp"

#include <string>

namespace marblewood::net::lists {

/// An answer that discovery::read() has taken.
distribution::Update to_update(const discovery::Reading &reading);
/// The body of an answer in discovery's form.
std::string spell(const distribution::Delta &delta);

/// `GET /v1/servers`, with what follows it.
struct Call {
    std::optional<distribution::Revision> since;
    Micros wait = 0; // us, at most kLongestWait
};
constexpr Micros kLongestWait = 60'000'000; // us
/// Nothing where the target is another one; throws std::runtime_error where its values are malformed.
std::optional<Call> read_call(std::string_view target);

} // namespace marblewood::net::lists
