#include "overload/cold_stewards.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace marblewood::overload {
namespace {

constexpr int kStewards = 2;            // S, of a node at any time: one that is away leaves half
constexpr int kEpoch = 6;               // windows of an epoch
constexpr Micros kGood = 300'000;       // g, us
constexpr double kDrift = 1.05;         // by which a steward's clock may run faster than a caller's
constexpr Micros kAskGap = 40'000;      // us between calls for one node, at first,
constexpr Micros kMostAskGap = 320'000; // doubled while nothing comes, up to this
constexpr std::size_t kMostCalls = 16;  // that may still be answered, for one node
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

ColdStewards::ColdStewards(const Settings &settings) : set_(settings) {}

Micros ColdStewards::epoch() const { return kEpoch * set_.fall_window; }
Micros ColdStewards::holds() const {
    return set_.fall_window + static_cast<Micros>(static_cast<double>(kGood) * kDrift);
}

int ColdStewards::steward(const ColdNode &node, int nth, Micros now) const {
    const auto number = static_cast<std::uint64_t>((now + nth * epoch() / kStewards) / epoch());
    // Another host for each part: where the two fall on one, it has both.
    return static_cast<int>(
        mix(node.entry.named ^ mix(number * kStewards + static_cast<std::uint64_t>(nth))) %
        static_cast<std::uint64_t>(set_.hosts));
}

std::optional<int> ColdStewards::part(const ColdNode &node, double units, Micros now, Micros born) const {
    if (now - born < holds() + slot()) return std::nullopt;
    double bears = set_.cold_units;
    if (node.declared && set_.warm_after > 0)
        bears += set_.cold_units * (1 / set_.cold_from - 1) *
                 std::max(0.0, static_cast<double>(now - set_.fall_window - slot() - node.cold_since)) /
                 static_cast<double>(set_.warm_after);
    for (int nth = 0; nth < kStewards; ++nth) {
        if (steward(node, nth, now) != set_.position) continue;
        if ((now + nth * epoch() / kStewards) % epoch() < holds() + slot())
            continue; // the last one's may still count
        double given = units;
        for (const Legacy::Spent &gift : node.spent)
            if (gift.layer == nth && gift.at > now - holds()) given += gift.units;
        if (given <= bears / kStewards) return nth;
    }
    return std::nullopt;
}
void ColdStewards::give_out(ColdNode &node, double units, int part, Micros now) {
    node.spent.push_back({now, units, part});
}
double ColdStewards::gifts(const ColdNode &node, Micros now) const {
    double all = 0;
    for (const ColdNode::Gift &gift : node.gifts)
        if (now < gift.until) all += gift.units;
    return all;
}

bool ColdStewards::bears(const ColdNode &node, double units, Micros now, Micros born) const {
    return units <= gifts(node, now) || part(node, units, now, born);
}

void ColdStewards::spend(ColdNode &node, double units, Micros now, Micros born) {
    if (units > gifts(node, now)) { // this host is a steward
        if (const auto from = part(node, units, now, born)) give_out(node, units, *from, now);
        return;
    }
    ++figures_.used;
    for (ColdNode::Gift &gift : node.gifts) { // in the order of their ends
        if (now >= gift.until) continue;
        const double part = std::min(units, gift.units);
        gift.units -= part, units -= part;
    }
    std::erase_if(node.gifts, [](const ColdNode::Gift &g) { return g.units <= 0; });
}

void ColdStewards::forget(ColdNode &node, Micros now) {
    std::erase_if(node.spent, [&](const Legacy::Spent &gift) { return gift.at <= now - holds(); });
    figures_.wasted += std::erase_if(node.gifts, [&](const ColdNode::Gift &g) { return now >= g.until; });
    std::erase_if(node.calls, [&](const ColdNode::Call &c) { return now - c.at > kGood; });
}

std::optional<TellPeers> ColdStewards::ask(ColdNode &node, double units, Micros now) {
    if (now - node.asked_at < std::max(node.ask_gap, kAskGap)) return std::nullopt;
    for (int tried = 0; tried < kStewards; ++tried) {
        const int peer = steward(node, node.asked++ % kStewards, now);
        if (peer == set_.position) continue;
        forget(node, now);
        if (node.calls.size() >= kMostCalls) node.calls.pop_front();
        node.asked_at = now, node.ask_gap = std::clamp(2 * node.ask_gap, kAskGap, kMostAskGap);
        // With the time in it, no forerunner or successor of this process calls by the same number.
        const std::uint64_t number = static_cast<std::uint64_t>(now) << 8 | (++calls_ & 255);
        node.calls.push_back({number, now});
        ++figures_.asked;
        return TellPeers{peer, spell(kAsk, node.entry.named, number, std::ceil(units))};
    }
    return std::nullopt;
}

std::optional<ColdStewards::Word> ColdStewards::read(const std::string &data) {
    Word word;
    word.gift = data.starts_with(kGive);
    bool good = word.gift || data.starts_with(kAsk);
    const char *const end = data.data() + data.size(),
                      *at =
                          good ? data.data() + std::char_traits<char>::length(word.gift ? kGive : kAsk) : end;
    const auto number = [&](auto &into, int base) {
        if (!good) return;
        const auto [next, error] = std::from_chars(at, end, into, base);
        good = error == std::errc() && (next == end || *next == ' ');
        at = next == end ? end : next + 1;
    };
    std::uint32_t units = 0;
    number(word.node, 16), number(word.number, 16), number(units, 10);
    word.units = units;
    if (good && at == end && units > 0) return word;
    ++figures_.strange;
    return std::nullopt;
}

std::optional<TellPeers> ColdStewards::give(ColdNode &node, const Word &call, int to, Micros now,
                                            Micros born) {
    const auto from = part(node, call.units, now, born);
    if (!from) return std::nullopt; // less than what is wanted would be of no use
    give_out(node, call.units, *from, now);
    ++figures_.given;
    return TellPeers{to, spell(kGive, call.node, call.number, call.units)};
}

bool ColdStewards::take(ColdNode &node, const Word &gift, Micros now) {
    const auto call = std::find_if(node.calls.begin(), node.calls.end(),
                                   [&](const ColdNode::Call &c) { return c.number == gift.number; });
    if (call == node.calls.end()) return false;
    const Micros until = call->at + kGood;
    node.calls.erase(call);
    node.ask_gap = 0;
    if (now >= until) {
        ++figures_.wasted;
        return false;
    }
    ++figures_.taken;
    node.gifts.push_back({until, gift.units});
    return true;
}

} // namespace marblewood::overload
