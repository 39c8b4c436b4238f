#include "overload/slow_start_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::overload {
namespace {

constexpr int kAllocators = 2;            // S, of a node at any time: one that is away leaves half
constexpr int kEpoch = 6;                 // windows of an epoch
constexpr Micros kGood = 300'000;         // g, us
constexpr double kDrift = 1.05;           // by which an allocator's clock may run faster than a requester's
constexpr Micros kAskGap = 40'000;        // us between requests for one node, at first,
constexpr Micros kMostAskGap = 320'000;   // doubled while nothing comes, up to this
constexpr std::size_t kMostRequests = 16; // that may still be answered, for one node

std::uint64_t mix(std::uint64_t x) { // the finalizer of MurmurHash3
    x = (x ^ x >> 33) * 0xff51afd7ed558ccd;
    x = (x ^ x >> 33) * 0xc4ceb9fe1a85ec53;
    return x ^ x >> 33;
}
} // namespace

SlowStartAllocator::SlowStartAllocator(const Settings &settings) : set_(settings) {}

Micros SlowStartAllocator::epoch() const {
    return kEpoch * set_.slow_start_window;
}
Micros SlowStartAllocator::holds() const {
    return set_.slow_start_window + static_cast<Micros>(static_cast<double>(kGood) * kDrift);
}

int SlowStartAllocator::allocator_at(const SlowStartNode &node, int nth, Micros now) const {
    const auto number = static_cast<std::uint64_t>((now + nth * epoch() / kAllocators) / epoch());
    // Another broker for each part: where the two fall on one, it has both.
    return static_cast<int>(
        mix(node.entry.stable_id ^ mix(number * kAllocators + static_cast<std::uint64_t>(nth))) %
        static_cast<std::uint64_t>(set_.hosts));
}

std::optional<int> SlowStartAllocator::part(const SlowStartNode &node, double units, Micros now,
                                            Micros started_at) const {
    if (now - started_at < holds() + slot())
        return std::nullopt;
    double bears = set_.slow_start_units;
    if (node.start_listed && set_.slow_start_duration > 0)
        bears += set_.slow_start_units * (1 / set_.slow_start_initial_fraction - 1) *
                 std::max(0.0, static_cast<double>(now - set_.slow_start_window - slot() -
                                                   node.slow_start_began)) /
                 static_cast<double>(set_.slow_start_duration);
    for (int nth = 0; nth < kAllocators; ++nth) {
        if (allocator_at(node, nth, now) != set_.position)
            continue;
        if ((now + nth * epoch() / kAllocators) % epoch() < holds() + slot())
            continue; // the last one's may still count
        double given = units;
        for (const HandoverState::SlowStartSend &grant : node.sends)
            if (grant.layer == nth && grant.at > now - holds())
                given += grant.units;
        if (given <= bears / kAllocators)
            return nth;
    }
    return std::nullopt;
}
void SlowStartAllocator::record_grant(SlowStartNode &node, double units, int part, Micros now) {
    node.sends.push_back({now, units, part});
}
double SlowStartAllocator::grants(const SlowStartNode &node, Micros now) const {
    double all = 0;
    for (const SlowStartNode::Grant &grant : node.grants)
        if (now < grant.until)
            all += grant.units;
    return all;
}

bool SlowStartAllocator::admits(const SlowStartNode &node, double units, Micros now,
                                Micros started_at) const {
    return units <= grants(node, now) || part(node, units, now, started_at);
}

void SlowStartAllocator::spend(SlowStartNode &node, double units, Micros now, Micros started_at) {
    if (units > grants(node, now)) { // this broker is an allocator
        if (const auto from = part(node, units, now, started_at))
            record_grant(node, units, *from, now);
        return;
    }
    ++metrics_.used;
    for (SlowStartNode::Grant &grant : node.grants) { // in the order of their ends
        if (now >= grant.until)
            continue;
        const double part = std::min(units, grant.units);
        grant.units -= part, units -= part;
    }
    std::erase_if(node.grants, [](const SlowStartNode::Grant &g) { return g.units <= 0; });
}

void SlowStartAllocator::expire(SlowStartNode &node, Micros now) {
    std::erase_if(node.sends,
                  [&](const HandoverState::SlowStartSend &grant) { return grant.at <= now - holds(); });
    metrics_.wasted +=
        std::erase_if(node.grants, [&](const SlowStartNode::Grant &g) { return now >= g.until; });
    std::erase_if(node.pending_requests,
                  [&](const SlowStartNode::PendingRequest &c) { return now - c.at > kGood; });
}

std::optional<SendPeerMessage> SlowStartAllocator::request_grant(SlowStartNode &node, double units,
                                                                 Micros now) {
    if (now - node.last_request_at < std::max(node.request_backoff, kAskGap))
        return std::nullopt;
    for (int tried = 0; tried < kAllocators; ++tried) {
        const int peer = allocator_at(node, node.next_allocator++ % kAllocators, now);
        if (peer == set_.position)
            continue;
        expire(node, now);
        if (node.pending_requests.size() >= kMostRequests)
            node.pending_requests.pop_front();
        node.last_request_at = now,
        node.request_backoff = std::clamp(2 * node.request_backoff, kAskGap, kMostAskGap);
        // With the time in it, no forerunner or successor of this process requests by the same number.
        const std::uint64_t number = static_cast<std::uint64_t>(now) << 8 | (++requests_ & 255);
        node.pending_requests.push_back({number, now});
        ++metrics_.requested;
        return SendPeerMessage{
            peer, encode({SlowStartMessage::Kind::Request, node.entry.stable_id, number, std::ceil(units)})};
    }
    return std::nullopt;
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
    const auto from = part(node, request.units, now, started_at);
    if (!from)
        return std::nullopt; // less than what is wanted would be of no use
    record_grant(node, request.units, *from, now);
    ++metrics_.granted;
    return SendPeerMessage{
        to, encode({SlowStartMessage::Kind::Grant, request.node, request.request_number, request.units})};
}

bool SlowStartAllocator::accept_grant(SlowStartNode &node, const SlowStartMessage &grant, Micros now) {
    const auto request = std::find_if(
        node.pending_requests.begin(), node.pending_requests.end(),
        [&](const SlowStartNode::PendingRequest &c) { return c.number == grant.request_number; });
    if (request == node.pending_requests.end())
        return false;
    const Micros until = request->at + kGood;
    node.pending_requests.erase(request);
    node.request_backoff = 0;
    if (now >= until) {
        ++metrics_.wasted;
        return false;
    }
    ++metrics_.accepted;
    node.grants.push_back({until, grant.units});
    return true;
}

} // namespace marblewood::overload
