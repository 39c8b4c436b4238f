#include "overload/slow_start_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::overload {
namespace {

constexpr int kAllocators = 2;               // S; with 2, half of the budget remains while one is unreachable
constexpr int kEpochWindows = 6;             // length of an epoch
constexpr int kSlotsPerWindow = 16;          // the hosts' clocks differ by at most one slot
constexpr Micros kGrantLifetime = 300'000;   // g
constexpr double kMaxClockSpeedRatio = 1.05; // at most, of an allocator's clock to a requester's
constexpr Micros kMinRequestBackoff = 40'000;   // initial pause between requests for one node
constexpr Micros kMaxRequestBackoff = 320'000;  // the pause doubles up to this until a grant arrives
constexpr std::size_t kMaxPendingRequests = 16; // for one node

/// The finalizer of MurmurHash3.
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ value >> 33) * 0xff51afd7ed558ccd;
    value = (value ^ value >> 33) * 0xc4ceb9fe1a85ec53;
    return value ^ value >> 33;
}

} // namespace

Micros SlowStartAllocator::slot_length() const {
    return std::max<Micros>(1, settings_.slow_start_window / kSlotsPerWindow);
}

Micros SlowStartAllocator::epoch_length() const {
    return kEpochWindows * settings_.slow_start_window;
}

/// How long a grant counts against the budget: W + g, with a margin for clocks that run at different speeds.
Micros SlowStartAllocator::grant_span() const {
    const auto lifetime = static_cast<Micros>(static_cast<double>(kGrantLifetime) * kMaxClockSpeedRatio);
    return settings_.slow_start_window + lifetime;
}

/// `now`, offset so that an epoch of the part begins at each multiple of epoch_length().
Micros SlowStartAllocator::epoch_clock(int part, Micros now) const {
    return now + part * epoch_length() / kAllocators;
}

int SlowStartAllocator::allocator_of(const SlowStartNode &node, int part, Micros now) const {
    const auto epoch = static_cast<std::uint64_t>(epoch_clock(part, now) / epoch_length());
    // The parts are hashed independently; one host may be the allocator of both.
    const std::uint64_t hash =
        mix(node.entry.stable_id ^ mix(epoch * kAllocators + static_cast<std::uint64_t>(part)));
    return static_cast<int>(hash % static_cast<std::uint64_t>(settings_.hosts));
}

/// C + E(now - W).
double SlowStartAllocator::budget(const SlowStartNode &node, Micros now) const {
    if (!node.start_listed || settings_.slow_start_duration <= 0)
        return settings_.slow_start_units;
    const Micros age = now - settings_.slow_start_window - slot_length() - node.slow_start_began;
    return settings_.slow_start_units +
           settings_.slow_start_units * (1 / settings_.slow_start_initial_fraction - 1) *
               std::max(0.0, static_cast<double>(age)) / static_cast<double>(settings_.slow_start_duration);
}

/// Whether this host is the part's allocator, and grants of its predecessor can no longer be spent.
bool SlowStartAllocator::may_grant_part(const SlowStartNode &node, int part, Micros now) const {
    return allocator_of(node, part, now) == settings_.position &&
           epoch_clock(part, now) % epoch_length() >= grant_span() + slot_length();
}

/// The part of the budget from which this host may grant `units` now. Empty if there is none.
std::optional<int> SlowStartAllocator::part_with_room(const SlowStartNode &node, double units, Micros now,
                                                      Micros started_at) const {
    if (now - started_at < grant_span() + slot_length())
        return std::nullopt;
    const double part_budget = budget(node, now) / kAllocators;
    for (int part = 0; part < kAllocators; ++part) {
        if (!may_grant_part(node, part, now))
            continue;
        double granted = units;
        for (const HandoverState::SlowStartSend &grant : node.sends)
            if (grant.layer == part && grant.at > now - grant_span())
                granted += grant.units;
        if (granted <= part_budget)
            return part;
    }
    return std::nullopt;
}

/// The units granted to this host that may be spent now.
double SlowStartAllocator::granted_units(const SlowStartNode &node, Micros now) const {
    double units = 0;
    for (const SlowStartNode::Grant &grant : node.grants)
        if (now < grant.expires_at)
            units += grant.units;
    return units;
}

bool SlowStartAllocator::admits(const SlowStartNode &node, double units, Micros now,
                                Micros started_at) const {
    return units <= granted_units(node, now) || part_with_room(node, units, now, started_at);
}

void SlowStartAllocator::spend(SlowStartNode &node, double units, Micros now, Micros started_at) {
    if (units > granted_units(node, now)) {
        if (const std::optional<int> part = part_with_room(node, units, now, started_at))
            node.sends.push_back({now, units, *part});
        return;
    }
    ++metrics_.used;
    for (SlowStartNode::Grant &grant : node.grants) {
        if (now >= grant.expires_at)
            continue;
        const double spent = std::min(units, grant.units);
        grant.units -= spent;
        units -= spent;
    }
    std::erase_if(node.grants, [](const SlowStartNode::Grant &grant) { return grant.units <= 0; });
}

void SlowStartAllocator::expire(SlowStartNode &node, Micros now) {
    std::erase_if(node.sends,
                  [&](const HandoverState::SlowStartSend &grant) { return grant.at <= now - grant_span(); });
    metrics_.wasted += std::erase_if(
        node.grants, [now](const SlowStartNode::Grant &grant) { return now >= grant.expires_at; });
    std::erase_if(node.pending_requests, [now](const SlowStartNode::PendingRequest &request) {
        return now - request.sent_at > kGrantLifetime;
    });
}

/// The host to ask for the next grant: the allocators of the parts of the budget take turns, and this host is
/// skipped. Empty if this host is the allocator of every part.
std::optional<int> SlowStartAllocator::next_allocator(SlowStartNode &node, Micros now) const {
    for (int attempt = 0; attempt < kAllocators; ++attempt) {
        const int part = node.next_allocator++ % kAllocators;
        const int host = allocator_of(node, part, now);
        if (host != settings_.position)
            return host;
    }
    return std::nullopt;
}

std::optional<SendPeerMessage> SlowStartAllocator::request_grant(SlowStartNode &node, double units,
                                                                 Micros now) {
    if (now - node.last_request_at < std::max(node.request_backoff, kMinRequestBackoff))
        return std::nullopt;
    const std::optional<int> allocator = next_allocator(node, now);
    if (!allocator)
        return std::nullopt;
    expire(node, now);
    if (node.pending_requests.size() >= kMaxPendingRequests)
        node.pending_requests.pop_front();
    node.last_request_at = now;
    node.request_backoff = std::clamp(2 * node.request_backoff, kMinRequestBackoff, kMaxRequestBackoff);
    const std::uint64_t number = request_numbers_.next(now);
    node.pending_requests.push_back({number, now});
    ++metrics_.requested;
    const SlowStartMessage request{SlowStartMessage::Kind::Request, node.entry.stable_id, number,
                                   std::ceil(units)};
    return SendPeerMessage{*allocator, encode(request)};
}

std::optional<SlowStartMessage> SlowStartAllocator::decode(const std::string &data) {
    const std::optional<SlowStartMessage> message = decode_slow_start_message(data);
    if (!message)
        ++metrics_.malformed;
    return message;
}

std::optional<SendPeerMessage> SlowStartAllocator::answer_request(SlowStartNode &node,
                                                                  const SlowStartMessage &request, int to,
                                                                  Micros now, Micros started_at) {
    const std::optional<int> part = part_with_room(node, request.units, now, started_at);
    if (!part)
        return std::nullopt; // a smaller grant would not suffice for the request that waits for it
    node.sends.push_back({now, request.units, *part});
    ++metrics_.granted;
    const SlowStartMessage grant{SlowStartMessage::Kind::Grant, request.node, request.request_number,
                                 request.units};
    return SendPeerMessage{to, encode(grant)};
}

bool SlowStartAllocator::accept_grant(SlowStartNode &node, const SlowStartMessage &grant, Micros now) {
    const auto request = std::ranges::find(node.pending_requests, grant.request_number,
                                           &SlowStartNode::PendingRequest::number);
    if (request == node.pending_requests.end())
        return false;
    const Micros expires_at = request->sent_at + kGrantLifetime;
    node.pending_requests.erase(request);
    node.request_backoff = 0;
    if (now >= expires_at) {
        ++metrics_.wasted;
        return false;
    }
    ++metrics_.accepted;
    node.grants.push_back({expires_at, grant.units});
    return true;
}

} // namespace marblewood::overload
