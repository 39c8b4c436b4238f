#include "overload/cold_allocator.hpp"

#include <algorithm>
#include <charconv>
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
constexpr const char *kAsk = "mw-cold1 ask ", *kGive = "mw-cold1 give ";

std::uint64_t mix(std::uint64_t x) { // the finalizer of MurmurHash3
    x = (x ^ x >> 33) * 0xff51afd7ed558ccd;
    x = (x ^ x >> 33) * 0xc4ceb9fe1a85ec53;
    return x ^ x >> 33;
}
std::string spell(const char *what, std::uint64_t node, std::uint64_t number, double units) {
    char text[80];
    char *at = std::to_chars(text, text + 20, node, 16).ptr;
    *at++ = ' ';
    at = std::to_chars(at, at + 20, number, 16).ptr;
    *at++ = ' ';
    at = std::to_chars(at, at + 20, static_cast<std::int64_t>(units)).ptr;
    return what + std::string(text, at);
}

} // namespace

ColdAllocator::ColdAllocator(const Settings &settings) : set_(settings) {}

Micros ColdAllocator::epoch() const {
    return kEpoch * set_.slow_start_window;
}
Micros ColdAllocator::holds() const {
    return set_.slow_start_window + static_cast<Micros>(static_cast<double>(kGood) * kDrift);
}

int ColdAllocator::allocator_at(const ColdNode &node, int nth, Micros now) const {
    const auto number = static_cast<std::uint64_t>((now + nth * epoch() / kAllocators) / epoch());
    // Another broker for each part: where the two fall on one, it has both.
    return static_cast<int>(
        mix(node.entry.stable_id ^ mix(number * kAllocators + static_cast<std::uint64_t>(nth))) %
        static_cast<std::uint64_t>(set_.hosts));
}

std::optional<int> ColdAllocator::part(const ColdNode &node, double units, Micros now, Micros born) const {
    if (now - born < holds() + slot())
        return std::nullopt;
    double bears = set_.slow_start_units;
    if (node.declared && set_.slow_start_duration > 0)
        bears += set_.slow_start_units * (1 / set_.slow_start_initial_fraction - 1) *
                 std::max(0.0, static_cast<double>(now - set_.slow_start_window - slot() - node.cold_since)) /
                 static_cast<double>(set_.slow_start_duration);
    for (int nth = 0; nth < kAllocators; ++nth) {
        if (allocator_at(node, nth, now) != set_.position)
            continue;
        if ((now + nth * epoch() / kAllocators) % epoch() < holds() + slot())
            continue; // the last one's may still count
        double given = units;
        for (const HandoverState::SlowStartSend &grant : node.spent)
            if (grant.layer == nth && grant.at > now - holds())
                given += grant.units;
        if (given <= bears / kAllocators)
            return nth;
    }
    return std::nullopt;
}
void ColdAllocator::record_grant(ColdNode &node, double units, int part, Micros now) {
    node.spent.push_back({now, units, part});
}
double ColdAllocator::grants(const ColdNode &node, Micros now) const {
    double all = 0;
    for (const ColdNode::Grant &grant : node.grants)
        if (now < grant.until)
            all += grant.units;
    return all;
}

bool ColdAllocator::bears(const ColdNode &node, double units, Micros now, Micros born) const {
    return units <= grants(node, now) || part(node, units, now, born);
}

void ColdAllocator::spend(ColdNode &node, double units, Micros now, Micros born) {
    if (units > grants(node, now)) { // this broker is an allocator
        if (const auto from = part(node, units, now, born))
            record_grant(node, units, *from, now);
        return;
    }
    ++figures_.used;
    for (ColdNode::Grant &grant : node.grants) { // in the order of their ends
        if (now >= grant.until)
            continue;
        const double part = std::min(units, grant.units);
        grant.units -= part, units -= part;
    }
    std::erase_if(node.grants, [](const ColdNode::Grant &g) { return g.units <= 0; });
}

void ColdAllocator::forget(ColdNode &node, Micros now) {
    std::erase_if(node.spent,
                  [&](const HandoverState::SlowStartSend &grant) { return grant.at <= now - holds(); });
    figures_.wasted += std::erase_if(node.grants, [&](const ColdNode::Grant &g) { return now >= g.until; });
    std::erase_if(node.requests, [&](const ColdNode::PendingRequest &c) { return now - c.at > kGood; });
}

std::optional<SendPeerMessage> ColdAllocator::ask(ColdNode &node, double units, Micros now) {
    if (now - node.asked_at < std::max(node.ask_gap, kAskGap))
        return std::nullopt;
    for (int tried = 0; tried < kAllocators; ++tried) {
        const int peer = allocator_at(node, node.asked++ % kAllocators, now);
        if (peer == set_.position)
            continue;
        forget(node, now);
        if (node.requests.size() >= kMostRequests)
            node.requests.pop_front();
        node.asked_at = now, node.ask_gap = std::clamp(2 * node.ask_gap, kAskGap, kMostAskGap);
        // With the time in it, no forerunner or successor of this process requests by the same number.
        const std::uint64_t number = static_cast<std::uint64_t>(now) << 8 | (++requests_ & 255);
        node.requests.push_back({number, now});
        ++figures_.requested;
        return SendPeerMessage{peer, spell(kAsk, node.entry.stable_id, number, std::ceil(units))};
    }
    return std::nullopt;
}

std::optional<ColdAllocator::Word> ColdAllocator::read(const std::string &data) {
    Word word;
    word.grant = data.starts_with(kGive);
    bool good = word.grant || data.starts_with(kAsk);
    const char *const end = data.data() + data.size(),
                      *at = good ? data.data() + std::char_traits<char>::length(word.grant ? kGive : kAsk)
                                 : end;
    const auto number = [&](auto &into, int base) {
        if (!good)
            return;
        const auto [next, error] = std::from_chars(at, end, into, base);
        good = error == std::errc() && (next == end || *next == ' ');
        at = next == end ? end : next + 1;
    };
    std::uint32_t units = 0;
    number(word.node, 16), number(word.number, 16), number(units, 10);
    word.units = units;
    if (good && at == end && units > 0)
        return word;
    ++figures_.malformed;
    return std::nullopt;
}

std::optional<SendPeerMessage> ColdAllocator::answer(ColdNode &node, const Word &request, int to, Micros now,
                                                     Micros born) {
    const auto from = part(node, request.units, now, born);
    if (!from)
        return std::nullopt; // less than what is wanted would be of no use
    record_grant(node, request.units, *from, now);
    ++figures_.granted;
    return SendPeerMessage{to, spell(kGive, request.node, request.number, request.units)};
}

bool ColdAllocator::take(ColdNode &node, const Word &grant, Micros now) {
    const auto request =
        std::find_if(node.requests.begin(), node.requests.end(),
                     [&](const ColdNode::PendingRequest &c) { return c.number == grant.number; });
    if (request == node.requests.end())
        return false;
    const Micros until = request->at + kGood;
    node.requests.erase(request);
    node.ask_gap = 0;
    if (now >= until) {
        ++figures_.wasted;
        return false;
    }
    ++figures_.accepted;
    node.grants.push_back({until, grant.units});
    return true;
}

} // namespace marblewood::overload
